#include "qh_gateway/forwarding/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"

namespace qh {
namespace {

// How long a caller may take to end its side after the last answer.
constexpr auto kLingerLimit = std::chrono::seconds(1);

}  // namespace

void CallerConnection::Serve(GatewayState& state, TcpSocket socket) {
  TuneSocket(socket);
  const std::shared_ptr<CallerConnection> connection(
      new CallerConnection(state, std::move(socket)));
  connection->ArmTimer();
  connection->Read();
}

CallerConnection::CallerConnection(GatewayState& state, TcpSocket socket)
    : state_(state),
      socket_(std::move(socket)),
      timer_(state.io),
      parser_(MakeParser()) {}

CallerLimits CallerConnection::Limits() const {
  return state_.config == nullptr ? CallerLimits() : state_.config->limits();
}

HttpParser CallerConnection::MakeParser() const {
  const CallerLimits limits = Limits();
  return {MessageKind::kRequest,
          {.header_bytes = limits.max_header_bytes,
           .body_bytes = limits.max_body_bytes}};
}

void CallerConnection::Read() {
  if (read_pending_ || closed_ || read_ahead_ > kMostReadAhead) {
    return;
  }
  read_pending_ = true;
  socket_.async_read_some(
      boost::asio::buffer(in_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t size) {
        self->read_pending_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnReadEnd();
          return;
        }
        self->OnBytes(size);
      });
}

void CallerConnection::OnReadEnd() {
  if (exchange_ != nullptr) {
    exchange_->OnCallerGone();
  }
  Close();
}

void CallerConnection::OnBytes(size_t size) {
  if (lingering_) {
    Read();
    return;
  }
  if (exchange_ != nullptr) {
    read_ahead_ += size;
  }
  const bool began = !parser_.started();
  const auto fed = parser_.Feed({in_.data(), size});
  if (!fed) {
    RefuseUnread(fed.error());
    return;
  }
  if (began) {
    ArmTimer();
  }
  Continue();
  Read();
}

void CallerConnection::Continue() {
  if (exchange_ == nullptr && !closed_ && !lingering_ && parser_.done()) {
    StartExchange();
  }
}

void CallerConnection::StartExchange() {
  timer_.cancel();
  answered_ = false;
  auto request = state_.codec.read_request(parser_.head());
  if (!request) {
    RefuseUnread(request.error());
    return;
  }
  request.value().body = parser_.TakeBody();
  // The end of a stream to a caller of HTTP/1.0 is the connection's end.
  keep_alive_ = parser_.keep_alive() && parser_.head().minor_version > 0;
  request.value().keep_alive = keep_alive_;
  const auto weak = weak_from_this();
  SetUnfinished(true);
  exchange_ =
      Exchange::Create(state_, std::move(request.value()), MonotonicNow(),
                       {.write =
                            [weak](std::string bytes, bool last) {
                              if (const auto self = weak.lock()) {
                                self->Write(std::move(bytes), last);
                              }
                            },
                        .cut =
                            [weak] {
                              if (const auto self = weak.lock()) {
                                self->Cut();
                              }
                            }});
  const auto exchange = exchange_;
  exchange->Start();
}

void CallerConnection::SetUnfinished(bool unfinished) {
  if (std::exchange(unfinished_, unfinished) == unfinished) {
    return;
  }
  if (unfinished) {
    ++state_.unfinished_answers;
  } else {
    --state_.unfinished_answers;
  }
}

// The bytes are no request that could be run; nothing after them is read.
void CallerConnection::RefuseUnread(const Error& error) {
  state_.log.Write(LogLine(ToName(GatewayEvent::kRequestRefused))
                       .With("status", AnswerFor(error.kind()).status)
                       .With("reason", error.detail()),
                   GatewayEvent::kRequestRefused);
  if (exchange_ != nullptr) {
    // Read ahead of the present answer; the connection ends after it.
    keep_alive_ = false;
    read_ahead_ = kMostReadAhead + 1;
    return;
  }
  keep_alive_ = false;
  Write(SerializeErrorAnswer(error, {}, false), true);
}

void CallerConnection::ArmTimer() {
  const CallerLimits limits = Limits();
  const Duration limit = parser_.started() && !parser_.head_done()
                             ? limits.header_timeout
                             : limits.idle_timeout;
  timer_.expires_after(limit);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->closed_) {
          self->OnTimer();
        }
      });
}

void CallerConnection::OnTimer() {
  if (lingering_) {
    Close();
    return;
  }
  if (exchange_ != nullptr) {
    return;
  }
  if (parser_.started()) {
    RefuseUnread(Error(ErrorKind::kRequestTimeout, "request not read in time"));
    return;
  }
  CloseGently();
}

void CallerConnection::Write(std::string bytes, bool last) {
  if (closed_) {
    return;
  }
  if (unsent_.empty()) {
    unsent_ = std::move(bytes);
  } else {
    unsent_ += bytes;
  }
  answered_ = answered_ || last;
  FlushSoon();
  if (!congested_ && unsent_.size() > kMostUnsent && exchange_ != nullptr) {
    congested_ = true;
    exchange_->SetCongested(true);
  }
}

// Parts that are handed over in one turn of the loop leave in one write.
void CallerConnection::FlushSoon() {
  if (std::exchange(flush_posted_, true)) {
    return;
  }
  boost::asio::post(state_.io, [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
}

void CallerConnection::Flush() {
  if (write_pending_ || closed_) {
    return;
  }
  if (unsent_.empty()) {
    if (answered_) {
      OnAnswered();
    }
    return;
  }
  write_pending_ = true;
  writing_ = std::exchange(unsent_, {});
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t /*size*/) {
        self->write_pending_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnReadEnd();
          return;
        }
        self->OnWritten();
      });
}

void CallerConnection::OnWritten() {
  if (congested_ && unsent_.size() < kMostUnsent / 2 && exchange_ != nullptr) {
    congested_ = false;
    exchange_->SetCongested(false);
  }
  Flush();
}

// The present answer is on its way whole; the next request may begin.
void CallerConnection::OnAnswered() {
  SetUnfinished(false);
  exchange_ = nullptr;
  answered_ = false;
  congested_ = false;
  read_ahead_ = 0;
  if (!keep_alive_ || state_.draining_since || !parser_.Next()) {
    CloseGently();
    return;
  }
  ArmTimer();
  Continue();
  Read();
}

// An answer that breaks off must not look whole: no end of its chunks is sent.
void CallerConnection::Cut() {
  exchange_ = nullptr;
  Close();
}

void CallerConnection::CloseGently() {
  if (closed_ || lingering_) {
    return;
  }
  lingering_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(TcpSocket::shutdown_send, ignored);
  timer_.expires_after(kLingerLimit);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->Close();
        }
      });
  Read();
}

void CallerConnection::Close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  SetUnfinished(false);
  exchange_ = nullptr;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace qh
