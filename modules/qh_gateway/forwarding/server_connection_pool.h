// Connections to backend servers, kept for reuse and bounded per server.

#ifndef QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_
#define QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_

#include <functional>
#include <map>
#include <vector>

#include "qh_gateway/forwarding/server_connection.h"

namespace qh {

class ServerConnectionPool {
 public:
  // A connection is not reused this close to the end of its idle time.
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(700);
  // Idle time granted when the server names none.
  static constexpr Duration kDefaultIdle = std::chrono::seconds(3);
  // Requests that may run only once take connections used within this.
  static constexpr Duration kFreshIdle = std::chrono::milliseconds(1'500);
  static constexpr Duration kConnectLimit = std::chrono::milliseconds(400);
  static constexpr size_t kMaxIdle = 32;

  // Told a connection, or null when none could be made.
  using Hook = std::function<void(ServerConnectionPtr)>;

  ServerConnectionPool(boost::asio::io_context& io, const WireCodec& codec);

  // Hands over an idle connection to `server` or makes one. `only_fresh` asks
  // for one that the server can't have given up on meanwhile. Null at once when
  // `max_connections` are open.
  void Acquire(const ServerRecord& server,
               bool only_fresh,
               size_t max_connections,
               TimePoint now,
               Hook on_ready);
  // Takes a connection back; it is kept if it can be.
  void Release(const ServerConnectionPtr& connection, TimePoint now);
  // Closes the idle connections to `server`.
  void Drop(const ServerId& server);
  // Closes idle connections whose time is up.
  void OnTick(TimePoint now);

  size_t open_connections() const;
  uint64_t connections_made() const { return made_; }

 private:
  struct Idle {
    ServerConnectionPtr connection;
    TimePoint since;
  };
  struct Server {
    // Newest last.
    std::vector<Idle> idle;
    // Idle and busy.
    size_t open = 0;
  };

  static Duration IdleLimit(const ServerConnection& connection);
  void Remove(const ServerId& server, const ServerConnection* connection);

  boost::asio::io_context& io_;
  const WireCodec& codec_;
  std::map<ServerId, Server> servers_;
  uint64_t made_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_SERVER_CONNECTION_POOL_H_
