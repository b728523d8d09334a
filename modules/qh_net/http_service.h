// HTTP server that answers each request immediately with the result of a hook.
// It serves readiness checks, metrics, queries for node addresses, and calls
// from peers.

#ifndef QH_NET_HTTP_SERVICE_H_
#define QH_NET_HTTP_SERVICE_H_

#include <utility>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "qh_net/byte_budget.h"
#include "qh_net/connection_limiter.h"
#include "qh_net/http_head.h"
#include "qh_net/socket_options.h"

namespace qh {

struct ServiceAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

class HttpService : public std::enable_shared_from_this<HttpService> {
 public:
  using Hook = std::function<ServiceAnswer(const HttpHead&)>;

  // Largest request body, which is read and dropped, in bytes.
  static constexpr uint64_t kMaxBodyBytes = uint64_t{64} << 10U;

  // Listens on `address` and calls `answer` for each request. Requests and
  // unsent answers are counted in `budget` unless that is null, and connections
  // in `limiter`. Fails as Listen does.
  static Result<std::shared_ptr<HttpService>> Start(
      boost::asio::io_context& io,
      const Address& address,
      Hook answer,
      std::shared_ptr<ByteBudget> budget = nullptr,
      std::shared_ptr<ConnectionLimiter> limiter =
          std::make_shared<ConnectionLimiter>("", ConnectionLimiter::kNoLimit));

  // Stops accepting connections. Open ones stay until their clients close them
  // or they have been idle for too long.
  void Stop();

 private:
  class Connection;

  HttpService(TcpAcceptor acceptor,
              std::shared_ptr<ByteBudget> budget,
              std::shared_ptr<ConnectionLimiter> limiter,
              Hook answer);
  void Accept();

  TcpAcceptor acceptor_;
  std::shared_ptr<ByteBudget> budget_;
  std::shared_ptr<ConnectionLimiter> limiter_;
  Hook answer_;
};

}  // namespace qh

#endif  // QH_NET_HTTP_SERVICE_H_
