// A caller's HTTP/1.x connection. Reads pipelined requests, handles them one
// after the other, each as an Exchange, and writes their answers in order.

#ifndef QH_GATEWAY_FORWARDING_CALLER_CONNECTION_H_
#define QH_GATEWAY_FORWARDING_CALLER_CONNECTION_H_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "qh_core/text/enum_table.h"
#include "qh_gateway/forwarding/exchange.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_net/connection_limiter.h"
#include "qh_net/http_parser.h"
#include "qh_net/socket_options.h"

namespace qh {

// Why a caller's connection ended.
enum class CallerCloseReason {
  kNone,
  // Idle for too long.
  kIdle,
  // The last answer had announced the close.
  kAnswered,
  // An answer could not be completed.
  kAborted,
  // Closed because the node has too many connections or holds too much.
  kLimited,
  // The caller closed its side.
  kCaller,
  // The network failed, or the caller reset the connection.
  kNetwork,
};

template <>
inline constexpr EnumName<CallerCloseReason> kEnumNames<CallerCloseReason>[] = {
    {CallerCloseReason::kNone, "none"},
    {CallerCloseReason::kIdle, "idle"},
    {CallerCloseReason::kAnswered, "answered"},
    {CallerCloseReason::kAborted, "aborted"},
    {CallerCloseReason::kLimited, "limited"},
    {CallerCloseReason::kCaller, "caller"},
    {CallerCloseReason::kNetwork, "network"},
};

// Keeps itself alive through its pending operations. Runs on the thread of the
// io_context.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // Pauses reading from the server when more bytes than this are unsent;
  // reading goes on once less than half of them are left.
  static constexpr size_t kMaxUnsentBytes = 256U << 10U;
  // The same while the node holds much for all its connections together.
  static constexpr size_t kMaxUnsentBytesWhenTight = 16U << 10U;
  // Stops reading when more bytes than this are buffered for later requests;
  // when any are, while the node holds much for all its connections together.
  static constexpr size_t kMaxReadAheadBytes = 64U << 10U;

  // Takes over an accepted socket and serves it until either side closes it.
  // Closes it at once if there are too many connections.
  static void Serve(GatewayState& state, TcpSocket socket);

 private:
  CallerConnection(GatewayState& state, TcpSocket socket);

  CallerLimits Limits() const;
  // Limits in force now; each request is read under those in force when its
  // first byte is parsed.
  ParserLimits RequestLimits() const;
  void Read();
  void OnBytes(size_t size);
  // Counts what the parser holds. Returns false if that is too much.
  bool CountInput(TimePoint now);
  // Counts what is not sent yet, and tells the limiter what a close would free.
  void CountOutput();
  // The one of the two limits on bytes read ahead that is in force.
  size_t MaxReadAheadBytes() const;
  void OnDisconnected(const boost::system::error_code& error);
  // Logs input that arrived after the node had begun to close the connection.
  void LogDroppedInput(size_t size);
  // Starts an exchange if the parser holds a complete request and none runs.
  void StartBufferedRequest();
  void StartExchange();
  // Counts this connection in GatewayState::unfinished_answers, or no longer.
  void SetUnfinished(bool unfinished);
  // Answers a request that is malformed or too slow to arrive; nothing after it
  // is read.
  void RejectRequest(const Error& error);
  // Bounds the wait for the next request and the time to receive it.
  void ArmReadTimer();
  void OnTimeout();
  // How long the connection stays open without a request.
  Duration IdleTimeout() const;
  // Closes the connection unless a request has arrived.
  void CloseIdle();

  // Decides whether the connection stays open after the answer that begins, and
  // returns the idle time to announce if it does.
  std::optional<std::chrono::seconds> BeginAnswer();

  // The one of the two limits on unsent bytes that is in force.
  size_t MaxUnsentBytes() const;
  // Queues bytes of the current answer; `last` ends the answer.
  void Write(std::string bytes, bool last);
  void ScheduleFlush();
  void Flush();
  void OnWriteDone();
  void OnAnswerWritten();
  // Closes without completing the answer.
  void Abort();
  // Half-closes, then waits for the caller to close, so that the sent bytes
  // arrive: closing with unread input would reset the connection.
  void CloseGracefully(CallerCloseReason reason);
  void Close(CallerCloseReason reason);

  GatewayState& state_;
  TcpSocket socket_;
  boost::asio::steady_timer timer_;
  HttpParser parser_;
  // What the parser holds, and the bytes that are not written yet.
  HeldBytes input_held_;
  HeldBytes output_held_;
  ConnectionSlot slot_;
  std::shared_ptr<Exchange> exchange_;
  // Bytes of the write in progress, and those queued for the next one.
  std::string write_buffer_;
  std::string pending_output_;
  bool flush_posted_ = false;
  bool write_pending_ = false;
  bool read_pending_ = false;
  // The last bytes of the current answer are written or queued.
  bool answer_complete_ = false;
  bool keep_alive_ = true;
  // Idle time announced in the last answer; zero before the first one.
  std::chrono::seconds announced_idle_timeout_{0};
  // The idle timeout has passed; the connection closes unless a request has
  // arrived.
  bool idle_expired_ = false;
  // The exchange was asked to stop reading from its server.
  bool backpressure_ = false;
  // Whether this connection counts in GatewayState::unfinished_answers.
  bool counted_unfinished_ = false;
  // A request was rejected; nothing after its first bytes is read as a request.
  bool rejected_ = false;
  // Closing the socket now resets the connection: its end would else look like
  // the end of the answer.
  bool resets_on_close_ = false;
  // Half-closed; input is discarded until the caller closes.
  bool lingering_ = false;
  bool closed_ = false;
  // Why the node began to close the connection, and when.
  CallerCloseReason close_reason_ = CallerCloseReason::kNone;
  TimePoint close_began_at_;
  // When the connection was opened or the last answer was written.
  TimePoint idle_since_ = MonotonicNow();
  // Whether bytes were received since the current exchange started.
  bool read_ahead_ = false;
  // When the first of these bytes arrived, or the last bytes before the
  // exchange, which may hold the beginning of the next request.
  TimePoint read_ahead_since_;
  // When the first byte of the current request arrived.
  TimePoint request_began_at_;
  std::array<char, 16U << 10U> read_buffer_{};
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_CALLER_CONNECTION_H_
