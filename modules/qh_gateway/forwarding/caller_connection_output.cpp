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
  CountOutput();
  answer_complete_ = answer_complete_ || last;
  if (answer_complete_) {
    slot_.SetPhase(ConnectionPhase::kSending, MonotonicNow());
  }
  ScheduleFlush();
  if (!backpressure_ && pending_output_.size() > MaxUnsentBytes() &&
      exchange_ != nullptr) {
    backpressure_ = true;
    exchange_->SetBackpressure(true);
  }
}

void CallerConnection::CountOutput() {
  const size_t unsent = MemoryOf(pending_output_) + MemoryOf(write_buffer_);
  output_held_.Set(unsent);
  slot_.SetHeld(unsent + parser_.held_bytes());
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
  std::string().swap(write_buffer_);
  CountOutput();
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
  read_ahead_ = false;
  idle_since_ = MonotonicNow();
  slot_.SetPhase(ConnectionPhase::kIdle, idle_since_);
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
  CountOutput();
  if (parser_.started()) {
    slot_.SetPhase(ConnectionPhase::kReceiving, idle_since_);
  }
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
  slot_.SetPhase(ConnectionPhase::kClosing, close_began_at_);
  // Requests that are buffered are not handled any more.
  parser_ = HttpParser(MessageKind::kRequest, RequestLimits());
  input_held_.Set(0);
  CountOutput();
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
  // The connection itself ends once its handlers have run.
  slot_.Release();
  parser_ = HttpParser(MessageKind::kRequest, RequestLimits());
  std::string().swap(pending_output_);
  std::string().swap(write_buffer_);
  input_held_.Set(0);
  output_held_.Set(0);
}

}  // namespace qh
