#include "benchmarks/proxy/chat_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "benchmarks/proxy/proxy_site.h"

namespace qh::bench {
namespace {

using nlohmann::json;

constexpr auto kReadTimeout = std::chrono::seconds(60);

}  // namespace

class ChatClient::Impl {
 public:
  explicit Impl(const Address& address) : client(address.host, address.port) {
    client.set_tcp_nodelay(true);
    client.set_keep_alive(true);
    client.set_read_timeout(kReadTimeout);
  }

  httplib::Client client;
};

ChatClient::ChatClient(const Address& address)
    : impl_(std::make_unique<Impl>(address)) {}

ChatClient::~ChatClient() = default;

ChatTiming ChatClient::Run(const std::string& model,
                           const std::string& content,
                           uint32_t max_tokens) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers.emplace("Authorization", std::string("Bearer ") + kTeamKey);
  request.headers.emplace("Content-Type", "application/json");
  request.body = json{{"model", model},
                      {"stream", true},
                      {"max_tokens", max_tokens},
                      {"messages", {{{"role", "user"}, {"content", content}}}}}
                     .dump();
  ChatTiming timing;
  std::string tail;
  const TimePoint start = MonotonicNow();
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    if (timing.first_token == Duration::zero()) {
      timing.first_token = MonotonicNow() - start;
    }
    tail.append(data, size);
    return true;
  };
  const auto result = impl_->client.send(request);
  timing.whole = result && result->status == 200 &&
                 tail.find("data: [DONE]") != std::string::npos;
  return timing;
}

}  // namespace qh::bench
