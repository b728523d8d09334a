#include "standins/service/service_standin.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_http/http_listener.h"

namespace qh::standins {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 256;
constexpr const char* kJsonType = "application/json";

}  // namespace

class ServiceStandin::Impl {
 public:
  explicit Impl(const ServiceSettings& settings)
      : settings_(settings), listener_(kThreads) {
    httplib::Server& server = listener_.server();
    server.Get("/executions", [this](const auto&, auto& response) {
      const std::lock_guard lock(mutex_);
      response.set_content(json(executions_).dump(), kJsonType);
    });
    server.Put("/admin/faults", [this](const auto& request, auto& response) {
      const json faults = json::parse(request.body, nullptr, false);
      const bool valid = faults.is_object() && faults.contains("delay_ms") &&
                         faults["delay_ms"].is_number_unsigned();
      response.status = valid ? 200 : 400;
      if (valid) {
        delay_ms_ = faults["delay_ms"].get<uint32_t>();
      }
    });
    server.Get(".*", [this](const auto& request, auto& response) {
      std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
      response.set_header("X-Request-Id",
                          request.get_header_value("X-Request-Id"));
      response.set_content(json{{"read", request.path}}.dump(), kJsonType);
    });
    server.Post(".*", [this](const auto& request, auto& response) {
      Execute(request, response);
    });
  }

  ~Impl() { listener_.Stop(); }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(port, listener_.Listen(settings_.host, settings_.port));
    settings_.port = port;
    return Ok();
  }

  uint16_t port() const { return settings_.port; }

  uint32_t Executions(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = executions_.find(key);
    return found == executions_.end() ? 0 : found->second;
  }

 private:
  void Execute(const httplib::Request& request, httplib::Response& response) {
    const std::string key = request.get_header_value("Idempotency-Key");
    uint64_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      ++executions_[key];
      number = ++booked_;
    }
    std::this_thread::sleep_for(settings_.work +
                                std::chrono::milliseconds(delay_ms_));
    response.set_header("X-Request-Id",
                        request.get_header_value("X-Request-Id"));
    response.set_content(
        json{{"booked", number}, {"server", settings_.id}}.dump(), kJsonType);
  }

  ServiceSettings settings_;
  // Extra time of every call.
  std::atomic<uint32_t> delay_ms_ = 0;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, uint32_t> executions_;
  uint64_t booked_ = 0;
  // Declared last: its threads use all of the above.
  HttpListener listener_;
};

Result<std::unique_ptr<ServiceStandin>> ServiceStandin::Start(
    const ServiceSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<ServiceStandin>(new ServiceStandin(std::move(impl)));
}

ServiceStandin::ServiceStandin(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

ServiceStandin::~ServiceStandin() = default;

uint16_t ServiceStandin::port() const {
  return impl_->port();
}

uint32_t ServiceStandin::Executions(const std::string& key) const {
  return impl_->Executions(key);
}

}  // namespace qh::standins
