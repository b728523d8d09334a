#include "qh_gateway/forwarding/exchange.h"

#include <algorithm>

#include "qh_core/hash/hash.h"
#include "qh_gateway/forwarding/answer_serialization.h"

namespace qh {
namespace {

// A stream has stalled after a pause between two events of this multiple of the
// route's target.
constexpr int kEventGapTimeoutFactor = 2;
// Time for an answer to reach the caller, and the largest share of the caller's
// deadline that is kept for it.
constexpr Duration kAnswerDeliveryTime = std::chrono::milliseconds(25);
constexpr int kAnswerDeliveryShare = 10;
// Callers give up a stream that has no event for the longest of this time and
// these multiples of the route's targets for the first event and for gaps.
constexpr Duration kMinCallerPatience = std::chrono::seconds(2);
constexpr int kPatienceLatencyFactor = 4;
constexpr int kPatienceGapFactor = 8;
// Most bytes of one answer, or of one event, that the gateway holds until it is
// complete. A faulty server may send bytes without end.
constexpr size_t kMaxHeldBytes = size_t{4} << 20U;

constexpr int kNoContent = 204;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Returns the type of an answer's body without its parameters; empty if the
// server does not say.
std::string MediaType(const HttpHead& head) {
  const std::string* type = head.Find("Content-Type");
  return type == nullptr ? std::string() : type->substr(0, type->find(';'));
}

}  // namespace

std::shared_ptr<Exchange> Exchange::Create(GatewayState& state,
                                           CallerRequest request,
                                           TimePoint received,
                                           AnswerSink sink) {
  return std::shared_ptr<Exchange>(
      new Exchange(state, std::move(request), received, std::move(sink)));
}

Exchange::Exchange(GatewayState& state,
                   CallerRequest request,
                   TimePoint received,
                   AnswerSink sink)
    : state_(state),
      request_(std::move(request)),
      request_fields_memory_(MemoryOf(request_.forwarded_fields)),
      received_(received),
      sink_(std::move(sink)),
      deadline_timer_(state.io),
      stall_timer_(state.io),
      config_(state.config),
      migration_timer_(state.io),
      held_(state.byte_budget, HoldPurpose::kTraffic) {
  held_.Set(held_size());
}

Duration Exchange::TimeLeft(TimePoint now) const {
  return deadline_ - now;
}

void Exchange::Start() {
  ++state_.open_requests;
  state_.stop_listeners[this] = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnNodeStops();
    }
  };
  if (!SelectRoute() || !AuthenticateTeam() || !CheckBlockedFeatures() ||
      !ChargeTeamLimit()) {
    return;
  }
  state_.retry_budget.OnRequest(service_->name, MonotonicNow());
  state_.rollouts.OnRequest(service_->name, route_->name, MonotonicNow());
  ArmDeadlineTimer(AnswerDue());
  StartAttempt();
}

Duration Exchange::CallerPatience() const {
  const Duration deadline = request_.deadline.value_or(Duration::max());
  if (!is_stream()) {
    return deadline;
  }
  const Duration first_event =
      std::max({kMinCallerPatience,
                Duration(kPatienceLatencyFactor * route_->latency_target),
                Duration(kPatienceGapFactor * route_->event_gap_target)});
  return std::min(deadline, first_event);
}

TimePoint Exchange::AnswerDue() const {
  const Duration patience = CallerPatience();
  if (patience >= deadline_ - received_ + kAnswerDeliveryTime) {
    return deadline_;
  }
  const Duration delivery =
      std::min<Duration>(kAnswerDeliveryTime, patience / kAnswerDeliveryShare);
  return std::min(deadline_, received_ + patience - delivery);
}

void Exchange::ArmDeadlineTimer(TimePoint when) {
  deadline_timer_.expires_after(when - MonotonicNow());
  deadline_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_) {
          self->OnAnswerDue();
        }
      });
}

void Exchange::OnAnswerDue() {
  const bool may_go_on = forwarding_ && TimeLeft(MonotonicNow()) > Duration(0);
  if (may_go_on) {
    ArmDeadlineTimer(deadline_);
    return;
  }
  OnDeadline();
}

void Exchange::OnDeadline() {
  if (connection_ != nullptr) {
    connection_->Close();
    ReleaseServer(AttemptOutcome::kAbandoned);
  }
  if (forwarding_) {
    Abort("deadline passed during the answer");
    return;
  }
  AnswerWithError(may_have_run_
                      ? Error(ErrorKind::kServerTimeout,
                              "no answer from the server before the deadline")
                      : Error(ErrorKind::kDeadlineUnreachable,
                              "not sent to any server before the deadline"));
}

void Exchange::OnNodeStops() {
  if (connection_ != nullptr) {
    connection_->Close();
    ReleaseServer(AttemptOutcome::kAbandoned);
  }
  AnswerWithError(may_have_run_
                      ? Error(ErrorKind::kServerFailed,
                              "the node stops before the server has answered")
                      : Error(ErrorKind::kDraining,
                              "the node stops; not sent to any server"));
}

bool Exchange::streaming_answer() const {
  return is_stream() && IsSuccess(answer_head_.status) &&
         answer_head_.status != kNoContent && fits_forwarded_head();
}

bool Exchange::fits_forwarded_head() const {
  if (!forwarding_) {
    return true;
  }
  const std::string type = MediaType(answer_head_);
  return answer_head_.status == forwarded_head_.status &&
         (type.empty() || SameFieldName(type, MediaType(forwarded_head_)));
}

void Exchange::OnHead(const HttpHead& head, const AnswerTraits& traits) {
  answer_head_ = head;
  has_answer_head_ = true;
  buffered_body_ = {};
  held_.Set(held_size());
  if (!traits.wrong_server) {
    state_.OnServerAnswer(process_, traits);
  }
  if (traits.encoded) {
    connection_->Close();
    OnAttemptFailed(AttemptOutcome::kBroken, "answer has a content encoding");
    return;
  }
  if (traits.not_executed) {
    // The server guarantees that it has not executed this request and won't.
    if (attempts_ == 1) {
      may_have_run_ = false;
    }
    const bool wrong_server = traits.wrong_server;
    connection_->Close();
    if (wrong_server) {
      --attempts_;
    }
    OnAttemptFailed(
        AttemptOutcome::kRejected,
        wrong_server ? "another server now has the address"
                     : "server rejected with " + std::to_string(traits.status));
    return;
  }
  if (!streaming_answer()) {
    RecordFirstByte();
  }
}

// Records that the answer has begun, which shows that the server executes the
// request, and counts the request in the team's usage.
void Exchange::RecordFirstByte() {
  if (time_to_first_byte_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  time_to_first_byte_ = now - attempt_started_;
  state_.features_blocked_listeners.erase(this);
  state_.rollouts.OnStarted(*rollout_attempt_, CurrentTime(now));
  // A failure is answered at once, without a prefill.
  state_.picker.OnResponseStarted(
      *pick_, service_->name,
      service_->engine && IsSuccess(answer_head_.status), *time_to_first_byte_,
      now);
  if (!usage_counted_ && team_ != nullptr) {
    usage_counted_ = true;
    const TimePoint execution_started =
        service_->engine ? now : attempt_started_;
    state_.usage.Count(team_->id, state_.wall_clock.Now(execution_started));
  }
}

void Exchange::OnBody(const std::string& bytes) {
  if (!streaming_answer()) {
    buffered_body_ += bytes;
  }
  const std::string events =
      streaming_answer() ? event_splitter_.Feed(bytes) : std::string();
  if (!CheckHeldBytes() || events.empty()) {
    return;
  }
  RecordFirstByte();
  if (MonotonicNow() - attempt_started_ - *time_to_first_byte_ >=
      CrashTracker::kSoundAfter) {
    NoteSound();
  }
  event_gaps_.OnEvents(MonotonicNow());
  ForwardEvents(events);
  ArmStallTimer(kEventGapTimeoutFactor * route_->event_gap_target);
}

size_t Exchange::held_size() const {
  return MemoryOf(request_.body) + request_fields_memory_ +
         buffered_body_.size() + event_splitter_.partial_size();
}

bool Exchange::CheckHeldBytes() {
  const bool endless = buffered_body_.size() > kMaxHeldBytes ||
                       event_splitter_.partial_size() > kMaxHeldBytes;
  const bool fits =
      !endless && state_.caller_limiter->TryHold(held_, held_size(), nullptr,
                                                 MonotonicNow());
  if (fits) {
    return true;
  }
  const std::string size = std::to_string(held_size());
  connection_->Close();
  buffered_body_ = {};
  if (endless) {
    OnAttemptFailed(AttemptOutcome::kBroken,
                    "the server sends without end: no complete answer within " +
                        std::to_string(kMaxHeldBytes) + " bytes");
  } else {
    // The server is not at fault.
    OnAttemptFailed(AttemptOutcome::kAbandoned,
                    "the node holds too much already to take " + size +
                        " bytes of this answer");
  }
  return false;
}

void Exchange::OnEnd(const Result<AnswerEnd>& result) {
  if (!result && result.error().kind() == ErrorKind::kMalformedAnswer) {
    state_.metrics.Count({.name = "gateway_malformed_answers_total",
                          .request_class = route_->name});
  }
  stall_timer_.cancel();
  evidence_.end = result ? result.value() : AnswerEnd::kCut;
  evidence_.within_event = streaming_answer() && event_splitter_.has_partial();
  if (!result) {
    end_reason_ = result.error().detail();
  } else if (evidence_.within_event) {
    end_reason_ = "stream ended within an event";
  } else {
    end_reason_ = "server closed the connection";
  }
  ActOnEvidence();
}

void Exchange::ActOnEvidence() {
  switch (JudgeAnswer(evidence_)) {
    case AnswerVerdict::kOpen:
    case AnswerVerdict::kAwaitStopReply:
      return;
    case AnswerVerdict::kProbe:
      ProbeServer();
      return;
    case AnswerVerdict::kWhole:
      OnWhole();
      return;
    case AnswerVerdict::kContinueAtDestination:
      ContinueAtDestination();
      return;
    case AnswerVerdict::kContinueAtSource:
      ContinueAtSource();
      return;
    case AnswerVerdict::kBroken:
      OnBroken();
      return;
  }
}

void Exchange::OnBroken() {
  std::string reason = end_reason_;
  if (evidence_.stop != RunStop::kNotAsked) {
    reason += ", stop of the run: " + std::string(ToName(evidence_.stop));
  }
  if (evidence_.probe) {
    reason += ", and is " + std::string(ToName(*evidence_.probe));
  }
  OnAttemptFailed(AttemptOutcome::kBroken, reason);
}

InterruptedRun Exchange::CurrentRun() const {
  return {.process = process_,
          .address = server_address_,
          .request_id = request_.id,
          .features = features_,
          .may_be_cause = !sound_noted_};
}

void Exchange::ProbeServer() {
  ProbeAfterOrderlyClose(
      state_, CurrentRun(),
      [self = shared_from_this(),
       attempt = attempt_number_](ProbeResult found) {
        if (!self->finished_ && attempt == self->attempt_number_) {
          self->evidence_.probe = found;
          self->ActOnEvidence();
        }
      });
}

void Exchange::NoteSound() {
  if (!std::exchange(sound_noted_, true)) {
    state_.crash_tracker.OnSound(features_,
                                 attempt_started_ + *time_to_first_byte_);
  }
}

void Exchange::OnWhole() {
  if (time_to_first_byte_ && IsSuccess(answer_head_.status)) {
    NoteSound();
  }
  if (streaming_answer()) {
    ReleaseServer(AttemptOutcome::kAnswered);
    if (!forwarding_) {
      ForwardEvents({});
    }
    sink_.write(EncodeLastChunk(request_.minor_version), true);
    LogOutcome(GatewayEvent::kRequestServed, answer_head_.status, "streamed");
    Finish();
    return;
  }
  const bool failed = IsServerError(answer_head_.status);
  if (forwarding_ || (failed && MayRetry())) {
    OnAttemptFailed(AttemptOutcome::kFailed,
                    "server answered " + std::to_string(answer_head_.status) +
                        " " + MediaType(answer_head_));
    return;
  }
  ReleaseServer(failed ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered);
  ForwardBuffered();
}

void Exchange::ReleaseServer(AttemptOutcome outcome) {
  stall_timer_.cancel();
  const auto connection = std::exchange(connection_, nullptr);
  if (connection == nullptr) {
    return;
  }
  if (const auto listeners =
          state_.server_leaving_listeners.find(pick_->server);
      listeners != state_.server_leaving_listeners.end()) {
    listeners->second.erase(this);
    if (listeners->second.empty()) {
      state_.server_leaving_listeners.erase(listeners);
    }
  }
  state_.features_blocked_listeners.erase(this);
  const TimePoint now = MonotonicNow();
  state_.rollouts.OnEnded(*rollout_attempt_, outcome, CurrentTime(now));
  const bool ejected = state_.picker.OnEnded(
      *pick_, time_to_first_byte_.has_value(), outcome, now);
  if (ejected) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kServerEjected))
                         .With("server", pick_->server.value())
                         .With("end", ToName(outcome)),
                     GatewayEvent::kServerEjected);
  }
  state_.connection_pool.Release(connection, now);
  OnServerReleased(outcome, now);
}

}  // namespace qh
