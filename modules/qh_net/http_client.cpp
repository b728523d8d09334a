#include "qh_net/http_client.h"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

std::string Serialize(const HttpCall& call, const Address& address) {
  std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
  AppendField(text, "Host", address.ToString());
  for (const HttpField& field : call.fields) {
    AppendField(text, field.name, field.value);
  }
  if (!call.body.empty()) {
    AppendField(text, "Content-Type", "application/json");
  }
  if (!call.body.empty() || call.method != "GET") {
    AppendField(text, "Content-Length", std::to_string(call.body.size()));
  }
  return text + "\r\n" + call.body;
}

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(
    boost::asio::io_context& io,
    Address address,
    std::shared_ptr<ByteBudget> budget,
    const ParserLimits& limits) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(io, std::move(address), std::move(budget), limits));
}

HttpClient::HttpClient(boost::asio::io_context& io,
                       Address address,
                       std::shared_ptr<ByteBudget> budget,
                       const ParserLimits& limits)
    : io_(io),
      address_(std::move(address)),
      link_(std::make_shared<Link>(io)),
      timer_(io),
      limits_(limits),
      parser_(MessageKind::kAnswer, limits),
      held_(std::move(budget), HoldPurpose::kControl) {}

void HttpClient::Send(HttpCall call, Duration timeout, Hook on_reply) {
  queue_.push_back({std::move(call), timeout, std::move(on_reply)});
  if (!busy_) {
    StartNext();
  }
}

void HttpClient::Stop() {
  queue_.clear();
  busy_ = false;
  timer_.cancel();
  CloseSocket();
}

void HttpClient::CloseSocket() {
  ++generation_;
  connected_ = false;
  write_pending_ = false;
  connection_end_ = {};
  boost::system::error_code ignored;
  link_->socket.close(ignored);
  link_ = std::make_shared<Link>(io_);
  parser_ = HttpParser(MessageKind::kAnswer, limits_);
  held_.Set(0);
}

void HttpClient::StartNext() {
  if (queue_.empty()) {
    return;
  }
  busy_ = true;
  sent_ = false;
  out_ = Serialize(queue_.front().call, address_);
  if (connected_) {
    ArmTimer(queue_.front().timeout);
    Write();
  } else {
    Connect();
  }
}

void HttpClient::ArmTimer(Duration timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        // The handler of a timer that was set again may still be queued for the
        // old expiry time.
        const bool expired =
            self->timer_.expiry() <= std::chrono::steady_clock::now();
        if (!error && expired && self->busy_) {
          self->Finish({.outcome = self->sent_ ? HttpCallOutcome::kNoAnswer
                                               : HttpCallOutcome::kNotSent});
        }
      });
}

void HttpClient::Connect() {
  const Duration timeout = queue_.front().timeout;
  ArmTimer(std::min<Duration>(timeout, kConnectTimeout));
  const auto endpoint = ToEndpoint(address_);
  if (!endpoint) {
    Finish({.outcome = HttpCallOutcome::kNotSent});
    return;
  }
  link_->socket.async_connect(
      endpoint.value(), [self = shared_from_this(), connection = generation_,
                         timeout](const boost::system::error_code& error) {
        if (connection != self->generation_) {
          return;
        }
        if (error) {
          self->Finish({.outcome = HttpCallOutcome::kNotSent});
          return;
        }
        self->connected_ = true;
        TuneSocket(self->link_->socket);
        self->ArmTimer(timeout);
        self->Write();
        self->Read();
      });
}

void HttpClient::Write() {
  sent_ = true;
  write_pending_ = true;
  link_->out = std::move(out_);
  boost::asio::async_write(
      link_->socket, boost::asio::buffer(link_->out),
      [self = shared_from_this(), link = link_, connection = generation_](
          const boost::system::error_code& error, size_t /*size*/) {
        if (connection != self->generation_) {
          return;
        }
        if (error) {
          // The peer may have answered before it ended the connection; the
          // pending read decides how the call ends.
          self->connection_end_.OnWriteFailed(error);
          return;
        }
        self->write_pending_ = false;
      });
}

// A read is pending at all times, so that the client notices when the peer
// closes an idle connection.
void HttpClient::Read() {
  link_->socket.async_read_some(
      boost::asio::buffer(in_),
      [self = shared_from_this(), connection = generation_](
          const boost::system::error_code& error, size_t size) {
        if (connection != self->generation_) {
          return;
        }
        if (error) {
          self->OnConnectionEnd(self->connection_end_.IsOrderly(error));
          return;
        }
        self->OnBytes(size);
      });
}

void HttpClient::OnBytes(size_t size) {
  const uint64_t connection = generation_;
  const bool expected = busy_ && sent_;
  if (!expected) {
    OnConnectionEnd(false);
    return;
  }
  auto parsed = parser_.Feed({in_.data(), size});
  while (parsed && parser_.done() && IsInterimStatus(parser_.head().status)) {
    parsed = parser_.Next();
  }
  if (!parsed) {
    RefuseAnswer(parsed.error());
    return;
  }
  if (!held_.TrySet(parser_.held_bytes())) {
    RefuseAnswer(Error(ErrorKind::kOverloaded,
                       std::to_string(parser_.held_bytes()) +
                           " bytes are too many beside what is held already"));
    return;
  }
  if (parser_.done()) {
    CallReply reply{.outcome = HttpCallOutcome::kAnswered,
                    .status = parser_.head().status,
                    .body = parser_.TakeBody(),
                    .fields = parser_.head().fields};
    held_.Set(0);
    const bool keep = !write_pending_ && parser_.keep_alive() &&
                      !parser_.has_surplus() && bool(parser_.Next());
    if (!keep) {
      CloseSocket();
    }
    Finish(std::move(reply));
  }
  if (connection == generation_) {
    Read();
  }
}

void HttpClient::RefuseAnswer(const Error& error) {
  LogLine("answer_refused")
      .With("from", address_.ToString())
      .With(error)
      .Warning();
  // What is held is not a complete answer.
  CloseSocket();
  Finish({.outcome = HttpCallOutcome::kNoAnswer});
}

void HttpClient::OnConnectionEnd(bool orderly) {
  // Only an orderly end completes an answer that has no length.
  const bool complete =
      orderly && bool(parser_.FeedEnd()) && parser_.head_done();
  const int status = complete ? parser_.head().status : 0;
  std::string body = complete ? parser_.TakeBody() : std::string();
  std::vector<HttpField> fields =
      complete ? parser_.head().fields : std::vector<HttpField>();
  CloseSocket();
  if (!busy_) {
    return;
  }
  if (complete) {
    Finish({.outcome = HttpCallOutcome::kAnswered,
            .status = status,
            .body = std::move(body),
            .fields = std::move(fields)});
    return;
  }
  Finish({.outcome =
              sent_ ? HttpCallOutcome::kNoAnswer : HttpCallOutcome::kNotSent});
}

void HttpClient::Finish(CallReply reply) {
  timer_.cancel();
  if (reply.outcome != HttpCallOutcome::kAnswered) {
    CloseSocket();
  }
  const Hook on_reply = std::move(queue_.front().on_reply);
  queue_.pop_front();
  busy_ = false;
  const auto self = shared_from_this();
  on_reply(reply);
  if (!busy_) {
    StartNext();
  }
}

}  // namespace qh
