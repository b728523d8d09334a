// HTTP client for control calls to one address. It sends one call at a time
// over one persistent connection; further calls are queued. A call that exceeds
// its timeout fails and closes the connection.

#ifndef QH_NET_HTTP_CLIENT_H_
#define QH_NET_HTTP_CLIENT_H_

#include <utility>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_net/byte_budget.h"
#include "qh_net/connection_end.h"
#include "qh_net/http_parser.h"
#include "qh_net/socket_options.h"

namespace qh {

// A request to send. Host, Content-Type and Content-Length are added.
struct HttpCall {
  std::string method = "GET";
  // Path with query.
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
};

// The outcome of a call.
enum class HttpCallOutcome {
  // An answer came, with any status.
  kAnswered,
  // Nothing was sent; the call can't have had an effect.
  kNotSent,
  // The call was sent, but no whole answer came; it may have had its effect.
  kNoAnswer,
};

struct CallReply {
  HttpCallOutcome outcome = HttpCallOutcome::kNotSent;
  // Status, body and header fields of the answer; only set with kAnswered.
  int status = 0;
  std::string body;
  std::vector<HttpField> fields;
};

// Not thread safe; all methods and hooks run on the io_context's thread.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Hook = std::function<void(const CallReply&)>;

  // Timeout for connecting, even if the call's own timeout is longer. A connect
  // that takes this long has probably lost its first packet, and the system's
  // retransmits come at ever longer intervals.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);

  // Largest answers, unless Create is told otherwise. Lists are long.
  static constexpr ParserLimits kDefaultLimits = {.header_bytes = 32U << 10U,
                                                  .body_bytes = 16U << 20U};

  // Creates a client of `address`. It connects with the first call. Answers are
  // bounded by `limits`, and counted in `budget` unless that is null; one that
  // passes either fails its call.
  static std::shared_ptr<HttpClient> Create(
      boost::asio::io_context& io,
      Address address,
      std::shared_ptr<ByteBudget> budget = nullptr,
      const ParserLimits& limits = kDefaultLimits);

  // Queues `call`. `on_reply` is called once, unless Stop is called before. The
  // timeout starts when the call reaches the head of the queue, and again when
  // a new connection for the call is established.
  void Send(HttpCall call, Duration timeout, Hook on_reply);

  // Drops the connection and every queued call without calling their hooks.
  void Stop();

  // Returns the number of calls in the queue, including the one in progress.
  size_t queued() const { return queue_.size(); }

 private:
  struct Queued {
    HttpCall call;
    Duration timeout;
    Hook on_reply;
  };

  // One connection. A write that was begun goes on until it notices that its
  // socket was closed, so neither its socket nor its bytes are used again.
  struct Link {
    explicit Link(boost::asio::io_context& io) : socket(io) {}
    TcpSocket socket;
    std::string out;
  };

  HttpClient(boost::asio::io_context& io,
             Address address,
             std::shared_ptr<ByteBudget> budget,
             const ParserLimits& limits);
  void StartNext();
  void ArmTimer(Duration timeout);
  void Connect();
  void Write();
  void Read();
  void OnBytes(size_t size);
  // Logs an answer that was not taken, and ends the connection.
  void RefuseAnswer(const Error& error);
  // `orderly` is whether the peer ended the connection in order.
  void OnConnectionEnd(bool orderly);
  void Finish(CallReply reply);
  void CloseSocket();

  boost::asio::io_context& io_;
  Address address_;
  // Never null.
  std::shared_ptr<Link> link_;
  boost::asio::steady_timer timer_;
  ParserLimits limits_;
  HttpParser parser_;
  // What the parser holds.
  HeldBytes held_;
  // The first entry is the call in progress while busy_ is true.
  std::deque<Queued> queue_;
  bool busy_ = false;
  bool connected_ = false;
  // Whether part of the current call may have been sent.
  bool sent_ = false;
  // Part of a call's bytes is not written yet.
  bool write_pending_ = false;
  ConnectionEnd connection_end_;
  // Rises each time the socket is closed; completions that were started for an
  // earlier connection are ignored.
  uint64_t generation_ = 0;
  // The bytes of the current call until they are written.
  std::string out_;
  std::array<char, 16U << 10U> in_{};
};

}  // namespace qh

#endif  // QH_NET_HTTP_CLIENT_H_
