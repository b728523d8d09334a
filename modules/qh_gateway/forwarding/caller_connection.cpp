#include "qh_gateway/forwarding/caller_connection.h"

#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_net/idle_connection.h"

namespace qh {
void CallerConnection::Serve(GatewayState& state, TcpSocket socket) {
  if (!state.caller_limiter->MakeRoom(MonotonicNow())) {
    return;
  }
  TuneSocket(socket);
  const std::shared_ptr<CallerConnection> connection(
      new CallerConnection(state, std::move(socket)));
  connection->ArmReadTimer();
  connection->Read();
}

CallerConnection::CallerConnection(GatewayState& state, TcpSocket socket)
    : state_(state),
      socket_(std::move(socket)),
      timer_(state.io),
      parser_(MessageKind::kRequest, RequestLimits()),
      input_held_(state.byte_budget, HoldPurpose::kTraffic),
      output_held_(state.byte_budget, HoldPurpose::kTraffic),
      slot_(state.caller_limiter, MonotonicNow(), [this] {
        Close(CallerCloseReason::kLimited);
      }) {}

CallerLimits CallerConnection::Limits() const {
  return state_.config == nullptr ? CallerLimits() : state_.config->limits();
}

ParserLimits CallerConnection::RequestLimits() const {
  const CallerLimits limits = Limits();
  return {.header_bytes = limits.max_header_bytes,
          .body_bytes = limits.max_body_bytes};
}

void CallerConnection::Read() {
  if (read_pending_ || closed_ ||
      parser_.surplus_bytes() > MaxReadAheadBytes()) {
    return;
  }
  read_pending_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t size) {
        self->read_pending_ = false;
        if (self->closed_) {
          return;
        }
        const bool idle_expired = std::exchange(self->idle_expired_, false);
        if (idle_expired && error == boost::asio::error::operation_aborted) {
          self->Close(CallerCloseReason::kIdle);
          return;
        }
        if (error) {
          self->OnDisconnected(error);
          return;
        }
        self->OnBytes(size);
      });
}

size_t CallerConnection::MaxReadAheadBytes() const {
  return state_.byte_budget->is_tight() ? 0 : kMaxReadAheadBytes;
}

bool CallerConnection::CountInput(TimePoint now) {
  const size_t held = parser_.held_bytes();
  if (exchange_ != nullptr) {
    // These bytes are for later requests. They are bounded by
    // MaxReadAheadBytes, and a refusal would break into the running answer.
    input_held_.Set(held);
  } else if (!state_.caller_limiter->TryHold(input_held_, held, &slot_, now)) {
    return false;
  }
  CountOutput();
  return true;
}

void CallerConnection::OnDisconnected(const boost::system::error_code& error) {
  const bool orderly = error == boost::asio::error::eof;
  if (exchange_ != nullptr) {
    exchange_->OnCallerDisconnected(
        orderly ? "caller disconnected"
                : "connection to the caller lost: " + error.message());
  }
  Close(orderly ? CallerCloseReason::kCaller : CallerCloseReason::kNetwork);
}

void CallerConnection::LogDroppedInput(size_t size) {
  const TimePoint now = MonotonicNow();
  state_.metrics.Count({.name = "gateway_caller_input_dropped_total",
                        .reason = std::string(ToName(close_reason_))});
  state_.log.Write(
      LogLine(ToName(GatewayEvent::kCallerInputDropped))
          .With("bytes", size)
          .With("close", ToName(close_reason_))
          .With("since_ms", ToMilliseconds(now - close_began_at_))
          .With("rested_ms", ToMilliseconds(close_began_at_ - idle_since_))
          .With("idle_limit_ms", ToMilliseconds(Limits().idle_timeout)),
      GatewayEvent::kCallerInputDropped);
}

void CallerConnection::OnBytes(size_t size) {
  if (lingering_) {
    LogDroppedInput(size);
    Read();
    return;
  }
  if (rejected_) {
    // What follows a rejected request can't be told apart from its rest.
    Read();
    return;
  }
  const TimePoint now = MonotonicNow();
  if (!read_ahead_) {
    read_ahead_since_ = now;
  }
  read_ahead_ = exchange_ != nullptr;
  const bool is_first_read = !parser_.started();
  const bool had_head = parser_.head_done();
  if (is_first_read) {
    parser_.SetLimits(RequestLimits());
    request_began_at_ = now;
    slot_.SetPhase(ConnectionPhase::kReceiving, now);
  }
  // A stopping node waits for the rest of the request.
  SetUnfinished(true);
  const auto fed = parser_.Feed({read_buffer_.data(), size});
  if (!fed) {
    RejectRequest(fed.error());
    return;
  }
  if (!CountInput(now)) {
    RejectRequest(
        Error(ErrorKind::kOverloaded,
              "the node holds too much already to take a request of " +
                  std::to_string(parser_.held_bytes()) + " bytes"));
    return;
  }
  if (is_first_read || had_head != parser_.head_done()) {
    ArmReadTimer();
  }
  StartBufferedRequest();
  Read();
}

void CallerConnection::StartBufferedRequest() {
  if (exchange_ == nullptr && !closed_ && !lingering_ && !rejected_ &&
      parser_.done()) {
    StartExchange();
  }
}

void CallerConnection::StartExchange() {
  timer_.cancel();
  answer_complete_ = false;
  auto request = state_.codec.read_request(parser_.head());
  if (!request) {
    RejectRequest(request.error());
    return;
  }
  request.value().body = parser_.TakeBody();
  parser_.DropFields();
  input_held_.Set(parser_.held_bytes());
  slot_.SetPhase(ConnectionPhase::kRunning, MonotonicNow());
  if (auto& deadline = request.value().deadline) {
    // The caller's wait began when it sent the request.
    *deadline -= MonotonicNow() - request_began_at_;
  }
  // HTTP/1.0 has no chunked encoding: a stream ends with its connection.
  keep_alive_ = parser_.keep_alive() && parser_.head().minor_version > 0;
  const auto weak = weak_from_this();
  exchange_ = Exchange::Create(
      state_, std::move(request.value()), MonotonicNow(),
      {.begin_answer = [weak]() -> std::optional<std::chrono::seconds> {
         const auto self = weak.lock();
         return self == nullptr ? std::nullopt : self->BeginAnswer();
       },
       .write =
           [weak](std::string bytes, bool last) {
             if (const auto self = weak.lock()) {
               self->Write(std::move(bytes), last);
             }
           },
       .abort =
           [weak] {
             if (const auto self = weak.lock()) {
               self->Abort();
             }
           }});
  const auto exchange = exchange_;
  exchange->Start();
}

void CallerConnection::SetUnfinished(bool unfinished) {
  if (std::exchange(counted_unfinished_, unfinished) == unfinished) {
    return;
  }
  if (unfinished) {
    ++state_.unfinished_answers;
  } else {
    --state_.unfinished_answers;
  }
}

void CallerConnection::RejectRequest(const Error& error) {
  boost::system::error_code ignored;
  state_.log.Write(
      LogLine(ToName(GatewayEvent::kRequestRefused))
          .With("from", socket_.remote_endpoint(ignored).address().to_string())
          .With("status", AnswerFor(error.kind()).status)
          .With("reason", error.detail()),
      GatewayEvent::kRequestRefused);
  rejected_ = true;
  keep_alive_ = false;
  // Nothing of it is used any more.
  parser_ = HttpParser(MessageKind::kRequest, RequestLimits());
  input_held_.Set(0);
  Write(SerializeErrorAnswer(error, {}, std::nullopt), true);
}

std::optional<std::chrono::seconds> CallerConnection::BeginAnswer() {
  if (parser_.head().minor_version == 0) {
    // The answer may end with the connection. If the connection ends sooner,
    // for whatever reason, an orderly close would make it look complete.
    resets_on_close_ = true;
    SetResetOnClose(socket_, true);
  }
  keep_alive_ = keep_alive_ && !state_.draining_since;
  if (!keep_alive_) {
    return std::nullopt;
  }
  announced_idle_timeout_ = AnnouncedIdleTimeout(Limits().idle_timeout);
  return announced_idle_timeout_;
}

void CallerConnection::ArmReadTimer() {
  const CallerLimits limits = Limits();
  if (!parser_.started()) {
    timer_.expires_after(idle_since_ + IdleTimeout() - MonotonicNow());
  } else {
    timer_.expires_after(parser_.head_done() ? limits.idle_timeout
                                             : limits.header_timeout);
  }
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->closed_) {
          self->OnTimeout();
        }
      });
}

void CallerConnection::OnTimeout() {
  if (lingering_) {
    Close(close_reason_);
    return;
  }
  // A timer that was armed again can't recall a handler that is queued already.
  const bool expired = timer_.expiry() <= std::chrono::steady_clock::now();
  if (exchange_ != nullptr || rejected_ || !expired) {
    return;
  }
  if (parser_.started()) {
    RejectRequest(
        Error(ErrorKind::kRequestTimeout, "request not received in time"));
    return;
  }
  if (MonotonicNow() < idle_since_ + IdleTimeout()) {
    // The configuration has raised the limit meanwhile.
    ArmReadTimer();
    return;
  }
  CloseIdle();
}

Duration CallerConnection::IdleTimeout() const {
  return IdleCloseDelay(announced_idle_timeout_, Limits().idle_timeout);
}

// Bytes that have not been read yet are left unread: the close then shows the
// caller that the node has not seen its request.
void CallerConnection::CloseIdle() {
  if (!read_pending_) {
    Close(CallerCloseReason::kIdle);
    return;
  }
  // The read may have received a request that is not handled yet; its handler
  // decides.
  idle_expired_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

}  // namespace qh
