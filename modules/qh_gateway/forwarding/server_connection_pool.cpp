#include "qh_gateway/forwarding/server_connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace qh {

ServerConnectionPool::ServerConnectionPool(boost::asio::io_context& io,
                                           const WireCodec& codec)
    : io_(io), codec_(codec) {}

Duration ServerConnectionPool::IdleLimit(const ServerConnection& connection) {
  const Duration limit = connection.idle_limit().value_or(kDefaultIdle);
  return std::max<Duration>(limit - kIdleMargin, limit / 4);
}

void ServerConnectionPool::Acquire(const ServerRecord& server,
                                   bool only_fresh,
                                   size_t max_connections,
                                   TimePoint now,
                                   Hook on_ready) {
  Server& known = servers_[server.id];
  while (!known.idle.empty()) {
    const Idle newest = known.idle.back();
    known.idle.pop_back();
    Duration limit = IdleLimit(*newest.connection);
    if (only_fresh) {
      limit = std::min<Duration>(limit, kFreshIdle);
    }
    if (newest.connection->reusable() && now - newest.since < limit) {
      on_ready(newest.connection);
      return;
    }
    newest.connection->Close();
  }
  if (known.open >= max_connections) {
    boost::asio::post(io_, [on_ready] { on_ready(nullptr); });
    return;
  }
  ++known.open;
  ++made_;
  const auto connection = ServerConnection::Create(io_, codec_, server.id);
  connection->SetCloseHook([this, id = server.id] {
    const auto found = servers_.find(id);
    if (found != servers_.end() && found->second.open > 0) {
      --found->second.open;
    }
  });
  connection->SetIdleHook(
      [this, id = server.id, raw = connection.get()] { Remove(id, raw); });
  connection->Connect(server.address, kConnectLimit,
                      [connection, on_ready](bool connected) {
                        on_ready(connected ? connection : nullptr);
                      });
}

void ServerConnectionPool::Release(const ServerConnectionPtr& connection,
                                   TimePoint now) {
  if (!connection->reusable()) {
    return;
  }
  Server& known = servers_[connection->server()];
  if (known.idle.size() >= kMaxIdle) {
    connection->Close();
    return;
  }
  known.idle.push_back({connection, now});
}

void ServerConnectionPool::Remove(const ServerId& server,
                                  const ServerConnection* connection) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    std::erase_if(found->second.idle, [&](const Idle& idle) {
      return idle.connection.get() == connection;
    });
  }
}

void ServerConnectionPool::Drop(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  const auto idle = std::exchange(found->second.idle, {});
  for (const Idle& entry : idle) {
    entry.connection->Close();
  }
}

void ServerConnectionPool::OnTick(TimePoint now) {
  for (auto& [id, server] : servers_) {
    std::vector<Idle> kept;
    for (Idle& idle : server.idle) {
      if (now - idle.since < IdleLimit(*idle.connection)) {
        kept.push_back(std::move(idle));
      } else {
        idle.connection->Close();
      }
    }
    server.idle = std::move(kept);
  }
  std::erase_if(servers_, [](const auto& entry) {
    return entry.second.open == 0 && entry.second.idle.empty();
  });
}

size_t ServerConnectionPool::open_connections() const {
  size_t open = 0;
  for (const auto& [id, server] : servers_) {
    open += server.open;
  }
  return open;
}

}  // namespace qh
