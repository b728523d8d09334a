#include "qh_node/serving/request_session.h"

#include <unistd.h>

#include <algorithm>
#include <thread>

#include "qh_core/log/log_line.h"
#include "qh_node/serving/chat_codec.h"
#include "qh_peer/tcp_socket.h"

namespace qh {
namespace {

constexpr uint32_t kMaxAttempts = 4;
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kJsonType = "application/json";
// Maximum time between two reads once an answer has started.
constexpr Duration kStreamReadTimeout = std::chrono::seconds(30);
constexpr Duration kMinReadTimeout = std::chrono::milliseconds(100);
constexpr Duration kLivenessProbeTimeout = std::chrono::milliseconds(200);

RouteQuery MakeRouteQuery(const RequestRecord& record) {
  const RequestSpec& spec = record.spec();
  RouteQuery query;
  query.request = spec.id;
  query.team = spec.team;
  query.request_class = spec.request_class;
  query.model = record.payload().model;
  query.route = record.payload().route;
  query.prefix_blocks = record.payload().prefix_blocks;
  query.prompt_tokens = spec.prompt_tokens;
  query.max_output_tokens = spec.max_output_tokens;
  query.deadline = spec.deadline;
  return query;
}

RequestMachine MakeRequestMachine(const RequestRecord& record) {
  if (record.peer_progress()) {
    return RequestMachine::Restore(record.spec(), kMaxAttempts,
                                   *record.peer_progress());
  }
  return RequestMachine::Create(record.spec(), kMaxAttempts);
}

DispatchOutcome ToDispatchOutcome(BackendCallOutcome outcome) {
  switch (outcome) {
    case BackendCallOutcome::kCompleted:
      return DispatchOutcome::kCompleted;
    case BackendCallOutcome::kNotConnected:
      return DispatchOutcome::kNotConnected;
    case BackendCallOutcome::kLost:
    case BackendCallOutcome::kTimeout:
      return DispatchOutcome::kServerLost;
    case BackendCallOutcome::kCancelled:
      return DispatchOutcome::kCancelled;
  }
  return DispatchOutcome::kServerLost;
}

}  // namespace

RequestSession::RequestSession(RunnerDependencies& dependencies,
                               RequestRecord& record)
    : deps_(dependencies),
      record_(record),
      start_time_(MonotonicNow()),
      query_(MakeRouteQuery(record)),
      machine_(MakeRequestMachine(record)) {}

void RequestSession::Run() {
  Begin();
  while (!actions_.empty()) {
    const RequestAction action = actions_.front();
    actions_.pop_front();
    Execute(action);
  }
  ReturnUnusedTokens();
  if (result_ && record_.state() == RecordState::kHandedOver) {
    deps_.hooks.report_result(record_, *result_);
  }
}

void RequestSession::Begin() {
  const RequestSpec& spec = record_.spec();
  if (record_.peer_progress()) {
    return Feed({.kind = RequestEventKind::kRestoreChoosing});
  }
  if (record_.is_chat()) {
    const double tokens = spec.prompt_tokens + spec.max_output_tokens;
    const auto taken = deps_.dispatcher.TakeTeamTokens(spec.team, tokens);
    if (!taken) {
      failure_ = taken.error();
      return Feed(
          {.kind = RequestEventKind::kReject, .error = failure_.kind()});
    }
    team_tokens_ = tokens;
  }
  Feed({.kind = spec.idempotent ? RequestEventKind::kAccept
                                : RequestEventKind::kAcceptOnce});
}

void RequestSession::Feed(RequestEvent event) {
  event.generation = generation_;
  for (const auto& action : machine_.Advance(event, MonotonicNow())) {
    actions_.push_back(action);
  }
}

void RequestSession::Execute(const RequestAction& action) {
  switch (action.kind) {
    case RequestActionKind::kClaim:
      return Claim();
    case RequestActionKind::kChooseLater:
      std::this_thread::sleep_for(action.delay);
      return ChooseServer();
    case RequestActionKind::kChoose:
      return ChooseServer();
    case RequestActionKind::kDispatch:
      generation_ = action.generation;
      return Dispatch();
    case RequestActionKind::kRecordUnknown:
      return deps_.hooks.end_claim(record_.spec(), OutcomeKind::kUnknown, {});
    case RequestActionKind::kReleaseClaim:
      return deps_.hooks.end_claim(record_.spec(), OutcomeKind::kNotDispatched,
                                   {});
    case RequestActionKind::kRecordOutcome:
      return deps_.hooks.end_claim(record_.spec(), OutcomeKind::kAnswered,
                                   answer_);
    case RequestActionKind::kFinish:
      return Finish();
    case RequestActionKind::kRefuse:
      return Refuse(action.error);
    case RequestActionKind::kCancel:
      // Nothing to cancel: the call has ended and its connection is closed.
    case RequestActionKind::kRelayAnswer:
    case RequestActionKind::kRelayLost:
      // Run reports the result if the record was handed over.
      return;
  }
}

void RequestSession::Finish() {
  result_ = answer_;
  record_.Finish(answer_);
}

void RequestSession::Refuse(ErrorKind kind) {
  Error error(kind, failure_.detail());
  if (failure_.kind() == kind) {
    error = error.WithRetryAfter(failure_.retry_after());
  }
  result_ = error;
  record_.Refuse(std::move(error));
}

void RequestSession::Claim() {
  ClaimReply reply = deps_.hooks.claim(record_.spec());
  switch (reply.verdict) {
    case ClaimVerdict::kWon:
      return Feed({.kind = RequestEventKind::kClaimWon});
    case ClaimVerdict::kReplayed:
      answer_ = std::move(reply.answer);
      return Feed({.kind = RequestEventKind::kClaimReplayed});
    case ClaimVerdict::kRefused:
      failure_ = reply.error;
      return Feed(
          {.kind = RequestEventKind::kClaimRefused, .error = failure_.kind()});
  }
}

// ----------------------------------------------------------------------------
// Server selection

void RequestSession::ChooseServer() {
  if (record_.state() == RecordState::kHandedOver &&
      record_.spec().idempotent) {
    return Feed({.kind = RequestEventKind::kMovedToPeer});
  }
  const auto choice = PickServer();
  if (!choice) {
    failure_ = choice.error();
    return Feed(
        {.kind = RequestEventKind::kNoServer, .error = failure_.kind()});
  }
  const auto server = AdmitToServer(choice.value());
  if (!server) {
    deps_.dispatcher.OnDispatchEnded(query_, choice.value().server.id,
                                     DispatchOutcome::kCancelled);
    failure_ = server.error();
    return Feed(
        {.kind = RequestEventKind::kNoServer, .error = failure_.kind()});
  }
  server_ = server.value();
  LogLine("server_chosen")
      .With("request", record_.spec().id.value())
      .With("server", server_.id.value())
      .With("reason", choice.value().reason)
      .Debug();
  Feed({.kind = RequestEventKind::kServerChosen, .server = server_.id});
}

Result<RouteChoice> RequestSession::PickServer() {
  query_.excluded = machine_.failed_servers();
  ExcludeSuspectServers();
  const bool stream_started = machine_.tokens_sent() > 0;
  if (record_.peer_progress() || stream_started) {
    return deps_.dispatcher.Choose(query_);
  }
  if (machine_.attempts() == 0) {
    return deps_.dispatcher.Admit(query_);
  }
  const auto delay =
      deps_.dispatcher.TakeRetry(query_, machine_.attempts() + 1);
  if (!delay) {
    return Error(ErrorKind::kServerFailed, "the retry budget is spent");
  }
  std::this_thread::sleep_for(*delay);
  return deps_.dispatcher.Choose(query_);
}

void RequestSession::ExcludeSuspectServers() {
  const ConfigurationPtr config = deps_.hooks.configuration();
  const auto* servers = ConfiguredServers(*config);
  if (!servers) {
    return;
  }
  std::vector<ServerId> suspect_servers;
  for (const BackendServer& server : *servers) {
    if (deps_.quarantine.HasRemoteSuspect(server.id)) {
      suspect_servers.push_back(server.id);
    }
  }
  // If suspects run on all servers, sharing one is better than no answer.
  if (query_.excluded.size() + suspect_servers.size() < servers->size()) {
    query_.excluded.insert(query_.excluded.end(), suspect_servers.begin(),
                           suspect_servers.end());
  }
}

Result<BackendServer> RequestSession::AdmitToServer(const RouteChoice& choice) {
  const ConfigurationPtr config = deps_.hooks.configuration();
  const auto* servers = ConfiguredServers(*config);
  if (!servers || servers->empty()) {
    return Error(ErrorKind::kNoServer, "the pool left the configuration");
  }
  std::vector<ServerId> configured;
  for (const BackendServer& server : *servers) {
    configured.push_back(server.id);
  }
  BOOST_OUTCOME_TRY(
      id, deps_.quarantine.Admit(record_.spec(), choice.server.id, configured));
  if (id == choice.server.id) {
    return choice.server;
  }
  for (const BackendServer& server : *servers) {
    if (server.id == id) {
      deps_.dispatcher.Reassign(query_, choice.server.id, id);
      return server;
    }
  }
  return Error(ErrorKind::kNoServer, "the granted server is not configured");
}

const std::vector<BackendServer>* RequestSession::ConfiguredServers(
    const Configuration& config) const {
  if (record_.is_chat()) {
    const ModelPool* pool = config.PoolForModel(record_.payload().model);
    return pool ? &pool->servers : nullptr;
  }
  const Route* route = config.FindRoute(record_.payload().route);
  return route ? &route->servers : nullptr;
}

// ----------------------------------------------------------------------------
// Dispatch

void RequestSession::Dispatch() {
  deps_.quarantine.OnDispatched(record_.spec(), server_.id);
  const BackendCallOutcome outcome =
      record_.is_chat() ? DispatchChat() : DispatchService();
  const bool complete = outcome == BackendCallOutcome::kCompleted &&
                        machine_.state() == RequestState::kAnswered;
  if (outcome == BackendCallOutcome::kLost ||
      outcome == BackendCallOutcome::kTimeout) {
    ReportIfServerDied();
  }
  deps_.quarantine.OnEnded(record_.spec(), server_.id, complete);
  deps_.dispatcher.OnDispatchEnded(query_, server_.id,
                                   ToDispatchOutcome(outcome));
}

BackendCall RequestSession::MakeCall() const {
  const RequestSpec& spec = record_.spec();
  const Duration remaining = spec.deadline - MonotonicNow();
  BackendCall call;
  call.address = server_.address;
  call.headers = {{kRequestIdHeader, spec.id.value()}};
  call.read_timeout = machine_.tokens_sent() > 0
                          ? kStreamReadTimeout
                          : std::max(remaining, kMinReadTimeout);
  return call;
}

BackendCallOutcome RequestSession::DispatchChat() {
  BackendCall call = MakeCall();
  call.method = "POST";
  call.path = kChatPath;
  call.body = EngineBody(record_.payload().body, record_.tokens());
  call.content_type = kJsonType;
  EventReader reader;
  bool done = false;
  call.on_body_chunk = [&](std::string_view chunk) {
    auto events = reader.Feed(chunk);
    if (!events) {
      failure_ = events.error();
      return false;
    }
    for (const auto& event : events.value()) {
      done = done || event.done;
      if (!event.done && !ForwardToken(event.token)) {
        return false;
      }
    }
    return true;
  };
  const BackendReply reply = deps_.backends.Call(call);
  const bool wrong_request_id =
      !reply.echoed_request_id.empty() &&
      reply.echoed_request_id != record_.spec().id.value();
  const bool complete = reply.outcome == BackendCallOutcome::kCompleted &&
                        reply.status == 200 && done && !wrong_request_id;
  if (record_.state() == RecordState::kHandedOver) {
    Feed({.kind = RequestEventKind::kMovedToPeer});
  } else if (complete) {
    FinishChat();
  } else {
    FeedFailure(reply.outcome);
  }
  return reply.outcome;
}

bool RequestSession::ForwardToken(const std::string& token) {
  if (!record_.AddToken(token)) {
    return false;
  }
  const bool first = machine_.state() == RequestState::kDispatched;
  if (first) {
    deps_.dispatcher.OnFirstByte(query_, server_.id,
                                 MonotonicNow() - start_time_);
  }
  Feed({.kind = first ? RequestEventKind::kFirstPart : RequestEventKind::kPart,
        .tokens = 1});
  return true;
}

void RequestSession::FinishChat() {
  const RequestSpec& spec = record_.spec();
  if (!spec.stream) {
    answer_ = {
        200, kJsonType,
        CompleteChatBody(spec.id, record_.payload().model, record_.tokens())};
  }
  Feed({.kind = RequestEventKind::kCompleted});
}

BackendCallOutcome RequestSession::DispatchService() {
  const RequestPayload& payload = record_.payload();
  BackendCall call = MakeCall();
  call.method = payload.method;
  call.path = payload.path;
  call.body = payload.body;
  call.content_type = payload.content_type;
  call.fresh_connection = !record_.spec().idempotent;
  if (!record_.spec().idempotency_key.empty()) {
    call.headers.push_back(
        {kIdempotencyKeyHeader, record_.spec().idempotency_key});
  }
  const BackendReply reply = deps_.backends.Call(call);
  const bool wrong_request_id =
      !reply.echoed_request_id.empty() &&
      reply.echoed_request_id != record_.spec().id.value();
  if (reply.outcome == BackendCallOutcome::kCompleted && !wrong_request_id) {
    answer_ = {reply.status, reply.content_type, reply.body};
    deps_.dispatcher.OnFirstByte(query_, server_.id,
                                 MonotonicNow() - start_time_);
    Feed({.kind = RequestEventKind::kCompleted});
  } else {
    FeedFailure(reply.outcome);
  }
  return reply.outcome;
}

void RequestSession::FeedFailure(BackendCallOutcome outcome) {
  if (outcome == BackendCallOutcome::kNotConnected) {
    return Feed({.kind = RequestEventKind::kNotConnected});
  }
  const bool late =
      MonotonicNow() >= record_.spec().deadline && machine_.tokens_sent() == 0;
  Feed({.kind = RequestEventKind::kServerLost,
        .error = late ? ErrorKind::kServerTimeout : ErrorKind::kServerFailed});
}

void RequestSession::ReportIfServerDied() {
  const auto socket = ConnectTcp(server_.address.host, server_.address.port,
                                 kLivenessProbeTimeout);
  if (socket) {
    close(socket.value());
    return;
  }
  deps_.quarantine.OnServerDied(server_, deps_.hooks.is_leaving(server_.id)
                                             ? ServerDeath::kUnderNotice
                                             : ServerDeath::kSudden);
}

void RequestSession::ReturnUnusedTokens() {
  const double used = record_.spec().prompt_tokens +
                      static_cast<double>(machine_.tokens_sent());
  if (team_tokens_ > used) {
    deps_.dispatcher.ReturnTeamTokens(record_.spec().team, team_tokens_ - used);
  }
}

}  // namespace qh
