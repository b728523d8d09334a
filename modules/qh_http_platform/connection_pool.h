// Kept connections to one HTTP server. A connection that failed is never used
// again, so no late answer can reach another call.

#ifndef QH_HTTP_PLATFORM_CONNECTION_POOL_H_
#define QH_HTTP_PLATFORM_CONNECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "qh_core/time/time.h"

namespace httplib {
class Client;
class Result;
}  // namespace httplib

namespace qh {

// Thread safe.
class ConnectionPool {
 public:
  ConnectionPool(std::string host, uint16_t port);
  ~ConnectionPool();

  // Makes one call on a connection of its own, kept or new, whose answer may
  // take `read_timeout`.
  httplib::Result Call(
      Duration read_timeout,
      const std::function<httplib::Result(httplib::Client&)>& call);

 private:
  std::unique_ptr<httplib::Client> Take();

  std::string host_;
  uint16_t port_;
  std::mutex mutex_;
  // Idle connections; guarded by mutex_.
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

}  // namespace qh

#endif  // QH_HTTP_PLATFORM_CONNECTION_POOL_H_
