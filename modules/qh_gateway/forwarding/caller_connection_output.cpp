// The part of CallerConnection that writes answers and closes the connection.

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "qh_gateway/forwarding/caller_connection.h"

namespace qh {
namespace {

// How long a half-closed connection waits for the caller to close.
constexpr auto kLingerTimeout = std::chrono::seconds(1);

}  // namespace

void CallerConnection::Write(std::string bytes, bool last) {
  if (closed_) {
    return;
  }
  if (pending_output_.empty()) {
    pending_output_ = std::move(bytes);
  } else {
    pending_output_ += bytes;
  }
  output_held_.Set(pending_output_.size() + write_buffer_.size());
  answer_complete_ = answer_complete_ || last;
  ScheduleFlush();
  if (!backpressure_ && pending_output_.size() > MaxUnsentBytes() &&
      exchange_ != nullptr) {
    backpressure_ = true;
    exchange_->SetBackpressure(true);
  }
}

size_t CallerConnection::MaxUnsentBytes() const {
  return state_.byte_budget->is_tight() ? kMaxUnsentBytesWhenTight
                                        : kMaxUnsentBytes;
}

// Posts the flush, so that all bytes queued in one turn of the event loop go
// out in one write.
void CallerConnection::ScheduleFlush() {
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
  if (pending_output_.empty()) {
    if (answer_complete_) {
      OnAnswerWritten();
    }
    return;
  }
  write_pending_ = true;
  write_buffer_ = std::exchange(pending_output_, {});
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t /*size*/) {
        self->write_pending_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnDisconnected(error);
          return;
        }
        self->OnWriteDone();
      });
}

void CallerConnection::OnWriteDone() {
  write_buffer_ = {};
  output_held_.Set(pending_output_.size());
  if (backpressure_ && pending_output_.size() < MaxUnsentBytes() / 2 &&
      exchange_ != nullptr) {
    backpressure_ = false;
    exchange_->SetBackpressure(false);
  }
  Flush();
}

// The whole answer has been written to the socket; the next request may start.
void CallerConnection::OnAnswerWritten() {
  SetUnfinished(false);
  exchange_ = nullptr;
  answer_complete_ = false;
  backpressure_ = false;
  if (std::exchange(resets_on_close_, false)) {
    SetResetOnClose(socket_, false);
  }
  read_ahead_ = 0;
  idle_since_ = MonotonicNow();
  if (!keep_alive_) {
    CloseGracefully(CallerCloseReason::kAnswered);
    return;
  }
  parser_.SetLimits(RequestLimits());
  request_began_at_ = read_ahead_since_;
  const auto next = parser_.Next();
  if (!next) {
    RejectRequest(next.error());
    return;
  }
  input_held_.Set(parser_.held_bytes());
  SetUnfinished(parser_.started());
  ArmReadTimer();
  StartBufferedRequest();
  Read();
}

// Closes without sending the last chunk, so that the caller can tell that the
// answer is incomplete.
void CallerConnection::Abort() {
  exchange_ = nullptr;
  Close(CallerCloseReason::kAborted);
}

void CallerConnection::CloseGracefully(CallerCloseReason reason) {
  if (closed_ || lingering_) {
    return;
  }
  lingering_ = true;
  close_reason_ = reason;
  close_began_at_ = MonotonicNow();
  boost::system::error_code ignored;
  socket_.shutdown(TcpSocket::shutdown_send, ignored);
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->Close(self->close_reason_);
        }
      });
  Read();
}

void CallerConnection::Close(CallerCloseReason reason) {
  if (std::exchange(closed_, true)) {
    return;
  }
  state_.metrics.Count(
      {.name = "gateway_caller_connections_closed_total",
       .reason = std::string(ToName(lingering_ ? close_reason_ : reason))});
  SetUnfinished(false);
  exchange_ = nullptr;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace qh
