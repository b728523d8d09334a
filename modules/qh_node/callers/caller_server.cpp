#include "qh_node/callers/caller_server.h"

#include <nlohmann/json.hpp>

#include "qh_core/hash/hash.h"
#include "qh_core/log/log_line.h"
#include "qh_http/http_listener.h"
#include "qh_node/serving/chat_codec.h"
#include "qh_node/serving/problem.h"

namespace qh {
namespace {

using nlohmann::json;

constexpr const char* kJsonType = "application/json";
constexpr const char* kEventStreamType = "text/event-stream";
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kClassHeader = "X-Request-Class";
constexpr std::string_view kBearer = "Bearer ";
// Interval of checks whether the caller is still connected while no token
// arrives.
constexpr Duration kConnectionCheckInterval = std::chrono::milliseconds(500);
// Threads in addition to one per open request, for refusals and status calls.
constexpr size_t kExtraThreads = 64;

void WriteProblem(httplib::Response& response,
                  const Error& error,
                  const RequestId& id) {
  const ErrorAnswer& answer = AnswerFor(error.kind());
  response.status = answer.status;
  const auto retry_after =
      error.retry_after() > Duration::zero()
          ? std::chrono::ceil<std::chrono::seconds>(error.retry_after())
          : answer.retry_after;
  if (retry_after.count() > 0) {
    response.set_header("Retry-After", std::to_string(retry_after.count()));
  }
  response.set_content(ProblemJson(error, id), kProblemType);
}

// Returns the team whose key is the request's bearer token. Fails with
// kUnauthorized.
Result<const Team*> Authenticate(const httplib::Request& request,
                                 const Configuration& config) {
  const std::string header = request.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) {
    return Error(ErrorKind::kUnauthorized, "bearer token is missing");
  }
  const Team* team =
      config.TeamForKey(KeySha256(header.substr(kBearer.size())));
  if (!team) {
    return Error(ErrorKind::kUnauthorized, "key is not known");
  }
  return team;
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(const NodeLimits& limits,
       CallerHooks hooks,
       RequestTable& table,
       RequestRunner& runner,
       MetricsRegistry& metrics)
      : hooks_(std::move(hooks)),
        table_(table),
        runner_(runner),
        metrics_(metrics),
        max_open_requests_(limits.max_open_requests),
        listener_(limits.max_open_requests + kExtraThreads) {
    httplib::Server& server = listener_.server();
    server.set_payload_max_length(limits.max_body_bytes);
    server.set_read_timeout(limits.read_timeout);
    server.set_error_handler(
        [](const httplib::Request&, httplib::Response& response) {
          if (response.body.empty()) {
            const bool too_large = response.status == 413;
            const bool not_found = response.status == 404;
            WriteProblem(response,
                         Error(too_large   ? ErrorKind::kBodyTooLarge
                               : not_found ? ErrorKind::kUnknownRoute
                                           : ErrorKind::kMalformedRequest,
                               ""),
                         RequestId());
          }
        });
    AddRoutes();
  }

  ~Impl() { Stop(); }

  Result<void> Start(const Address& address) {
    BOOST_OUTCOME_TRY(listener_.Listen(address.host, address.port));
    return Ok();
  }

  void Stop() { listener_.Stop(); }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void AddRoutes() {
    httplib::Server& server = listener_.server();
    server.Get("/v1/entry", [this](const Request& request, Response& response) {
      HandleEntry(request, response);
    });
    server.Post("/v1/chat/completions",
                [this](const Request& request, Response& response) {
                  HandleChecked(request, response, &Impl::HandleChat);
                });
    const auto service = [this](const Request& request, Response& response) {
      HandleChecked(request, response, &Impl::HandleService);
    };
    const std::string pattern = R"(/services/([^/]+)(/.*))";
    server.Get(pattern, service);
    server.Post(pattern, service);
    server.Put(pattern, service);
    server.Patch(pattern, service);
    server.Delete(pattern, service);
    server.Get(R"(/v1/requests/([^/]+))",
               [this](const Request& request, Response& response) {
                 HandleStatus(request, response);
               });
  }

  using Handler = Result<void> (Impl::*)(const Request&,
                                         Response&,
                                         const Configuration&,
                                         const Team&);
  // Checks readiness, the team's key and the limit of open requests, then calls
  // `handler`. Refuses the request if a check or the handler fails.
  void HandleChecked(const Request& request,
                     Response& response,
                     Handler handler) {
    const auto run = [&]() -> Result<void> {
      BOOST_OUTCOME_TRY(hooks_.accepting());
      const ConfigurationPtr config = hooks_.configuration();
      if (!config) {
        return Error(ErrorKind::kNotReady, "no configuration yet");
      }
      BOOST_OUTCOME_TRY(team, Authenticate(request, *config));
      if (table_.open_count() >= max_open_requests_) {
        return Error(ErrorKind::kOverloaded, "too many open requests");
      }
      return (this->*handler)(request, response, *config, *team);
    };
    const auto result = run();
    if (!result) {
      Refuse(response, result.error(), RequestId());
    }
  }

  // Answers with the problem document of `error`; counts and logs the refusal.
  void Refuse(Response& response, const Error& error, const RequestId& id) {
    metrics_.Count({.name = "qh_refused_total",
                    .reason = std::string(AnswerFor(error.kind()).name)});
    LogLine("request_refused")
        .With("request", id.value())
        .With(error)
        .Write(AnswerFor(error.kind()).level);
    WriteProblem(response, error, id);
  }

  // Answers with the nodes that a caller should use, in the order in which to
  // try them.
  void HandleEntry(const Request& request, Response& response) {
    const ConfigurationPtr config = hooks_.configuration();
    if (!config) {
      return WriteProblem(response, Error(ErrorKind::kNotReady, ""),
                          RequestId());
    }
    EntryQuery query;
    query.affinity_key = Hash64(request.get_param_value("team") + "/" +
                                request.get_param_value("conversation"));
    query.caller_failure_domain =
        FailureDomainId(request.get_param_value("near"));
    json entries = json::array();
    for (const Member& member : LocateEntries(query, hooks_.members())) {
      entries.push_back({{"host", member.callers.host},
                         {"port", member.callers.port},
                         {"failure_domain", member.failure_domain.value()}});
    }
    const double ttl_s = ToSeconds(config->limits.locate_ttl);
    response.set_content(json{{"entries", entries}, {"ttl_s", ttl_s}}.dump(),
                         kJsonType);
  }

  RequestSpec MakeSpec(const Request& request, const Team& team) {
    RequestSpec spec;
    spec.id = hooks_.new_request_id();
    spec.team = team.id;
    spec.request_class =
        FromName<RequestClass>(request.get_header_value(kClassHeader))
            .value_or(team.default_class);
    spec.idempotency_key = request.get_header_value(kIdempotencyKeyHeader);
    return spec;
  }

  Duration DeadlineFor(RequestClass request_class, const NodeLimits& limits) {
    return request_class == RequestClass::kBatch ? limits.batch_deadline
                                                 : limits.interactive_deadline;
  }

  Result<void> HandleChat(const Request& request,
                          Response& response,
                          const Configuration& config,
                          const Team& team) {
    BOOST_OUTCOME_TRY(chat, ParseChatRequest(request.body));
    if (!config.PoolForModel(chat.model)) {
      return Error(ErrorKind::kUnknownModel, chat.model);
    }
    RequestSpec spec = MakeSpec(request, team);
    spec.stream = chat.stream;
    spec.fingerprint = HashHex128(request.body);
    spec.prompt_tokens = EstimateTokens(chat.prompt);
    spec.max_output_tokens = chat.max_tokens;
    spec.deadline =
        MonotonicNow() + DeadlineFor(spec.request_class, config.limits);
    RequestPayload payload;
    payload.model = chat.model;
    payload.prefix_blocks = PrefixBlocks(chat.prompt);
    payload.body = request.body;
    auto record =
        std::make_shared<RequestRecord>(std::move(spec), std::move(payload));
    table_.Add(record);
    response.set_header(kRequestIdHeader, record->spec().id.value());
    if (!chat.stream) {
      RunToEnd(*record);
      WriteAnswer(response, *record);
      return Ok();
    }
    auto worker =
        std::make_shared<std::thread>([this, record] { RunToEnd(*record); });
    record->WaitStarted();
    if (record->tokens().empty() && record->state() == RecordState::kRefused) {
      worker->join();
      Refuse(response, record->error(), record->spec().id);
      return Ok();
    }
    WriteStream(response, record, 0, worker);
    return Ok();
  }

  Result<void> HandleService(const Request& request,
                             Response& response,
                             const Configuration& config,
                             const Team& team) {
    RequestPayload payload;
    payload.route = RouteId(request.matches[1]);
    payload.method = request.method;
    payload.path = request.target.substr(std::string("/services/").size() +
                                         payload.route.value().size());
    payload.content_type = request.get_header_value("Content-Type");
    payload.body = request.body;
    const Route* route = config.FindRoute(payload.route);
    if (!route) {
      return Error(ErrorKind::kUnknownRoute, payload.route.value());
    }
    RequestSpec spec = MakeSpec(request, team);
    spec.request_class = RequestClass::kService;
    spec.idempotent = !config.IsNonIdempotent(payload.route, payload.method,
                                              request.matches[2]);
    if (!spec.idempotent && spec.idempotency_key.empty()) {
      return Error(ErrorKind::kMissingIdempotencyKey,
                   payload.method + " " + payload.path);
    }
    spec.fingerprint =
        HashHex128(payload.method + " " + payload.path + "\n" + payload.body);
    spec.deadline = MonotonicNow() + route->timeout;
    auto record =
        std::make_shared<RequestRecord>(std::move(spec), std::move(payload));
    table_.Add(record);
    response.set_header(kRequestIdHeader, record->spec().id.value());
    RunToEnd(*record);
    WriteAnswer(response, *record);
    return Ok();
  }

  // Runs the request on the calling thread and records its duration.
  void RunToEnd(RequestRecord& record) {
    const TimePoint start = MonotonicNow();
    runner_.Run(record);
    table_.MarkEnded(record.spec().id);
    metrics_.Observe(
        {.name = "qh_request_seconds",
         .team = record.spec().team.value(),
         .request_class = std::string(ToName(record.spec().request_class))},
        ToSeconds(MonotonicNow() - start));
  }

  // Waits for the end of the request and writes the answer, or a redirect if a
  // peer continues the request.
  void WriteAnswer(Response& response, RequestRecord& record) {
    switch (record.WaitEnd()) {
      case RecordState::kAnswered: {
        const CompleteAnswer answer = record.answer();
        response.status = answer.status;
        response.set_content(answer.body, answer.content_type);
        return;
      }
      case RecordState::kHandedOver:
        response.status = 303;
        response.set_header("Location", record.location());
        return;
      case RecordState::kRefused:
      case RecordState::kRunning:
        Refuse(response, record.error(), record.spec().id);
        return;
    }
  }

  // Streams the record's tokens after the first `sent`. `worker` is the thread
  // that runs the request; it is joined when the stream ends and may be null.
  void WriteStream(Response& response,
                   const RequestRecordPtr& record,
                   size_t sent,
                   const std::shared_ptr<std::thread>& worker) {
    response.set_chunked_content_provider(
        kEventStreamType,
        [record, sent](size_t, httplib::DataSink& sink) mutable {
          const auto tokens =
              record->WaitTokens(sent, kConnectionCheckInterval);
          std::string text;
          for (const std::string& token : tokens) {
            text += TokenEvent(record->spec().id, record->payload().model,
                               sent++, token);
          }
          if (!text.empty()) {
            return sink.write(text.data(), text.size());
          }
          const std::string final_event = FinalEvent(*record);
          if (final_event.empty()) {
            return sink.is_writable();
          }
          const bool written =
              sink.write(final_event.data(), final_event.size());
          sink.done();
          return written;
        },
        [worker](bool) {
          if (worker && worker->joinable()) {
            worker->join();
          }
        });
  }

  // Returns the event that ends the stream, or an empty string while the
  // request is running.
  static std::string FinalEvent(const RequestRecord& record) {
    switch (record.state()) {
      case RecordState::kRunning:
        return "";
      case RecordState::kAnswered:
        return DoneEvent();
      case RecordState::kHandedOver:
        return MovedEvent(record.location());
      case RecordState::kRefused:
        return ErrorEvent(ProblemJson(record.error(), record.spec().id));
    }
    return "";
  }

  // Returns the answer of an earlier request of the same team. A stream resumes
  // after the event named by Last-Event-ID.
  void HandleStatus(const Request& request, Response& response) {
    const RequestId id(request.matches[1]);
    const auto run = [&]() -> Result<void> {
      const ConfigurationPtr config = hooks_.configuration();
      if (!config) {
        return Error(ErrorKind::kNotReady, "no configuration yet");
      }
      BOOST_OUTCOME_TRY(team, Authenticate(request, *config));
      const RequestRecordPtr record = table_.Find(id);
      if (!record || record->spec().team != team->id) {
        return Error(ErrorKind::kUnknownRequest, id.value());
      }
      if (record->spec().stream) {
        const std::string last_event_id =
            request.get_header_value("Last-Event-ID");
        WriteStream(response, record,
                    std::strtoull(last_event_id.c_str(), nullptr, 10), nullptr);
      } else {
        WriteAnswer(response, *record);
      }
      return Ok();
    };
    const auto result = run();
    if (!result) {
      Refuse(response, result.error(), id);
    }
  }

  CallerHooks hooks_;
  RequestTable& table_;
  RequestRunner& runner_;
  MetricsRegistry& metrics_;
  const size_t max_open_requests_;
  HttpListener listener_;
};

Result<std::unique_ptr<CallerServer>> CallerServer::Start(
    const Address& address,
    const NodeLimits& limits,
    CallerHooks hooks,
    RequestTable& table,
    RequestRunner& runner,
    MetricsRegistry& metrics) {
  auto impl =
      std::make_unique<Impl>(limits, std::move(hooks), table, runner, metrics);
  BOOST_OUTCOME_TRY(impl->Start(address));
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(impl)));
}

CallerServer::CallerServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

CallerServer::~CallerServer() = default;

void CallerServer::Stop() {
  impl_->Stop();
}

}  // namespace qh
