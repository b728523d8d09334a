#include "qh_requests/request_machine.h"

#include <cassert>

#include "qh_core/statechart/state_chart.h"

namespace qh {
namespace {

using Chart = BoundChart<RequestState, RequestEventKind>;
using Actions = std::vector<RequestAction>;

constexpr std::string_view kChartText =
#include "request.chart"
    ;

// Delay before a server is chosen again for a request that has already started
// when no server can continue it.
constexpr Duration kChooseAgainDelay = std::chrono::milliseconds(200);

bool BelongsToAttempt(RequestEventKind kind) {
  switch (kind) {
    case RequestEventKind::kNotConnected:
    case RequestEventKind::kFirstPart:
    case RequestEventKind::kPart:
    case RequestEventKind::kCompleted:
    case RequestEventKind::kServerLost:
      return true;
    default:
      return false;
  }
}

const Chart& RequestChart() {
  static const Chart chart = Chart::Bind(kChartText).value();
  return chart;
}

}  // namespace

RequestMachine RequestMachine::Create(RequestSpec spec, uint32_t max_attempts) {
  return {std::move(spec), max_attempts, {}};
}

RequestMachine RequestMachine::Restore(RequestSpec spec,
                                       uint32_t max_attempts,
                                       RequestProgress progress) {
  return {std::move(spec), max_attempts, std::move(progress)};
}

RequestMachine::RequestMachine(RequestSpec spec,
                               uint32_t max_attempts,
                               RequestProgress progress)
    : spec_(std::move(spec)),
      max_attempts_(max_attempts),
      state_(RequestChart().initial()),
      progress_(std::move(progress)) {
  assert(max_attempts_ > 0);
}

bool RequestMachine::is_final() const {
  return RequestChart().IsFinal(state_);
}

bool RequestMachine::StreamStarted() const {
  return spec_.stream && progress_.tokens_sent > 0;
}

bool RequestMachine::IsIgnored(const RequestEvent& event) const {
  if (BelongsToAttempt(event.kind)) {
    return event.generation != generation_;
  }
  switch (event.kind) {
    case RequestEventKind::kServerLeaving:
      // A request that may run at most once finishes on the server that runs
      // it.
      return !spec_.idempotent;
    case RequestEventKind::kDeadline:
      return StreamStarted();
    case RequestEventKind::kCallerGone:
      // The caller may resend the request to learn its outcome.
      return !spec_.idempotent && !server_.empty();
    default:
      return false;
  }
}

Actions RequestMachine::Advance(const RequestEvent& event, TimePoint now) {
  if (IsIgnored(event)) {
    return {};
  }
  RequestEvent effective = event;
  if (event.kind == RequestEventKind::kMovedToPeer && !spec_.idempotent &&
      state_ == RequestState::kDispatched) {
    effective.kind = RequestEventKind::kMovedRunning;
  }
  if (event.kind == RequestEventKind::kNoServer &&
      state_ == RequestState::kChoosing) {
    return HandleNoServer(event, now);
  }
  const auto next = RequestChart().Next(state_, effective.kind);
  if (!next) {
    return {};
  }
  const RequestState before = state_;
  state_ = *next;
  if (before == RequestState::kRelaying) {
    return {{.kind = effective.kind == RequestEventKind::kCompleted
                         ? RequestActionKind::kRelayAnswer
                         : RequestActionKind::kRelayLost}};
  }
  if (effective.kind == RequestEventKind::kDeadline ||
      effective.kind == RequestEventKind::kCallerGone) {
    return CancelAndRefuse(before);
  }
  return ActionsFor(effective, now);
}

Actions RequestMachine::ActionsFor(const RequestEvent& event, TimePoint now) {
  switch (event.kind) {
    case RequestEventKind::kClaimWon:
      progress_.claim_held = true;
      return {{.kind = RequestActionKind::kChoose}};
    case RequestEventKind::kAccept:
    case RequestEventKind::kResume:
    case RequestEventKind::kRestoreChoosing:
      return {{.kind = RequestActionKind::kChoose}};
    case RequestEventKind::kAcceptOnce:
    case RequestEventKind::kRestoreClaiming:
      return {{.kind = RequestActionKind::kClaim}};
    case RequestEventKind::kServerChosen:
      return Dispatch(event);
    case RequestEventKind::kNotConnected:
      progress_.failed_servers.push_back(server_);
      server_ = ServerId();
      if (progress_.attempts >= max_attempts_) {
        return HandleNoServer({.kind = RequestEventKind::kNoServer,
                               .error = ErrorKind::kNoServer},
                              now);
      }
      return {{.kind = RequestActionKind::kChoose}};
    case RequestEventKind::kFirstPart:
    case RequestEventKind::kPart:
      progress_.tokens_sent += event.tokens;
      return {};
    case RequestEventKind::kCompleted:
    case RequestEventKind::kRelayedAnswer:
      return Complete(event);
    case RequestEventKind::kClaimReplayed:
      return {{.kind = RequestActionKind::kFinish}};
    case RequestEventKind::kServerLost:
    case RequestEventKind::kServerLeaving:
      return HandleServerLoss(event, now);
    case RequestEventKind::kReject:
    case RequestEventKind::kClaimRefused:
    case RequestEventKind::kNoServer:
    case RequestEventKind::kGiveUp:
      return Refuse(event.error);
    case RequestEventKind::kRelayLost:
      return Refuse(ErrorKind::kOutcomeUnknown);
    case RequestEventKind::kMovedToPeer:
      if (!server_.empty()) {
        progress_.may_have_reached_server = true;
        return {{.kind = RequestActionKind::kCancel, .server = server_}};
      }
      return {};
    case RequestEventKind::kMovedRunning:
      progress_.may_have_reached_server = true;
      return {};
    case RequestEventKind::kRestoreAwaiting:
    case RequestEventKind::kWaitForServer:
    case RequestEventKind::kDeadline:
    case RequestEventKind::kCallerGone:
      return {};
  }
  return {};
}

Actions RequestMachine::Dispatch(const RequestEvent& event) {
  ++progress_.attempts;
  ++generation_;
  server_ = event.server;
  return {{.kind = RequestActionKind::kDispatch,
           .server = server_,
           .resume_from = progress_.tokens_sent,
           .generation = generation_}};
}

Actions RequestMachine::Complete(const RequestEvent& event) {
  progress_.tokens_sent += event.tokens;
  progress_.may_have_reached_server = true;
  if (!spec_.idempotent) {
    return {{.kind = RequestActionKind::kRecordOutcome},
            {.kind = RequestActionKind::kFinish}};
  }
  return {{.kind = RequestActionKind::kFinish}};
}

Actions RequestMachine::HandleServerLoss(const RequestEvent& event,
                                         TimePoint now) {
  const ServerId lost = server_;
  progress_.failed_servers.push_back(lost);
  progress_.may_have_reached_server = true;
  server_ = ServerId();
  // Drops events of the closed connection that arrive later.
  ++generation_;
  Actions actions;
  actions.push_back({.kind = RequestActionKind::kCancel, .server = lost});
  RequestEvent decision = {.kind = RequestEventKind::kResume};
  if (!spec_.idempotent) {
    decision = {.kind = RequestEventKind::kGiveUp,
                .error = ErrorKind::kOutcomeUnknown};
  } else if (progress_.attempts >= max_attempts_ && !StreamStarted()) {
    decision = {.kind = RequestEventKind::kGiveUp, .error = event.error};
  }
  const Actions next = Advance(decision, now);
  actions.insert(actions.end(), next.begin(), next.end());
  return actions;
}

Actions RequestMachine::HandleNoServer(const RequestEvent& event,
                                       TimePoint now) {
  const bool is_temporary =
      AnswerFor(event.error).retry_after > std::chrono::seconds(0);
  const bool before_deadline = now + kChooseAgainDelay < spec_.deadline;
  const bool dispatched_before =
      spec_.idempotent && progress_.may_have_reached_server;
  if (is_temporary &&
      (StreamStarted() || (dispatched_before && before_deadline))) {
    // A server that failed earlier may have recovered by then.
    progress_.failed_servers.clear();
    state_ = *RequestChart().Next(state_, RequestEventKind::kWaitForServer);
    return {
        {.kind = RequestActionKind::kChooseLater, .delay = kChooseAgainDelay}};
  }
  state_ = *RequestChart().Next(state_, RequestEventKind::kNoServer);
  return Refuse(event.error);
}

Actions RequestMachine::CancelAndRefuse(RequestState before) {
  Actions actions;
  if (!server_.empty()) {
    actions.push_back({.kind = RequestActionKind::kCancel, .server = server_});
    progress_.may_have_reached_server = true;
    server_ = ServerId();
    ++generation_;
  }
  ErrorKind error = ErrorKind::kDeadlineUnreachable;
  if (progress_.may_have_reached_server) {
    error = ErrorKind::kServerTimeout;
  } else if (before == RequestState::kAwaiting) {
    error = ErrorKind::kOutcomeUnknown;
  } else if (before == RequestState::kClaiming) {
    error = ErrorKind::kClaimUnavailable;
  }
  const Actions refusal = Refuse(error);
  actions.insert(actions.end(), refusal.begin(), refusal.end());
  return actions;
}

Actions RequestMachine::Refuse(ErrorKind error) {
  Actions actions;
  const bool states_not_executed = AnswerFor(error).executed == Executed::kNo;
  if (progress_.may_have_reached_server && states_not_executed) {
    error = spec_.idempotent ? ErrorKind::kServerFailed
                             : ErrorKind::kOutcomeUnknown;
  }
  // The claim may become durable after this refusal if its request is still on
  // the way.
  const bool may_hold_claim =
      progress_.claim_held || error == ErrorKind::kClaimUnavailable;
  if (!spec_.idempotent && progress_.may_have_reached_server) {
    actions.push_back({.kind = RequestActionKind::kRecordUnknown});
  } else if (!spec_.idempotent && may_hold_claim) {
    actions.push_back({.kind = RequestActionKind::kReleaseClaim});
  }
  actions.push_back({.kind = RequestActionKind::kRefuse, .error = error});
  return actions;
}

}  // namespace qh
