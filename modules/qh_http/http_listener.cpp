#include "qh_http/http_listener.h"

#include "qh_http/elastic_pool.h"

namespace qh {
namespace {

constexpr size_t kMaxRequestsPerConnection = 1'000'000;
// Connections that may wait to be accepted. With cpp-httplib's default of 5,
// connections of a burst have to wait one second for a TCP retransmit.
constexpr int kBacklog = 1'024;
constexpr auto kStartPollInterval = std::chrono::milliseconds(1);

// Lets cpp-httplib run its connections on an ElasticPool.
class ElasticTaskQueue final : public httplib::TaskQueue {
 public:
  explicit ElasticTaskQueue(size_t max_threads) : pool_(max_threads) {}

  void enqueue(std::function<void()> task) override {
    pool_.Run(std::move(task));
  }
  void shutdown() override { pool_.Shutdown(); }

 private:
  ElasticPool pool_;
};

}  // namespace

HttpListener::HttpListener(size_t max_threads) {
  server_.new_task_queue = [max_threads] {
    return new ElasticTaskQueue(max_threads);
  };
  // Otherwise small writes wait for acknowledgements.
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(kMaxRequestsPerConnection);
  // cpp-httplib's default, SO_REUSEPORT, would let two processes listen on the
  // same port without an error.
  server_.set_socket_options([this](socket_t socket) {
    socket_ = socket;
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

HttpListener::~HttpListener() {
  Stop();
}

Result<uint16_t> HttpListener::Listen(const std::string& host, uint16_t port) {
  int bound = port;
  if (port == 0) {
    bound = server_.bind_to_any_port(host);
  } else if (!server_.bind_to_port(host, port)) {
    bound = -1;
  }
  if (bound < 0) {
    return Error(ErrorKind::kInternal,
                 "can't bind to " + host + ":" + std::to_string(port));
  }
  // The socket listens already; a second call changes its backlog.
  if (listen(socket_, kBacklog) != 0) {
    return Error(ErrorKind::kInternal, "can't listen on " + host);
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  // A stop() before the server runs would have no effect.
  while (!server_.is_running()) {
    std::this_thread::sleep_for(kStartPollInterval);
  }
  return static_cast<uint16_t>(bound);
}

void HttpListener::Stop() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace qh
