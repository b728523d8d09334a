// The part of Exchange that waits for room at the servers while they are
// overloaded.

#include <algorithm>

#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// A request may wait at least this part (1/8) of its latency target, also if
// its answer is then expected late: so short a wait costs its caller nothing.
constexpr int kMinWaitDivisor = 8;
// Time to the first event on an idle engine, without prefill; the same as
// kIdleEngineTtfbMs of engine_estimate.h.
constexpr Duration kIdleEngineTtfb = std::chrono::milliseconds(30);

Duration FromMilliseconds(double milliseconds) {
  return FromSeconds(milliseconds / 1'000);
}

}  // namespace

double Exchange::ServiceSlots() const {
  double slots = 0;
  bool known = false;
  for (const ServerRecord* server : state_.directory.Usable(service_->name)) {
    slots += server->slots;
    known = known || server->slots > 1;
  }
  return known ? slots : 0;
}

void Exchange::DescribeForAdmission(double slots, TimePoint now) {
  const bool engine = service_->engine.has_value();
  ServiceTimes& times = state_.waiting.service_times();
  const double prefill_rate = state_.picker.PrefillRate(service_->name);
  const double work_ms = engine
                             ? ServiceTimes::EngineMs(request_, prefill_rate,
                                                      service_->engine->slots)
                             : times.PlainMs(route_->name);
  // From the send to the first event, or to the whole answer.
  const Duration to_answer =
      engine ? kIdleEngineTtfb +
                   FromMilliseconds(request_.prompt_tokens / prefill_rate)
             : FromMilliseconds(
                   times.PerOpenMs(service_->name) *
                   times.HoldPerSlot(service_->name, route_->latency_target));
  const Duration target = route_->latency_target;
  const Duration may_wait =
      std::max<Duration>(target / kMinWaitDivisor, target - to_answer);
  admission_ = {.route = route_->name,
                .team = team_ == nullptr ? std::string() : team_->id.value(),
                .route_priority = route_->priority,
                .priority = Priority(),
                .arrived = received_,
                .start_by = received_ + may_wait,
                .last_start = std::min(AnswerDue(), deadline_) -
                              std::max<Duration>(kMinAttemptTime,
                                                 std::min(to_answer, target)),
                .work_ms = work_ms,
                .returned = state_.waiting.returned().TakeReturned(
                    features_.content(), now)};
  WaitQueue& queue = state_.waiting.QueueOf(service_->name);
  queue.SetAssumedSlots(slots / static_cast<double>(state_.budget_nodes()));
  admission_class_ = queue.OnOffered(*admission_, now);
}

bool Exchange::CanWait() const {
  return admission_ && !admitted_ && attempts_ == 0;
}

std::optional<double> Exchange::HoldPerSlot() const {
  if (!CanWait()) {
    return std::nullopt;
  }
  return state_.waiting.service_times().HoldPerSlot(service_->name,
                                                    route_->latency_target);
}

int Exchange::Urgency() const {
  return admission_ ? UrgencyStep(Priority(), admission_class_.promoted,
                                  admission_->returned)
                    : Priority();
}

bool Exchange::WaitBehindOthers(TimePoint now) {
  if (!admission_ && attempts_ == 0) {
    if (const double slots = ServiceSlots(); slots > 0) {
      DescribeForAdmission(slots, now);
    }
  }
  if (!CanWait() || !state_.waiting.IsWaiting(service_->name)) {
    return false;
  }
  Wait(now);
  return true;
}

bool Exchange::WaitForRoom(const Error& error, TimePoint now) {
  const bool room_in_time = error.kind() == ErrorKind::kOverloaded &&
                            CanWait() &&
                            now + error.retry_after() < admission_->start_by;
  if (room_in_time) {
    Wait(now);
  }
  return room_in_time;
}

void Exchange::Wait(TimePoint now) {
  const auto weak = weak_from_this();
  wait_id_ = state_.waiting.Add(
      service_->name, *admission_, admission_class_,
      {.try_start =
           [weak](TimePoint at) {
             const auto self = weak.lock();
             return self == nullptr ? WaitingRequests::StartOutcome::kEnded
                                    : self->TryStartWaiting(at);
           },
       .refuse =
           [weak](const WaitQueue::Refusal& refusal) {
             if (const auto self = weak.lock()) {
               self->OnWaitRefused(refusal);
             }
           }},
      now);
}

WaitingRequests::StartOutcome Exchange::TryStartWaiting(TimePoint now) {
  const auto self = shared_from_this();
  const auto pick = Choose(now);
  if (!pick && pick.error().kind() == ErrorKind::kOverloaded) {
    return WaitingRequests::StartOutcome::kNoRoom;
  }
  if (!pick) {
    LeaveQueue(now);
    AnswerWithError(pick.error().WithRetryAfter(kNoServerRetryAfter));
    return WaitingRequests::StartOutcome::kEnded;
  }
  state_.waiting.Start(service_->name, std::exchange(wait_id_, 0), now);
  starting_ = true;
  Connect(pick.value(), now);
  return WaitingRequests::StartOutcome::kStarted;
}

void Exchange::OnWaitRefused(const WaitQueue::Refusal& refusal) {
  const auto self = shared_from_this();
  wait_id_ = 0;
  AnswerWithError(Error(refusal.reason == WaitEnd::kDeadlineMissed
                            ? ErrorKind::kDeadlineUnreachable
                            : ErrorKind::kOverloaded,
                        std::string(ToName(refusal.reason)) + ": waited " +
                            std::to_string(static_cast<int>(
                                ToMilliseconds(refusal.waited))) +
                            " ms for " + service_->name)
                      .WithRetryAfter(refusal.retry_after));
}

Error Exchange::WithScheduledReturn(const Error& error, TimePoint now) {
  if (!admission_ || error.kind() != ErrorKind::kOverloaded) {
    return error;
  }
  return error.WithRetryAfter(std::max(
      error.retry_after(),
      state_.waiting.QueueOf(service_->name).RetryAfter(*admission_, now)));
}

void Exchange::RememberRefusal(const Error& error) {
  if (features_.content() != 0 && error.retry_after() > Duration::zero()) {
    state_.waiting.returned().OnRefused(features_.content(),
                                        MonotonicNow() + error.retry_after());
  }
}

void Exchange::OnAdmitted(TimePoint now) {
  if (admission_ && attempts_ == 1) {
    state_.waiting.QueueOf(service_->name)
        .OnServed(*admission_, admission_class_, now);
  }
  EndStarting();
}

void Exchange::EndStarting() {
  if (std::exchange(starting_, false)) {
    state_.waiting.OnStartDone(service_->name);
  }
}

void Exchange::LeaveQueue(TimePoint now) {
  if (wait_id_ != 0) {
    state_.waiting.Remove(service_->name, std::exchange(wait_id_, 0), now);
  }
  EndStarting();
}

void Exchange::OnServerReleased(AttemptOutcome outcome, TimePoint now) {
  const ServerRecord* server = state_.directory.Find(pick_->server);
  const bool measured = server != nullptr && !service_->engine &&
                        outcome == AttemptOutcome::kAnswered;
  if (measured) {
    ServiceTimes& times = state_.waiting.service_times();
    const uint32_t open = pick_->outstanding.requests;
    const Duration took = now - attempt_started_;
    if (open < server->slots) {
      times.OnAnswered(route_->name, took);
    }
    times.OnLoadedAnswer(service_->name, took,
                         static_cast<double>(open + 1) / server->slots);
  }
  state_.waiting.ServeSoon(service_->name);
}

}  // namespace qh
