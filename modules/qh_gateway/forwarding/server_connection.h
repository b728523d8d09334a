// An HTTP/1.1 connection to a backend server. Carries one request at a time and
// checks that the answer belongs to it. Unexpected bytes end the connection.

#ifndef QH_GATEWAY_FORWARDING_SERVER_CONNECTION_H_
#define QH_GATEWAY_FORWARDING_SERVER_CONNECTION_H_

#include <utility>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "qh_gateway/decisions/answers/answer_evidence.h"
#include "qh_gateway/model/wire_codec.h"
#include "qh_net/connection_end.h"
#include "qh_net/http_parser.h"
#include "qh_net/socket_options.h"

namespace qh {

// Keeps itself alive through its pending operations. Runs on the thread of the
// io_context.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Callbacks for one request, called in this order. None is called after
  // on_end, or after Close.
  struct Listener {
    std::function<void(const HttpHead&, const AnswerTraits&)> on_head;
    // The next part of the decoded body.
    std::function<void(std::string)> on_body;
    // How the answer has ended on the connection, kFramed or kClosed, or the
    // error for which it is cut.
    std::function<void(Result<AnswerEnd>)> on_end;
  };

  static std::shared_ptr<ServerConnection> Create(boost::asio::io_context& io,
                                                  const WireCodec& codec,
                                                  ServerId server);
  ~ServerConnection();

  // Connects; gives up after `timeout`. Calls `on_done` once.
  void Connect(const Address& address,
               Duration timeout,
               std::function<void(bool connected)> on_done);

  // Sends a serialized request and reads its answer; the connection must be
  // reusable. `request_id` is the id that the answer has to carry.
  void SendRequest(std::string bytes,
                   std::string request_id,
                   Listener listener);

  // Stops reading, or goes on, for callers that read slowly.
  void SetReadPaused(bool paused);

  // Closes the connection without calling the listener again.
  void Close();

  // Whether Connect failed because nothing listens at the address.
  bool was_refused() const { return was_refused_; }
  // Whether the connection is open and idle, so that a request may be sent.
  bool reusable() const;
  const ServerId& server() const { return server_; }
  // The address given to Connect.
  const Address& address() const { return address_; }
  // Idle time that the server allows; nothing if it did not say.
  std::optional<Duration> idle_timeout() const { return idle_timeout_; }
  // `on_idle_close` is called when the connection ends while idle.
  void SetIdleCloseHandler(std::function<void()> on_idle_close);
  // `on_close` is called once when the connection is closed by either side.
  void SetCloseHandler(std::function<void()> on_close);

 private:
  enum class State { kNew, kConnecting, kIdle, kBusy, kClosed };

  ServerConnection(boost::asio::io_context& io,
                   const WireCodec& codec,
                   ServerId server);
  void Read();
  void OnBytes(size_t size);
  // Counts received bytes of answers to other requests. Returns false, and
  // fails the request, if they are too many.
  bool CountSkippedBytes(size_t size);
  // Delivers what the parser holds to the listener. Returns false if the
  // connection was closed.
  bool ProcessInput();
  // Checks that the answer belongs to the request. Returns false if the
  // connection was closed.
  bool OnHead();
  void OnClosedByServer(const boost::system::error_code& error);
  // Makes the connection idle or closes it, then calls on_end.
  void CompleteRequest(Result<AnswerEnd> result);

  const WireCodec& codec_;
  ServerId server_;
  Address address_;
  TcpSocket socket_;
  boost::asio::steady_timer timer_;
  HttpParser parser_;
  State state_ = State::kNew;
  bool was_refused_ = false;
  std::string write_buffer_;
  std::string request_id_;
  Listener listener_;
  // The message being parsed is an interim answer (1xx) or answers an earlier
  // request; it is discarded.
  bool skipping_answer_ = false;
  // Bytes received for the current request before its answer began.
  size_t bytes_before_answer_ = 0;
  // The server has sent the head of a final answer on this connection.
  bool answered_before_ = false;
  // on_head was called for the current request.
  bool head_delivered_ = false;
  // The whole request has been written to the socket.
  bool request_written_ = false;
  bool read_paused_ = false;
  bool read_pending_ = false;
  ConnectionEnd connection_end_;
  // The connection can't be reused after the current request.
  bool must_close_ = false;
  std::optional<Duration> idle_timeout_;
  std::function<void()> on_idle_close_;
  std::function<void()> on_close_;
  std::array<char, 16U << 10U> read_buffer_{};
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_SERVER_CONNECTION_H_
