// Pool of persistent connections to one HTTP server. A connection on which a
// call failed is closed, so that a late answer can't be taken for that of
// another call.

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

  // Runs `call` on an idle or a new connection, which no other call uses
  // meanwhile. `read_timeout` bounds the wait for the answer.
  httplib::Result Call(
      Duration read_timeout,
      const std::function<httplib::Result(httplib::Client&)>& call);

 private:
  // Returns an idle connection, or a new one if there is none.
  std::unique_ptr<httplib::Client> Acquire();

  std::string host_;
  uint16_t port_;
  std::mutex mutex_;
  // Idle connections; guarded by mutex_.
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

}  // namespace qh

#endif  // QH_HTTP_PLATFORM_CONNECTION_POOL_H_
