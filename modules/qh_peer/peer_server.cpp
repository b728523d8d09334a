#include "qh_peer/peer_server.h"

#include <poll.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <list>
#include <mutex>
#include <thread>

#include "qh_core/log/log_line.h"
#include "qh_peer/http2_connection.h"
#include "qh_peer/tcp_socket.h"

namespace qh {
namespace {

constexpr size_t kHandlerThreads = 16;
// Longest time in milliseconds until the accept thread sees a stop request and
// removes closed connections.
constexpr int kAcceptPollMs = 100;
constexpr std::string_view kPathPrefix = "/peer/";

// Secrets are compared by their hashes, so that the duration of a comparison
// reveals nothing about the secret.
std::string SecretHash(const std::string& secret) {
  return KeySha256("Bearer " + secret);
}

}  // namespace

class PeerServer::Impl {
 public:
  Impl(TcpListener listener, const std::string& secret, PeerHandler handler)
      : listener_(listener),
        secret_sha256_(SecretHash(secret)),
        handler_(std::move(handler)),
        handler_pool_(kHandlerThreads),
        accept_thread_([this] { AcceptLoop(); }) {}

  ~Impl() {
    stopping_ = true;
    accept_thread_.join();
    handler_pool_.join();
    connections_.clear();
    close(listener_.socket);
  }

  uint16_t port() const { return listener_.port; }

 private:
  using ConnectionPtr = std::shared_ptr<Http2Connection>;

  // Runs on accept_thread_ until the server stops.
  void AcceptLoop() {
    while (!stopping_) {
      pollfd fd{listener_.socket, POLLIN, 0};
      poll(&fd, 1, kAcceptPollMs);
      for (int socket = AcceptTcp(listener_.socket); socket >= 0;
           socket = AcceptTcp(listener_.socket)) {
        AddConnection(socket);
      }
      connections_.remove_if([](const ConnectionPtr& connection) {
        return connection->is_closed();
      });
    }
  }

  void AddConnection(int socket) {
    // The callback needs a pointer to the connection that is only known after
    // the constructor. The callback waits for `ready` until the pointer is set.
    auto self = std::make_shared<std::weak_ptr<Http2Connection>>();
    auto ready = std::make_shared<std::mutex>();
    const std::lock_guard lock(*ready);
    auto connection = std::make_shared<Http2Connection>(
        socket, Http2Role::kServer,
        [this, self, ready](Http2Message message) {
          std::weak_ptr<Http2Connection> target;
          {
            const std::lock_guard wait(*ready);
            target = *self;
          }
          boost::asio::post(handler_pool_,
                            [this, target, message = std::move(message)] {
                              AnswerCall(target, message);
                            });
        },
        [] {});
    *self = connection;
    connections_.push_back(std::move(connection));
  }

  // Handles the request on a pool thread and sends the reply to `target`.
  void AnswerCall(const std::weak_ptr<Http2Connection>& target,
                  const Http2Message& request) {
    int status = 200;
    std::string body;
    const auto reply = Handle(request);
    if (reply) {
      body = reply.value();
    } else {
      status = AnswerFor(reply.error().kind()).status;
      LogLine("peer_call_refused").With(reply.error()).Warning();
    }
    // The pointer is held only for Post: a pool thread that held the last one
    // would run the destructor, which joins the connection's thread.
    if (const auto connection = target.lock()) {
      connection->Post([stream = request.stream, status,
                        body = std::move(body)](Http2Session& session) {
        session.SubmitReply(stream, status, body);
      });
    }
  }

  Result<std::string> Handle(const Http2Message& request) {
    if (KeySha256(request.authorization) != secret_sha256_) {
      return Error(ErrorKind::kUnauthorized, "wrong or missing peer secret");
    }
    if (!request.path.starts_with(kPathPrefix)) {
      return Error(ErrorKind::kPeerMalformed, "unknown path " + request.path);
    }
    const auto kind =
        FromName<PeerCallKind>(request.path.substr(kPathPrefix.size()));
    if (!kind) {
      return Error(ErrorKind::kPeerMalformed,
                   "unknown kind of call in path " + request.path);
    }
    return handler_({*kind, request.body});
  }

  const TcpListener listener_;
  const std::string secret_sha256_;
  PeerHandler handler_;
  boost::asio::thread_pool handler_pool_;
  // Used by the accept thread, and by the destructor once that thread has
  // ended.
  std::list<ConnectionPtr> connections_;
  std::atomic<bool> stopping_ = false;
  std::thread accept_thread_;
};

Result<std::unique_ptr<PeerServer>> PeerServer::Start(const Address& address,
                                                      const std::string& secret,
                                                      PeerHandler handler) {
  BOOST_OUTCOME_TRY(listener, ListenTcp(address.host, address.port));
  return std::unique_ptr<PeerServer>(new PeerServer(
      std::make_unique<Impl>(listener, secret, std::move(handler))));
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() = default;

uint16_t PeerServer::port() const {
  return impl_->port();
}

}  // namespace qh
