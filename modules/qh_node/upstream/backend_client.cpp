#include "qh_node/upstream/backend_client.h"

#include <httplib.h>
#include <unistd.h>

#include <map>
#include <mutex>
#include <thread>

#include "qh_peer/tcp_socket.h"

namespace qh {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(1'000);
constexpr auto kProbeTimeout = std::chrono::milliseconds(300);
// Time between an orderly close and the probe of its server.
constexpr auto kProbeDelay = std::chrono::milliseconds(30);
// RFC 9110, section 15: values outside 100 to 599 are invalid.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Answers with these have no body.
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr size_t kMaxIdlePerServer = 64;
constexpr const char* kRequestIdHeader = "X-Request-Id";

BackendCallOutcome ToBackendCallOutcome(httplib::Error error) {
  switch (error) {
    case httplib::Error::Success:
      return BackendCallOutcome::kCompleted;
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return BackendCallOutcome::kNotConnected;
    case httplib::Error::Canceled:
      return BackendCallOutcome::kCancelled;
    default:
      return BackendCallOutcome::kLost;
  }
}

httplib::Request MakeRequest(const BackendCall& call) {
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  for (const HeaderField& field : call.headers) {
    request.headers.emplace(field.name, field.value);
  }
  if (!call.content_type.empty()) {
    request.headers.emplace("Content-Type", call.content_type);
  }
  return request;
}

// The library skips a 100 and takes any other interim answer for the final one.
bool IsFinalStatus(int status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

// Whether an answer ends only with its connection.
bool HasNoLength(const httplib::Response& response) {
  return !response.has_header("Content-Length") &&
         !response.has_header("Transfer-Encoding") &&
         response.status != kNoContent && response.status != kNotModified;
}

// Whether the server accepts connections, some time after it closed one. A
// process that ends may close its connections before its listening socket.
bool StillLives(const Address& server) {
  std::this_thread::sleep_for(kProbeDelay);
  const auto socket = ConnectTcp(server.host, server.port, kProbeTimeout);
  if (socket) {
    close(socket.value());
  }
  return bool(socket);
}

// Returns how the call ended, from all that is known of its answer. A server
// that crashes may close its connections in order.
BackendCallOutcome JudgeCall(const httplib::Result& result,
                             const Address& server) {
  const BackendCallOutcome outcome = ToBackendCallOutcome(result.error());
  if (outcome != BackendCallOutcome::kCompleted) {
    return outcome;
  }
  const bool usable = IsFinalStatus(result->status);
  const bool whole =
      usable && (!HasNoLength(result.value()) || StillLives(server));
  return whole ? BackendCallOutcome::kCompleted : BackendCallOutcome::kLost;
}

}  // namespace

// Pool of idle connections by server address.
class BackendClient::Pool {
 public:
  // Returns an idle connection to `address`, or a new one if there is none or
  // `fresh` is set.
  std::unique_ptr<httplib::Client> Take(const Address& address, bool fresh) {
    if (!fresh) {
      const std::lock_guard lock(mutex_);
      auto& idle = idle_[address];
      if (!idle.empty()) {
        auto client = std::move(idle.back());
        idle.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<httplib::Client>(address.host, address.port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_connection_timeout(kConnectTimeout);
    return client;
  }

  // Puts a connection back, or closes it if the pool for `address` is full.
  void Return(const Address& address, std::unique_ptr<httplib::Client> client) {
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[address];
    if (idle.size() < kMaxIdlePerServer) {
      idle.push_back(std::move(client));
    }
  }

 private:
  std::mutex mutex_;
  // Guarded by mutex_. Contains only connections whose last request completed.
  std::map<Address, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

BackendClient::BackendClient() : pool_(std::make_unique<Pool>()) {}
BackendClient::~BackendClient() = default;

BackendReply BackendClient::Call(const BackendCall& call) {
  auto client = pool_->Take(call.address, call.fresh_connection);
  client->set_read_timeout(call.read_timeout);
  httplib::Request request = MakeRequest(call);
  int status = 0;
  std::string body;
  request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    const std::string_view chunk(data, size);
    if (call.on_body_chunk && status == 200) {
      return call.on_body_chunk(chunk);
    }
    body += chunk;
    return true;
  };
  const auto result = client->send(request);
  BackendReply reply;
  reply.outcome = JudgeCall(result, call.address);
  reply.status = status;
  reply.body = std::move(body);
  if (reply.outcome == BackendCallOutcome::kCompleted) {
    reply.content_type = result->get_header_value("Content-Type");
    reply.echoed_request_id = result->get_header_value(kRequestIdHeader);
    pool_->Return(call.address, std::move(client));
  }
  return reply;
}

}  // namespace qh
