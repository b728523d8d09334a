// A server on loopback that answers as soon as it has the head of a request,
// reads no more of it, and then ends the connection: for answers that come
// before their request is sent, and that end in odd ways.

#ifndef TESTS_FAKES_ABRUPT_SERVER_H_
#define TESTS_FAKES_ABRUPT_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "qh_net/socket_options.h"

namespace qh {

class AbruptServer {
 public:
  // What follows the answer, 10 ms later.
  // With kExit the server stops listening as well, and closes in order.
  enum class End { kKeepOpen, kClose, kReset, kExit };
  struct Answer {
    // %ID% is replaced by the request's id.
    std::string bytes;
    End end = End::kKeepOpen;
  };
  // Returns the answer to a request; `request` counts from 0.
  using Script = std::function<Answer(size_t request)>;

  // Listens on a free port. The small buffer keeps most of an upload at its
  // sender.
  AbruptServer(boost::asio::io_context& io, Script script);

  Address address() const;
  // Requests whose head has come.
  size_t requests() const { return requests_; }
  size_t connections() const { return connections_; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Reply(const std::shared_ptr<Connection>& connection);

  TcpAcceptor acceptor_;
  Script script_;
  size_t requests_ = 0;
  size_t connections_ = 0;
};

}  // namespace qh

#endif  // TESTS_FAKES_ABRUPT_SERVER_H_
