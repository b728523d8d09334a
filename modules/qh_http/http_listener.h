// An httplib::Server that runs on its own thread. Include this only in .cpp
// files; cpp-httplib is a large header.

#ifndef QH_HTTP_HTTP_LISTENER_H_
#define QH_HTTP_HTTP_LISTENER_H_

#include <httplib.h>

#include <string>
#include <thread>

#include "qh_core/errors/result.h"

namespace qh {

class HttpListener {
 public:
  // Creates a server with at most `max_threads` threads; each open connection
  // occupies one.
  explicit HttpListener(size_t max_threads);
  ~HttpListener();

  // Returns the server, to set its routes and limits before Listen.
  httplib::Server& server() { return server_; }

  // Binds the address and starts to serve. Port zero selects a free port.
  // Returns the port. Fails with kInternal if the address can't be bound.
  Result<uint16_t> Listen(const std::string& host, uint16_t port);

  // Stops accepting connections and waits for running handlers. May be called
  // more than once.
  void Stop();

 private:
  httplib::Server server_;
  // Socket of the last bind.
  socket_t socket_ = INVALID_SOCKET;
  std::thread thread_;
};

}  // namespace qh

#endif  // QH_HTTP_HTTP_LISTENER_H_
