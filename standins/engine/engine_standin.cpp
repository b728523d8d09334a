#include "standins/engine/engine_standin.h"

#include <atomic>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_core/log/log_line.h"
#include "qh_http/http_listener.h"
#include "standins/engine/batch_slots.h"
#include "standins/engine/load_history.h"
#include "standins/engine/order_book.h"
#include "standins/engine/prefix_cache.h"

namespace qh::standins {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 600;
constexpr int kCrashExitCode = 70;
constexpr const char* kJsonType = "application/json";
constexpr const char* kRequestIdHeader = "X-Request-Id";
// Size of one cached block's keys and values.
constexpr uint64_t kBlockKvBytes = 1 << 20;

void Refuse(httplib::Response& response, int status, const std::string& why) {
  response.status = status;
  response.set_content(json{{"error", why}}.dump(), kJsonType);
}

EngineState ParseState(const json& root) {
  return {root.value("model", ""), root.value("adapter", ""),
          root.value("version", ""), root.value("role", "")};
}

}  // namespace

class EngineStandin::Impl {
 public:
  explicit Impl(const EngineSettings& settings)
      : settings_(settings),
        cache_(settings.cache_blocks),
        slots_(settings.slots),
        load_(settings.load_lag),
        orders_(settings.checks_fencing),
        listener_(kThreads) {
    AddChatRoutes();
    AddOrderRoutes();
    AddCacheRoutes();
  }

  ~Impl() { listener_.Stop(); }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(port, listener_.Listen(settings_.host, settings_.port));
    settings_.port = port;
    return Ok();
  }

  uint16_t port() const { return settings_.port; }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void AddChatRoutes() {
    httplib::Server& server = listener_.server();
    server.Post("/v1/chat/completions",
                [this](const Request& request, Response& response) {
                  Chat(request, response);
                });
    server.Get("/v1/load", [this](const Request&, Response& response) {
      const BatchCounts counts = load_.Report(MonotonicNow());
      response.set_content(json{{"running", counts.running},
                                {"waiting", counts.waiting},
                                {"cached_blocks", cache_.size()},
                                {"computed_blocks", computed_blocks_.load()},
                                {"cancelled", cancelled_.load()}}
                               .dump(),
                           kJsonType);
    });
  }

  void AddOrderRoutes() {
    httplib::Server& server = listener_.server();
    server.Post(
        "/v1/orders", [this](const Request& request, Response& response) {
          const json root = json::parse(request.body, nullptr, false);
          if (!root.is_object() || !root.contains("fencing") ||
              !root["fencing"].is_number_unsigned()) {
            return Refuse(response, 400, "fencing is missing");
          }
          const bool taken = orders_.Take(root["fencing"], ParseState(root));
          response.status = taken ? 200 : 409;
          response.set_content(json{{"fencing", orders_.fencing()}}.dump(),
                               kJsonType);
        });
    server.Get("/v1/state", [this](const Request&, Response& response) {
      const EngineState state = orders_.state();
      response.set_content(json{{"model", state.model},
                                {"adapter", state.adapter},
                                {"version", state.version},
                                {"role", state.role},
                                {"fencing", orders_.fencing()}}
                               .dump(),
                           kJsonType);
    });
  }

  // Export tells which leading blocks of a prompt are cached; import takes
  // blocks that another engine exported.
  void AddCacheRoutes() {
    httplib::Server& server = listener_.server();
    server.Post(
        "/v1/kv/export", [this](const Request& request, Response& response) {
          const auto job = ParseChatJob(request.body);
          if (!job) {
            return Refuse(response, 400, job.error().detail());
          }
          const auto blocks = cache_.Cached(PromptBlocks(job.value().prompt));
          response.set_content(
              json{{"blocks", blocks}, {"bytes", blocks.size() * kBlockKvBytes}}
                  .dump(),
              kJsonType);
        });
    server.Post("/v1/kv/import",
                [this](const Request& request, Response& response) {
                  try {
                    cache_.Use(json::parse(request.body).at("blocks"));
                  } catch (const json::exception& error) {
                    Refuse(response, 400, error.what());
                  }
                });
  }

  void Chat(const Request& request, Response& response) {
    const auto parsed = ParseChatJob(request.body);
    if (!parsed) {
      return Refuse(response, 400, parsed.error().detail());
    }
    const ChatJob& job = parsed.value();
    if (!settings_.crash_marker.empty() &&
        job.prompt.find(settings_.crash_marker) != std::string::npos) {
      LogLine("crash").With("engine", settings_.id).Failure();
      std::_Exit(kCrashExitCode);
    }
    response.set_header(kRequestIdHeader,
                        request.get_header_value(kRequestIdHeader));
    slots_.Enter(job.priority);
    NoteLoad();
    if (job.stream) {
      return Stream(job, response);
    }
    std::this_thread::sleep_for(FirstTokenTime(job));
    std::this_thread::sleep_for(settings_.token_interval *
                                (job.max_tokens - job.resume_from));
    response.set_content(WholeAnswerBody(job), kJsonType);
    Leave(true);
  }

  Duration FirstTokenTime(const ChatJob& job) {
    const auto blocks = PromptBlocks(job.prompt);
    const size_t computed = blocks.size() - cache_.Use(blocks);
    computed_blocks_ += computed;
    return settings_.first_token +
           settings_.block_prefill * static_cast<int64_t>(computed);
  }

  // A write to a closed connection fails and so cancels the request.
  void Stream(const ChatJob& job, Response& response) {
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, job, next = job.resume_from](size_t,
                                            httplib::DataSink& sink) mutable {
          std::this_thread::sleep_for(next == job.resume_from
                                          ? FirstTokenTime(job)
                                          : settings_.token_interval);
          const bool done = next >= job.max_tokens;
          const std::string event =
              done ? "data: [DONE]\n\n"
                   : ChunkEvent(EngineToken(job.prompt, next));
          ++next;
          const bool written = sink.write(event.data(), event.size());
          if (done) {
            sink.done();
          }
          return written;
        },
        [this](bool whole) { Leave(whole); });
  }

  void Leave(bool whole) {
    if (!whole) {
      ++cancelled_;
    }
    slots_.Leave();
    NoteLoad();
  }

  void NoteLoad() { load_.Add(slots_.counts(), MonotonicNow()); }

  EngineSettings settings_;
  PrefixCache cache_;
  BatchSlots slots_;
  LoadHistory load_;
  OrderBook orders_;
  std::atomic<uint64_t> computed_blocks_ = 0;
  std::atomic<uint64_t> cancelled_ = 0;
  // Declared last: its threads use all of the above.
  HttpListener listener_;
};

Result<std::unique_ptr<EngineStandin>> EngineStandin::Start(
    const EngineSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<EngineStandin>(new EngineStandin(std::move(impl)));
}

EngineStandin::EngineStandin(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

EngineStandin::~EngineStandin() = default;

uint16_t EngineStandin::port() const {
  return impl_->port();
}

}  // namespace qh::standins
