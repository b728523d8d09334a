#include "benchmarks/demo/demo_caller.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "benchmarks/demo/event_stream.h"
#include "standins/engine/chat_job.h"

namespace qh::demo {
namespace {

using nlohmann::json;

constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kReadTimeout = std::chrono::seconds(30);
// How long a caller goes on trying before it takes a refusal.
constexpr Duration kPatience = std::chrono::seconds(10);
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
constexpr const char* kDoneData = "[DONE]";

// A request on its way.
class Session {
 public:
  Session(const WorkItem& item, EntryFinder& finder)
      : item_(item),
        finder_(finder),
        give_up_(MonotonicNow() + kPatience),
        method_(item.method),
        path_(item.path),
        body_(item.body) {}

  WorkResult Run() {
    at_ = finder_.Find(item_, 0);
    while (!ended_) {
      Exchange();
    }
    return result_;
  }

 private:
  // What one HTTP exchange gave.
  struct Reply {
    int status = 0;
    std::string body;
    std::string location;
    httplib::Error error = httplib::Error::Success;
  };

  void Exchange() {
    const Reply reply = Send();
    if (ended_) {
      return;
    }
    if (reply.error == httplib::Error::Connection ||
        reply.error == httplib::Error::ConnectionTimeout) {
      return OnNotConnected();
    }
    if (!moved_to_.empty() || reply.status == 303) {
      return Follow(moved_to_.empty() ? reply.location : moved_to_);
    }
    if (reply.status >= 400) {
      return OnProblem(reply.body);
    }
    if (reply.error != httplib::Error::Success) {
      return End(item_.stream ? WorkOutcome::kCutStream : WorkOutcome::kLost,
                 "connection broke: " + httplib::to_string(reply.error));
    }
    if (item_.stream) {
      return End(WorkOutcome::kCutStream,
                 "closed after " + std::to_string(tokens_) + " of " +
                     std::to_string(item_.max_tokens) + " tokens");
    }
    OnWhole(reply.body);
  }

  Reply Send() {
    httplib::Client client(at_.host, at_.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(kConnectTimeout);
    client.set_read_timeout(kReadTimeout);
    httplib::Request request = MakeRequest();
    Reply reply;
    EventStream events;
    moved_to_.clear();
    const TimePoint start = MonotonicNow();
    request.response_handler = [&](const httplib::Response& response) {
      reply.status = response.status;
      reply.location = response.get_header_value("Location");
      return true;
    };
    request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                   uint64_t) {
      const std::string_view part(data, size);
      if (!item_.stream || reply.status != 200) {
        reply.body += part;
        return true;
      }
      for (const StreamEvent& event : events.Feed(part)) {
        OnEvent(event, MonotonicNow() - start);
      }
      return true;
    };
    reply.error = client.send(request).error();
    return reply;
  }

  httplib::Request MakeRequest() const {
    httplib::Request request;
    request.method = method_;
    request.path = path_;
    request.body = body_;
    request.headers.emplace("Authorization", "Bearer " + item_.team.key);
    if (!body_.empty()) {
      request.headers.emplace("Content-Type", "application/json");
    }
    if (!item_.idempotency_key.empty()) {
      request.headers.emplace("Idempotency-Key", item_.idempotency_key);
    }
    if (result_.moves > 0) {
      request.headers.emplace("Last-Event-ID", std::to_string(tokens_));
    }
    return request;
  }

  void OnEvent(const StreamEvent& event, Duration since_start) {
    if (ended_) {
      if (result_.outcome == WorkOutcome::kAnsweredWhole) {
        End(WorkOutcome::kLost, "event after the end");
      }
      return;
    }
    if (event.name == "moved") {
      moved_to_ = json::parse(event.data, nullptr, false).value("location", "");
    } else if (event.name == "error") {
      End(WorkOutcome::kLost, "error event: " + event.data);
    } else if (event.data == kDoneData) {
      const bool whole = tokens_ == item_.max_tokens;
      End(whole ? WorkOutcome::kAnsweredWhole : WorkOutcome::kLost,
          whole ? "" : "done after " + std::to_string(tokens_) + " tokens");
    } else {
      OnToken(event, since_start);
    }
  }

  void OnToken(const StreamEvent& event, Duration since_start) {
    if (tokens_ == 0 && result_.moves == 0 && result_.retries == 0) {
      result_.first_token = since_start;
    }
    const json chunk = json::parse(event.data, nullptr, false);
    const std::string token =
        chunk.is_object() ? chunk["choices"][0]["delta"].value("content", "")
                          : "";
    if (event.id != tokens_ + 1 ||
        token != standins::EngineToken(item_.prompt, tokens_)) {
      return End(WorkOutcome::kLost, "wrong token at " +
                                         std::to_string(tokens_) + ": id " +
                                         std::to_string(event.id));
    }
    ++tokens_;
  }

  // The request was not sent. One that had been accepted must be there.
  void OnNotConnected() {
    if (MonotonicNow() >= give_up_) {
      return End(result_.moves > 0 ? WorkOutcome::kLost : WorkOutcome::kRefused,
                 "no connection to " + at_.ToString());
    }
    Retry();
  }

  void OnProblem(const std::string& body) {
    const json problem = json::parse(body, nullptr, false);
    const bool not_run =
        problem.is_object() && problem.value("executed", "") == "no";
    if (!not_run || result_.moves > 0) {
      return End(WorkOutcome::kLost, body);
    }
    const int status = problem.value("status", 0);
    const bool temporary = status == 429 || status == 503;
    if (!temporary || MonotonicNow() >= give_up_) {
      return End(WorkOutcome::kRefused, body);
    }
    Retry();
  }

  void Retry() {
    ++result_.retries;
    std::this_thread::sleep_for(kRetryPause);
    if (result_.moves == 0) {
      finder_.Forget(item_);
      at_ = finder_.Find(item_, result_.retries);
    }
  }

  // Goes on at `location`, "http://host:port/path".
  void Follow(const std::string& location) {
    constexpr std::string_view kScheme = "http://";
    const size_t slash = location.find('/', kScheme.size());
    const size_t colon = location.find(':', kScheme.size());
    if (!location.starts_with(kScheme) || slash == std::string::npos ||
        colon > slash) {
      return End(WorkOutcome::kLost, "malformed location: " + location);
    }
    at_.host = location.substr(kScheme.size(), colon - kScheme.size());
    at_.port = static_cast<uint16_t>(std::atoi(location.c_str() + colon + 1));
    method_ = "GET";
    path_ = location.substr(slash);
    body_.clear();
    ++result_.moves;
    give_up_ = MonotonicNow() + kPatience;
  }

  void OnWhole(const std::string& body) {
    if (!item_.is_chat()) {
      return End(WorkOutcome::kAnsweredWhole, "");
    }
    std::string expected;
    for (uint32_t i = 0; i < item_.max_tokens; ++i) {
      expected += standins::EngineToken(item_.prompt, i);
    }
    const json root = json::parse(body, nullptr, false);
    const bool right =
        root.is_object() && root.contains("choices") &&
        root["choices"][0]["message"].value("content", "") == expected;
    End(right ? WorkOutcome::kAnsweredWhole : WorkOutcome::kLost,
        right ? "" : "wrong answer");
  }

  void End(WorkOutcome outcome, const std::string& detail) {
    result_.outcome = outcome;
    result_.detail = detail;
    ended_ = true;
  }

  const WorkItem& item_;
  EntryFinder& finder_;
  TimePoint give_up_;
  Address at_;
  std::string method_;
  std::string path_;
  std::string body_;
  // Tokens received so far.
  uint32_t tokens_ = 0;
  // Location of the last moved event.
  std::string moved_to_;
  bool ended_ = false;
  WorkResult result_;
};

}  // namespace

DemoCaller::DemoCaller(const DemoPlan& plan, uint64_t seed)
    : finder_(plan, seed) {}

WorkResult DemoCaller::Run(const WorkItem& item) {
  return Session(item, finder_).Run();
}

}  // namespace qh::demo
