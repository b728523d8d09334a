#include "standins/platform/platform_standin.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "qh_http/http_listener.h"
#include "standins/platform/call_budget.h"
#include "standins/platform/cloud_table.h"
#include "standins/platform/object_table.h"
#include "standins/platform/platform_faults.h"
#include "standins/platform/weight_rate.h"

namespace qh::standins {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 256;
constexpr const char* kJsonType = "application/json";
constexpr const char* kBinaryType = "application/octet-stream";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr size_t kWeightPart = 64 << 10;

std::string ToHex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

uint64_t NumberParam(const httplib::Request& request, const char* name) {
  return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

// Reads If-None-Match and If-Match.
std::optional<uint64_t> ConditionOf(const httplib::Request& request) {
  if (request.has_header("If-None-Match")) {
    return kAbsentVersion;
  }
  if (request.has_header("If-Match")) {
    const std::string tag = request.get_header_value("If-Match");
    return std::strtoull(tag.c_str() + 1, nullptr, 10);
  }
  return std::nullopt;
}

void SetVersion(httplib::Response& response, uint64_t version) {
  response.set_header("ETag", "\"" + std::to_string(version) + "\"");
}

// The caller gets the head of an answer and then a closed connection.
void CutOff(httplib::Response& response) {
  response.body.clear();
  response.set_content_provider(
      1, kBinaryType, [](size_t, size_t, httplib::DataSink&) { return false; });
}

}  // namespace

class PlatformStandin::Impl {
 public:
  explicit Impl(const PlatformSettings& settings)
      : settings_(settings),
        reads_(settings.reads_per_second),
        writes_(settings.writes_per_second),
        cloud_(settings.list_lag),
        weight_rate_(settings.weight_bytes_per_second),
        listener_(kThreads) {
    AddAdminRoutes();
    AddObjectRoutes();
    AddCloudRoutes();
    AddWeightRoutes();
  }

  ~Impl() {
    objects_.Stop();
    listener_.Stop();
  }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(port, listener_.Listen(settings_.host, settings_.port));
    settings_.port = port;
    return Ok();
  }

  uint16_t port() const { return settings_.port; }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;
  using Handler = httplib::Server::Handler;

  // A call that counts against the budget of reads.
  Handler Read(Handler serve) {
    return [this, serve = std::move(serve)](const Request& request,
                                            Response& response) {
      if (Admit(reads_, response)) {
        serve(request, response);
      }
    };
  }

  // A call that counts against the budget of writes and whose answer may get
  // lost after it took effect.
  Handler Write(Handler serve) {
    return [this, serve = std::move(serve)](const Request& request,
                                            Response& response) {
      if (!Admit(writes_, response)) {
        return;
      }
      serve(request, response);
      if (faults_.TakeLostAnswer()) {
        CutOff(response);
      }
    };
  }

  bool Admit(CallBudget& budget, Response& response) {
    const FaultState faults = faults_.state();
    if (faults.delay_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(faults.delay_ms));
    }
    if (faults.outage) {
      response.status = 503;
      return false;
    }
    if (!budget.Take(MonotonicNow())) {
      response.status = 429;
      return false;
    }
    return true;
  }

  void AddAdminRoutes() {
    httplib::Server& server = listener_.server();
    server.Put("/admin/faults",
               [this](const Request& request, Response& response) {
                 const auto changed = faults_.Change(request.body);
                 response.status = changed ? 200 : 400;
               });
    server.Put("/admin/prices",
               [this](const Request& request, Response& response) {
                 const json prices = json::parse(request.body, nullptr, false);
                 response.status = prices.is_array() ? 200 : 400;
                 if (prices.is_array()) {
                   cloud_.SetPrices(prices);
                 }
               });
  }

  void AddObjectRoutes() {
    httplib::Server& server = listener_.server();
    const std::string object = "/v1/objects/(.+)";
    server.Get(
        "/v1/objects", Read([this](const Request& request, Response& response) {
          WriteList(objects_.List(request.get_param_value("prefix")), response);
        }));
    server.Get(
        "/v1/watch", Read([this](const Request& request, Response& response) {
          const std::chrono::milliseconds wait(NumberParam(request, "wait_ms"));
          WriteList(objects_.Watch(request.get_param_value("prefix"),
                                   NumberParam(request, "since"), wait),
                    response);
        }));
    server.Get(object, Read([this](const Request& request, Response& response) {
                 const auto found = objects_.Get(request.matches[1]);
                 if (!found) {
                   response.status = 404;
                   return;
                 }
                 SetVersion(response, found->version);
                 response.set_content(found->body, kBinaryType);
               }));
    server.Put(object,
               Write([this](const Request& request, Response& response) {
                 const auto version = objects_.Put(
                     request.matches[1], request.body, ConditionOf(request));
                 response.status = version ? 200 : 412;
                 SetVersion(response, version.value_or(0));
               }));
    server.Delete(
        object, Write([this](const Request& request, Response& response) {
          const bool held =
              objects_.Delete(request.matches[1], ConditionOf(request));
          response.status = held ? 200 : 412;
        }));
  }

  void AddCloudRoutes() {
    httplib::Server& server = listener_.server();
    const std::string instance = "/v1/instances/([^/]+)";
    server.Get(
        "/v1/instances", Read([this](const Request&, Response& response) {
          response.set_content(cloud_.List(MonotonicNow()).dump(), kJsonType);
        }));
    server.Put(instance,
               Write([this](const Request& request, Response& response) {
                 const json row = json::parse(request.body, nullptr, false);
                 if (!row.is_object()) {
                   response.status = 400;
                   return;
                 }
                 cloud_.Change(request.matches[1], row, MonotonicNow());
               }));
    server.Delete(instance, Write([this](const Request& request, Response&) {
                    cloud_.Remove(request.matches[1], MonotonicNow());
                  }));
    server.Post("/v1/instances",
                Write([this](const Request& request, Response& response) {
                  StartInstance(request, response);
                }));
    server.Get("/v1/prices", Read([this](const Request&, Response& response) {
                 response.set_content(cloud_.prices().dump(), kJsonType);
               }));
  }

  void StartInstance(const Request& request, Response& response) {
    const json wanted = json::parse(request.body, nullptr, false);
    if (!wanted.is_object()) {
      response.status = 400;
      return;
    }
    if (faults_.TakeRefusedStart()) {
      response.status = 409;
      response.set_content(json{{"reason", "no_capacity"}}.dump(), kJsonType);
      return;
    }
    const auto started =
        cloud_.Start(request.get_header_value(kIdempotencyKeyHeader), wanted,
                     MonotonicNow());
    response.status = started.is_new ? 201 : 200;
    response.set_content(json{{"id", started.id}}.dump(), kJsonType);
  }

  // GET /v1/weights/<name>?bytes=N sends N bytes at the shared rate.
  void AddWeightRoutes() {
    listener_.server().Get(
        "/v1/weights/(.+)",
        Read([this](const Request& request, Response& response) {
          response.set_content_provider(
              NumberParam(request, "bytes"), kBinaryType,
              [this](size_t, size_t length, httplib::DataSink& sink) {
                const std::string part(std::min(length, kWeightPart), 'w');
                std::this_thread::sleep_for(
                    weight_rate_.Book(part.size(), MonotonicNow()));
                return sink.write(part.data(), part.size());
              });
        }));
  }

  static void WriteList(const ObjectList& list, Response& response) {
    json rows = json::array();
    for (const StoreObject& object : list.objects) {
      rows.push_back({{"key", object.key},
                      {"body", ToHex(object.body)},
                      {"version", object.version}});
    }
    response.set_content(
        json{{"revision", list.revision}, {"objects", rows}}.dump(), kJsonType);
  }

  PlatformSettings settings_;
  PlatformFaults faults_;
  CallBudget reads_;
  CallBudget writes_;
  ObjectTable objects_;
  CloudTable cloud_;
  WeightRate weight_rate_;
  // Declared last: its threads use all of the above.
  HttpListener listener_;
};

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Start(
    const PlatformSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<PlatformStandin>(new PlatformStandin(std::move(impl)));
}

PlatformStandin::PlatformStandin(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PlatformStandin::~PlatformStandin() = default;

uint16_t PlatformStandin::port() const {
  return impl_->port();
}

}  // namespace qh::standins
