#include "qh_routing/admission/admission.h"

#include <algorithm>

namespace qh {
namespace {

// Smoothing factor of the interval between admissions, and its initial value.
constexpr double kIntervalSmoothing = 0.1;
constexpr double kInitialIntervalSeconds = 0.05;
// A longer gap between two admissions means that no request waited. It does not
// count for the interval.
constexpr double kMaxGapSeconds = 2;
constexpr double kMinRetryAfterSeconds = 1;
constexpr double kMaxRetryAfterSeconds = 60;
// Relative jitter of the retry time, so that refused callers do not all retry
// at the same time.
constexpr double kRetryAfterJitter = 0.5;
// Bound of the late credit, positive or negative.
constexpr double kMaxLateCredit = 20;
// Most admitted requests that are expected to be late.
constexpr size_t kMaxExpectedLate = 4'096;
// A waiting request is refused when its expected wait exceeds the time left
// multiplied by this factor, plus kUnreachableWaitSeconds.
constexpr double kUnreachableWaitFactor = 1.5;
constexpr double kUnreachableWaitSeconds = 1;

size_t Index(RequestClass request_class) {
  return static_cast<size_t>(request_class);
}

}  // namespace

Admission::Admission(AdmissionOptions options, uint64_t seed)
    : options_(options),
      rng_(seed),
      queues_{FairQueue(options.service_queue),
              FairQueue(options.interactive_queue),
              FairQueue(options.batch_queue)} {
  admission_interval_seconds_.fill(kInitialIntervalSeconds);
}

void Admission::SetTeams(const std::vector<Team>& teams) {
  for (const Team& team : teams) {
    for (FairQueue& queue : queues_) {
      queue.SetWeight(team.id, std::max(1e-3, team.weight));
    }
  }
}

AdmissionDecision Admission::OnArrival(const RouteQuery& query,
                                       const AdmissionHooks& hooks,
                                       TimePoint now) {
  auto chosen = hooks.choose(query);
  if (!chosen) {
    return Refuse(query, chosen.error().kind(), 0);
  }
  const RouteChoice& choice = chosen.value();
  const double seconds_left = ToSeconds(FirstByteDeadline(query, now) - now);
  const double ttfb = ToSeconds(choice.expected_ttfb);
  const bool can_start = HasCapacity(query, choice) && IsNextInOrder(query);
  const double wait = can_start ? 0 : ExpectedWait(query);
  if (wait + ttfb > seconds_left) {
    return Refuse(query, ErrorKind::kDeadlineUnreachable,
                  wait + ttfb - seconds_left);
  }
  if (can_start) {
    QueueOf(query.request_class).Charge(query.team, TokensOf(query));
    UpdateLateCredit(query, now, now + choice.expected_ttfb);
    hooks.on_admitted(query, choice);
    AdmissionDecision decision;
    decision.request = query.request;
    decision.query = query;
    decision.choice = choice;
    return decision;
  }
  auto rejected = QueueOf(query.request_class).Push({query, now});
  if (rejected && rejected->query.request == query.request) {
    return Refuse(query, ErrorKind::kOverloaded, wait);
  }
  if (rejected) {
    pending_.push_back(Refuse(rejected->query, ErrorKind::kOverloaded, wait));
  }
  AdmissionDecision decision;
  decision.kind = AdmissionDecisionKind::kQueue;
  decision.request = query.request;
  return decision;
}

std::vector<AdmissionDecision> Admission::Advance(const AdmissionHooks& hooks,
                                                  TimePoint now) {
  std::vector<AdmissionDecision> decisions = std::move(pending_);
  pending_.clear();
  for (FairQueue& queue : queues_) {
    RefuseUnreachable(queue, now, decisions);
    while (const QueuedRequest* front = queue.Front()) {
      auto chosen = hooks.choose(front->query);
      if (!chosen) {
        const auto refused = queue.Pop();
        decisions.push_back(Refuse(refused->query, chosen.error().kind(), 0));
        continue;
      }
      const RouteChoice& choice = chosen.value();
      const TimePoint first_byte_deadline =
          FirstByteDeadline(front->query, front->queued_at);
      if (now + choice.expected_ttfb > first_byte_deadline) {
        const auto refused = queue.Pop();
        decisions.push_back(Refuse(
            refused->query, ErrorKind::kDeadlineUnreachable,
            ToSeconds(now + choice.expected_ttfb - first_byte_deadline)));
        continue;
      }
      if (!HasCapacity(front->query, choice)) {
        break;
      }
      auto admitted = queue.Pop();
      RecordAdmission(admitted->query, now);
      UpdateLateCredit(admitted->query, admitted->queued_at,
                       now + choice.expected_ttfb);
      hooks.on_admitted(admitted->query, choice);
      AdmissionDecision decision;
      decision.request = admitted->query.request;
      decision.query = std::move(admitted->query);
      decision.choice = choice;
      decisions.push_back(std::move(decision));
    }
  }
  return decisions;
}

void Admission::OnCallerGone(const RequestId& request) {
  for (FairQueue& queue : queues_) {
    if (queue.Remove(request)) {
      return;
    }
  }
}

size_t Admission::waiting() const {
  size_t count = 0;
  for (const FairQueue& queue : queues_) {
    count += queue.size();
  }
  return count;
}

FairQueue& Admission::QueueOf(RequestClass request_class) {
  return queues_[Index(request_class)];
}

const FairQueue& Admission::QueueOf(RequestClass request_class) const {
  return queues_[Index(request_class)];
}

bool Admission::HasCapacity(const RouteQuery& query,
                            const RouteChoice& choice) const {
  if (choice.limit == 0) {
    return choice.has_capacity;
  }
  const double factor = query.request_class == RequestClass::kBatch
                            ? options_.batch_share
                            : options_.overcommit_factor;
  return choice.in_flight + 1 <= factor * choice.limit;
}

// Waiting requests of the same or a more urgent class go first.
bool Admission::IsNextInOrder(const RouteQuery& query) const {
  for (size_t i = 0; i <= Index(query.request_class); ++i) {
    if (queues_[i].size() > 0) {
      return false;
    }
  }
  return true;
}

bool Admission::HasLatencyTarget(const RouteQuery& query) const {
  return query.request_class == RequestClass::kInteractive &&
         options_.interactive_ttfb_target.count() > 0;
}

TimePoint Admission::FirstByteDeadline(const RouteQuery& query,
                                       TimePoint arrived) const {
  return HasLatencyTarget(query) && late_credit_ < 1
             ? std::min(query.deadline,
                        arrived + options_.interactive_ttfb_target)
             : query.deadline;
}

void Admission::UpdateLateCredit(const RouteQuery& query,
                                 TimePoint arrived,
                                 TimePoint expected) {
  if (!HasLatencyTarget(query)) {
    return;
  }
  late_credit_ =
      std::min(kMaxLateCredit, late_credit_ + options_.max_late_share);
  if (expected - arrived > options_.interactive_ttfb_target &&
      expected_late_.size() < kMaxExpectedLate) {
    late_credit_ -= 1;
    expected_late_.insert(query.request);
  }
}

void Admission::OnFirstByte(const RouteQuery& query, Duration ttfb) {
  if (!HasLatencyTarget(query)) {
    return;
  }
  const bool expected = expected_late_.erase(query.request) > 0;
  const bool late = ttfb > options_.interactive_ttfb_target;
  if (late && !expected) {
    late_credit_ = std::max(-kMaxLateCredit, late_credit_ - 1);
  } else if (expected && !late) {
    late_credit_ = std::min(kMaxLateCredit, late_credit_ + 1);
  }
}

void Admission::RefuseUnreachable(FairQueue& queue,
                                  TimePoint now,
                                  std::vector<AdmissionDecision>& decisions) {
  const double teams = double(queue.waiting_teams());
  for (const auto& refused :
       queue.RemoveIf([&](const QueuedRequest&waiting, size_t before) {
         const double left = ToSeconds(
             FirstByteDeadline(waiting.query, waiting.queued_at) - now);
         const double wait =
             double(before) * teams *
             admission_interval_seconds_[Index(waiting.query.request_class)];
         return left <= 0 ||
                wait > kUnreachableWaitFactor * left + kUnreachableWaitSeconds;
       })) {
    decisions.push_back(Refuse(refused.query, ErrorKind::kDeadlineUnreachable,
                               ExpectedWait(refused.query)));
  }
}

double Admission::ExpectedWait(const RouteQuery& query) const {
  double seconds = 0;
  for (size_t i = 0; i < Index(query.request_class); ++i) {
    seconds += double(queues_[i].size()) * admission_interval_seconds_[i];
  }
  return seconds +
         (QueueOf(query.request_class).RequestsAheadOf(query.team) + 1) *
             admission_interval_seconds_[Index(query.request_class)];
}

AdmissionDecision Admission::Refuse(const RouteQuery& query,
                                    ErrorKind error,
                                    double retry_seconds) {
  AdmissionDecision decision;
  decision.kind = AdmissionDecisionKind::kRefuse;
  decision.request = query.request;
  decision.query = query;
  decision.error = error;
  const double jitter = 1 + kRetryAfterJitter * rng_.Uniform();
  decision.retry_after = FromSeconds(std::clamp(
      retry_seconds * jitter, kMinRetryAfterSeconds, kMaxRetryAfterSeconds));
  return decision;
}

void Admission::RecordAdmission(const RouteQuery& query, TimePoint now) {
  const size_t index = Index(query.request_class);
  const double gap = ToSeconds(now - last_admission_[index]);
  last_admission_[index] = now;
  if (gap < kMaxGapSeconds) {
    admission_interval_seconds_[index] +=
        kIntervalSmoothing * (gap - admission_interval_seconds_[index]);
  }
}

}  // namespace qh
