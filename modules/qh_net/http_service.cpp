#include "qh_net/http_service.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "qh_core/log/log_line.h"
#include "qh_net/http_parser.h"
#include "qh_net/idle_connection.h"

namespace qh {
namespace {

// A connection on which no complete request arrives, or whose client does not
// read its answer, for this long is closed.
constexpr auto kIdleTimeout = std::chrono::seconds(30);
// Pause after a failed accept.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

std::string Serialize(const ServiceAnswer& answer, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                     std::string(ReasonPhrase(answer.status)) + "\r\n";
  AppendField(text, "Content-Type", answer.content_type);
  AppendField(text, "Content-Length", std::to_string(answer.body.size()));
  if (keep_alive) {
    AppendKeepAlive(text, AnnouncedIdleTimeout(kIdleTimeout));
  } else {
    AppendField(text, "Connection", "close");
  }
  return text + "\r\n" + answer.body;
}

}  // namespace

class HttpService::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(TcpSocket socket,
             std::shared_ptr<ByteBudget> budget,
             std::shared_ptr<ConnectionLimiter> limiter,
             Hook answer)
      : socket_(std::move(socket)),
        idle_(socket_.get_executor()),
        answer_(std::move(answer)),
        parser_(MessageKind::kRequest, {.body_bytes = kMaxBodyBytes}),
        held_(std::move(budget), HoldPurpose::kControl),
        slot_(std::move(limiter), MonotonicNow(), [this] { Close(); }) {}

  void Start() {
    ArmTimer();
    Read();
  }

 private:
  void ArmTimer() {
    idle_.expires_after(kIdleTimeout);
    idle_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Close();
          }
        });
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(in_),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    size_t size) {
          if (error || self->closed_) {
            self->Close();
            return;
          }
          self->OnBytes(size);
        });
  }

  void OnBytes(size_t size) {
    const TimePoint now = MonotonicNow();
    if (!parser_.started()) {
      slot_.SetPhase(ConnectionPhase::kReceiving, now);
    }
    if (const auto fed = parser_.Feed({in_.data(), size}); !fed) {
      Refuse(fed.error());
      return;
    }
    // Nobody reads the body.
    parser_.TakeBody();
    if (!Hold(parser_.held_bytes(), now)) {
      Refuse(Error(ErrorKind::kOverloaded, "too much is held already"));
      return;
    }
    AnswerOrRead();
  }

  // Returns false if the connection may not hold `bytes` in all.
  bool Hold(uint64_t bytes, TimePoint now) {
    const bool fits = slot_.limiter().TryHold(held_, bytes, &slot_, now);
    slot_.SetHeld(fits ? bytes : 0);
    return fits;
  }

  void Refuse(const Error& error) {
    boost::system::error_code ignored;
    LogLine("control_request_refused")
        .With("from", socket_.remote_endpoint(ignored).address().to_string())
        .With(error)
        .Warning();
    Close();
  }

  void AnswerOrRead() {
    if (!parser_.done()) {
      Read();
      return;
    }
    const bool keep_alive = parser_.keep_alive();
    out_ = Serialize(answer_(parser_.head()), keep_alive);
    const TimePoint now = MonotonicNow();
    slot_.SetPhase(ConnectionPhase::kSending, now);
    if (!Hold(MemoryOf(out_) + parser_.held_bytes(), now)) {
      Refuse(Error(ErrorKind::kOverloaded, "too much is held for the answer"));
      return;
    }
    boost::asio::async_write(
        socket_, boost::asio::buffer(out_),
        [self = shared_from_this(), keep_alive](
            const boost::system::error_code& error, size_t /*size*/) {
          std::string().swap(self->out_);
          if (error || self->closed_ || !keep_alive || !self->parser_.Next()) {
            self->Close();
            return;
          }
          const TimePoint now = MonotonicNow();
          self->slot_.SetPhase(ConnectionPhase::kIdle, now);
          if (self->parser_.started()) {
            self->slot_.SetPhase(ConnectionPhase::kReceiving, now);
          }
          self->held_.Set(self->parser_.held_bytes());
          self->slot_.SetHeld(self->parser_.held_bytes());
          self->ArmTimer();
          self->AnswerOrRead();
        });
  }

  // Ends the connection and frees what it holds.
  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    idle_.cancel();
    boost::system::error_code ignored;
    socket_.shutdown(TcpSocket::shutdown_both, ignored);
    socket_.close(ignored);
    slot_.Release();
    parser_ = HttpParser(MessageKind::kRequest, {});
    std::string().swap(out_);
    held_.Set(0);
  }

  TcpSocket socket_;
  boost::asio::steady_timer idle_;
  Hook answer_;
  HttpParser parser_;
  // What the parser holds, and the answer that is being written.
  HeldBytes held_;
  ConnectionSlot slot_;
  bool closed_ = false;
  std::string out_;
  std::array<char, 4U << 10U> in_{};
};

Result<std::shared_ptr<HttpService>> HttpService::Start(
    boost::asio::io_context& io,
    const Address& address,
    Hook answer,
    std::shared_ptr<ByteBudget> budget,
    std::shared_ptr<ConnectionLimiter> limiter) {
  BOOST_OUTCOME_TRY(acceptor, Listen(io, address));
  std::shared_ptr<HttpService> service(
      new HttpService(std::move(acceptor), std::move(budget),
                      std::move(limiter), std::move(answer)));
  service->Accept();
  return service;
}

HttpService::HttpService(TcpAcceptor acceptor,
                         std::shared_ptr<ByteBudget> budget,
                         std::shared_ptr<ConnectionLimiter> limiter,
                         Hook answer)
    : acceptor_(std::move(acceptor)),
      budget_(std::move(budget)),
      limiter_(std::move(limiter)),
      answer_(std::move(answer)) {}

void HttpService::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpService::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  TcpSocket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (error) {
          LogLine("accept_failed").With("reason", error.message()).Warning();
          // The process may be out of file descriptors; some may be closed
          // during the pause.
          const auto pause = std::make_shared<boost::asio::steady_timer>(
              self->acceptor_.get_executor(), kAcceptPause);
          pause->async_wait([self, pause](const boost::system::error_code&) {
            self->Accept();
          });
          return;
        }
        if (self->limiter_->MakeRoom(MonotonicNow())) {
          TuneSocket(socket);
          std::make_shared<Connection>(std::move(socket), self->budget_,
                                       self->limiter_, self->answer_)
              ->Start();
        }
        self->Accept();
      });
}

}  // namespace qh
