#include "qh_gateway/forwarding/server_connection.h"

#include <boost/asio/write.hpp>

namespace qh {
namespace {

constexpr ParserLimits kAnswerLimits = {.header_bytes = 32U << 10U,
                                        .body_bytes = 256U << 20U};
// Most bytes of interim answers and of answers to earlier requests that are
// skipped for one request.
constexpr size_t kMaxSkippedBytes = size_t{4} << 20U;

}  // namespace

ServerConnectionPtr ServerConnection::Create(boost::asio::io_context& io,
                                             const WireCodec& codec,
                                             ServerId server) {
  return ServerConnectionPtr(
      new ServerConnection(io, codec, std::move(server)));
}

ServerConnection::ServerConnection(boost::asio::io_context& io,
                                   const WireCodec& codec,
                                   ServerId server)
    : codec_(codec),
      server_(std::move(server)),
      socket_(io),
      timer_(io),
      parser_(MessageKind::kAnswer, kAnswerLimits) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Connect(const Address& address,
                               Duration timeout,
                               std::function<void(bool)> on_done) {
  state_ = State::kConnecting;
  address_ = address;
  const auto endpoint = ToEndpoint(address);
  const auto done =
      std::make_shared<std::function<void(bool)>>(std::move(on_done));
  const auto finish = [self = shared_from_this(), done](bool connected) {
    if (!*done) {
      return;
    }
    const auto call = std::exchange(*done, nullptr);
    self->timer_.cancel();
    if (connected) {
      self->state_ = State::kIdle;
      TuneSocket(self->socket_);
      self->Read();
    } else {
      self->Close();
    }
    call(connected);
  };
  if (!endpoint) {
    finish(false);
    return;
  }
  timer_.expires_after(timeout);
  timer_.async_wait([finish](const boost::system::error_code& error) {
    if (!error) {
      finish(false);
    }
  });
  socket_.async_connect(
      endpoint.value(), [self = shared_from_this(),
                         finish](const boost::system::error_code& error) {
        self->was_refused_ = error == boost::asio::error::connection_refused;
        finish(!error);
      });
}

void ServerConnection::SendRequest(std::string bytes,
                                   std::string request_id,
                                   Listener listener) {
  state_ = State::kBusy;
  write_buffer_ = std::move(bytes);
  request_id_ = std::move(request_id);
  listener_ = std::move(listener);
  skipping_answer_ = false;
  bytes_before_answer_ = 0;
  head_delivered_ = false;
  request_written_ = false;
  read_paused_ = false;
  // The request may be lost if the connection ends before the answer.
  SetSilenceTolerance(socket_, SilenceTolerance::kLong);
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t /*size*/) {
        if (error) {
          // The server may have answered before it closed; the pending read
          // decides how the request ends.
          self->must_close_ = true;
          self->connection_end_.OnWriteFailed(error);
          return;
        }
        self->request_written_ = true;
        // The connection may rest for long.
        self->write_buffer_ = {};
      });
  Read();
}

void ServerConnection::SetReadPaused(bool paused) {
  read_paused_ = paused;
  Read();
}

// Keeps one read pending at all times, also while idle, to notice when the
// server closes the connection or sends unexpected bytes.
void ServerConnection::Read() {
  if (read_pending_ || read_paused_ || state_ == State::kClosed) {
    return;
  }
  read_pending_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t size) {
        self->read_pending_ = false;
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->OnClosedByServer(error);
          return;
        }
        self->OnBytes(size);
      });
}

void ServerConnection::OnBytes(size_t size) {
  if (state_ == State::kIdle) {
    // No request is outstanding: a second answer, or garbage.
    Close();
    if (on_idle_close_) {
      on_idle_close_();
    }
    return;
  }
  const auto fed = parser_.Feed({read_buffer_.data(), size});
  if (!fed) {
    CompleteRequest(Error(ErrorKind::kMalformedAnswer, fed.error().detail()));
    return;
  }
  const auto self = shared_from_this();
  if (ProcessInput() && CountSkippedBytes(size)) {
    Read();
  }
}

bool ServerConnection::CountSkippedBytes(size_t size) {
  if (state_ != State::kBusy || head_delivered_) {
    return true;
  }
  bytes_before_answer_ += size;
  if (bytes_before_answer_ <= kMaxSkippedBytes) {
    return true;
  }
  CompleteRequest(Error(ErrorKind::kMalformedAnswer,
                        std::to_string(bytes_before_answer_) +
                            " bytes that don't answer the request"));
  return false;
}

bool ServerConnection::ProcessInput() {
  while (state_ == State::kBusy && parser_.head_done()) {
    if (!head_delivered_ && !skipping_answer_ && !OnHead()) {
      return false;
    }
    std::string body = parser_.TakeBody();
    if (!skipping_answer_ && head_delivered_ && !body.empty()) {
      listener_.on_body(std::move(body));
      if (state_ != State::kBusy) {
        return false;
      }
    }
    if (!parser_.done()) {
      return true;
    }
    if (!skipping_answer_ && head_delivered_) {
      CompleteRequest(AnswerEnd::kFramed);
      return state_ != State::kClosed;
    }
    skipping_answer_ = false;
    if (!parser_.Next()) {
      CompleteRequest(
          Error(ErrorKind::kMalformedAnswer,
                "unparsable bytes after an interim or late answer"));
      return false;
    }
  }
  return state_ != State::kClosed;
}

bool ServerConnection::OnHead() {
  const HttpHead& head = parser_.head();
  if (IsInterimStatus(head.status)) {
    skipping_answer_ = true;
    return true;
  }
  const AnswerTraits traits = codec_.read_answer(head);
  const bool has_no_id = traits.request_id.empty();
  const bool answered_before = std::exchange(answered_before_, true);
  // Without an id, only the first answer on a connection can't be one to an
  // earlier request.
  const bool may_be_late = has_no_id ? traits.not_executed && answered_before
                                     : traits.request_id != request_id_;
  if (may_be_late) {
    // The expected answer may follow.
    skipping_answer_ = true;
    must_close_ = true;
    if (parser_.framing() == BodyFraming::kUntilClose) {
      CompleteRequest(Error(ErrorKind::kMalformedAnswer,
                            "answer belongs to another request"));
      return false;
    }
    return true;
  }
  if (has_no_id && !traits.not_executed) {
    CompleteRequest(
        Error(ErrorKind::kMalformedAnswer, "answer without request id"));
    return false;
  }
  head_delivered_ = true;
  idle_timeout_ = traits.idle_limit;
  listener_.on_head(head, traits);
  return state_ == State::kBusy;
}

void ServerConnection::OnClosedByServer(
    const boost::system::error_code& error) {
  if (state_ != State::kBusy) {
    Close();
    if (on_idle_close_) {
      on_idle_close_();
    }
    return;
  }
  // Only an orderly close (FIN) can end an answer that has no length.
  const bool orderly = connection_end_.IsOrderly(error);
  if (orderly && head_delivered_ && parser_.head_done() && parser_.FeedEnd()) {
    must_close_ = true;
    CompleteRequest(AnswerEnd::kClosed);
    return;
  }
  const std::string how = orderly ? "closed by the server"
                                  : "connection broken: " + error.message();
  CompleteRequest(
      Error(ErrorKind::kServerFailed,
            (head_delivered_ ? "answer cut, " : "no answer, ") + how));
}

void ServerConnection::CompleteRequest(Result<AnswerEnd> result) {
  const auto self = shared_from_this();
  const Listener listener = std::move(listener_);
  listener_ = {};
  const bool keep = result && request_written_ && !must_close_ &&
                    parser_.keep_alive() && !parser_.has_surplus() &&
                    bool(parser_.Next());
  if (keep) {
    state_ = State::kIdle;
    read_paused_ = false;
    SetSilenceTolerance(socket_, SilenceTolerance::kShort);
  } else {
    Close();
  }
  listener.on_end(std::move(result));
}

void ServerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const auto self = weak_from_this().lock();
  state_ = State::kClosed;
  listener_ = {};
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (const auto on_close = std::exchange(on_close_, nullptr)) {
    on_close();
  }
}

bool ServerConnection::reusable() const {
  return state_ == State::kIdle;
}

void ServerConnection::SetIdleCloseHandler(
    std::function<void()> on_idle_close) {
  on_idle_close_ = std::move(on_idle_close);
}

void ServerConnection::SetCloseHandler(std::function<void()> on_close) {
  on_close_ = std::move(on_close);
}

}  // namespace qh
