#include "qh_gateway/forwarding/server_connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace qh {

ServerConnectionPool::ServerConnectionPool(boost::asio::io_context& io,
                                           const WireCodec& codec)
    : io_(io), codec_(codec) {}

Duration ServerConnectionPool::IdleTimeout(const ServerConnection& connection) {
  const Duration timeout =
      connection.idle_timeout().value_or(kDefaultIdleTimeout);
  return std::max<Duration>(timeout - kIdleMargin, timeout / 4);
}

void ServerConnectionPool::Acquire(const ServerRecord& server,
                                   bool only_fresh,
                                   size_t max_connections,
                                   TimePoint now,
                                   ReadyHandler on_ready) {
  ServerConnections& connections = servers_[server.id];
  while (!connections.idle.empty()) {
    const IdleConnection newest = connections.idle.back();
    connections.idle.pop_back();
    Duration timeout = IdleTimeout(*newest.connection);
    if (only_fresh) {
      timeout = std::min<Duration>(timeout, kFreshIdleTimeout);
    }
    if (newest.connection->reusable() && now - newest.idle_since < timeout) {
      on_ready(newest.connection);
      return;
    }
    newest.connection->Close();
  }
  if (connections.open >= max_connections) {
    boost::asio::post(io_, [on_ready] { on_ready(nullptr); });
    return;
  }
  ++connections.open;
  ++created_;
  const auto connection = ServerConnection::Create(io_, codec_, server.id);
  connection->SetCloseHandler([this, id = server.id] {
    const auto found = servers_.find(id);
    if (found != servers_.end() && found->second.open > 0) {
      --found->second.open;
    }
  });
  connection->SetIdleCloseHandler(
      [this, id = server.id, raw = connection.get()] { RemoveIdle(id, raw); });
  connection->Connect(server.address, kConnectTimeout,
                      [connection, on_ready](bool connected) {
                        on_ready(connected ? connection : nullptr);
                      });
}

void ServerConnectionPool::Release(const ServerConnectionPtr& connection,
                                   TimePoint now) {
  if (!connection->reusable()) {
    return;
  }
  ServerConnections& connections = servers_[connection->server()];
  if (connections.idle.size() >= kMaxIdlePerServer) {
    connection->Close();
    return;
  }
  connections.idle.push_back({connection, now});
}

void ServerConnectionPool::RemoveIdle(const ServerId& server,
                                      const ServerConnection* connection) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    std::erase_if(found->second.idle, [&](const IdleConnection& idle) {
      return idle.connection.get() == connection;
    });
  }
}

void ServerConnectionPool::CloseIdle(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  const auto idle = std::exchange(found->second.idle, {});
  for (const IdleConnection& entry : idle) {
    entry.connection->Close();
  }
}

void ServerConnectionPool::OnTick(TimePoint now) {
  for (auto& [id, server] : servers_) {
    std::vector<IdleConnection> kept;
    for (IdleConnection& idle : server.idle) {
      if (now - idle.idle_since < IdleTimeout(*idle.connection)) {
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
