// Keeps idle connections to backend servers for reuse and limits how many are
// open to each server.

#ifndef QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_
#define QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_

#include <functional>
#include <map>
#include <vector>

#include "qh_gateway/forwarding/server_connection.h"

namespace qh {

// Not thread-safe; runs on the thread of the io_context.
class ServerConnectionPool {
 public:
  // A connection is not reused this close to the end of its idle timeout, when
  // the server may be closing it.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(700);
  // Idle timeout assumed for servers that announce none.
  static constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(3);
  // Requests that aren't repeatable only reuse connections that were idle for
  // less than this, so that the server can't have closed them meanwhile.
  static constexpr Duration kFreshIdleTimeout =
      std::chrono::milliseconds(1'500);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  static constexpr size_t kMaxIdlePerServer = 32;

  // Gets the connection, or null if there is none.
  using ReadyHandler = std::function<void(ServerConnectionPtr)>;

  ServerConnectionPool(boost::asio::io_context& io, const WireCodec& codec);

  // Calls `on_ready` with an idle connection to `server`, or with a new one.
  // `only_fresh` limits reuse to connections idle for less than
  // kFreshIdleTimeout. Passes null if connecting fails or `max_connections` are
  // open. May call `on_ready` before it returns.
  void Acquire(const ServerRecord& server,
               bool only_fresh,
               size_t max_connections,
               TimePoint now,
               ReadyHandler on_ready);
  // Takes a connection back and keeps it for reuse if it is reusable.
  void Release(const ServerConnectionPtr& connection, TimePoint now);
  // Closes the idle connections to `server`.
  void CloseIdle(const ServerId& server);
  // Closes the connections whose idle timeout has passed; call periodically.
  void OnTick(TimePoint now);

  // Connections open or being opened, to all servers.
  size_t open_connections() const;
  // Connections opened since the start.
  uint64_t connections_created() const { return created_; }

 private:
  struct IdleConnection {
    ServerConnectionPtr connection;
    TimePoint idle_since;
  };
  struct ServerConnections {
    // Most recently used last.
    std::vector<IdleConnection> idle;
    // Idle, busy and connecting.
    size_t open = 0;
  };

  // How long the pool keeps `connection` idle.
  static Duration IdleTimeout(const ServerConnection& connection);
  // Forgets an idle connection that was closed.
  void RemoveIdle(const ServerId& server, const ServerConnection* connection);

  boost::asio::io_context& io_;
  const WireCodec& codec_;
  std::map<ServerId, ServerConnections> servers_;
  uint64_t created_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_
