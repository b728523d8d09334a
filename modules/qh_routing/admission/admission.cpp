#include "qh_routing/admission/admission.h"

#include <algorithm>

namespace qh {
namespace {

constexpr double kPaceGain = 0.1;
constexpr double kFirstPaceSeconds = 0.05;
// A gap longer than this was idleness, not the queue's pace.
constexpr double kMaxGapSeconds = 2;
constexpr double kLeastRetrySeconds = 1;
constexpr double kMostRetrySeconds = 60;
// Spread of the time to come back, so that refused callers don't come at once.
constexpr double kRetrySpread = 0.5;
constexpr double kMostLateCredit = 20;
constexpr size_t kMostExpectedLate = 4'096;
// A waiting request is given up when its expected wait is this many times the
// time left, and a second more.
constexpr double kLostFactor = 1.5;
constexpr double kLostSeconds = 1;

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
  pace_seconds_.fill(kFirstPaceSeconds);
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
  const double latest = ToSeconds(LatestFirstPart(query, now) - now);
  const double first_part = ToSeconds(choice.expected_first_part);
  const bool room = HasRoom(query, choice) && IsFirstInLine(query);
  const double wait = room ? 0 : ExpectedWait(query);
  if (wait + first_part > latest) {
    return Refuse(query, ErrorKind::kDeadlineUnreachable,
                  wait + first_part - latest);
  }
  if (room) {
    QueueOf(query.request_class).Charge(query.team, TokensOf(query));
    TakeLateCredit(query, now, now + choice.expected_first_part);
    hooks.on_admitted(query, choice);
    AdmissionDecision verdict;
    verdict.request = query.request;
    verdict.query = query;
    verdict.choice = choice;
    return verdict;
  }
  auto sent_back = QueueOf(query.request_class).Push({query, now});
  if (sent_back && sent_back->query.request == query.request) {
    return Refuse(query, ErrorKind::kOverloaded, wait);
  }
  if (sent_back) {
    pending_.push_back(Refuse(sent_back->query, ErrorKind::kOverloaded, wait));
  }
  AdmissionDecision verdict;
  verdict.kind = AdmissionDecisionKind::kQueue;
  verdict.request = query.request;
  return verdict;
}

std::vector<AdmissionDecision> Admission::Advance(const AdmissionHooks& hooks,
                                                  TimePoint now) {
  std::vector<AdmissionDecision> verdicts = std::move(pending_);
  pending_.clear();
  for (FairQueue& queue : queues_) {
    RefuseLost(queue, now, verdicts);
    while (const QueuedRequest* front = queue.Front()) {
      auto chosen = hooks.choose(front->query);
      if (!chosen) {
        const auto lost = queue.Pop();
        verdicts.push_back(Refuse(lost->query, chosen.error().kind(), 0));
        continue;
      }
      const RouteChoice& choice = chosen.value();
      const TimePoint latest = LatestFirstPart(front->query, front->queued_at);
      if (now + choice.expected_first_part > latest) {
        const auto lost = queue.Pop();
        verdicts.push_back(
            Refuse(lost->query, ErrorKind::kDeadlineUnreachable,
                   ToSeconds(now + choice.expected_first_part - latest)));
        continue;
      }
      if (!HasRoom(front->query, choice)) {
        break;
      }
      auto admitted = queue.Pop();
      CountAdmission(admitted->query, now);
      TakeLateCredit(admitted->query, admitted->queued_at,
                     now + choice.expected_first_part);
      hooks.on_admitted(admitted->query, choice);
      AdmissionDecision verdict;
      verdict.request = admitted->query.request;
      verdict.query = std::move(admitted->query);
      verdict.choice = choice;
      verdicts.push_back(std::move(verdict));
    }
  }
  return verdicts;
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

bool Admission::HasRoom(const RouteQuery& query,
                        const RouteChoice& choice) const {
  if (choice.limit == 0) {
    return choice.has_room;
  }
  const double share = query.request_class == RequestClass::kBatch
                           ? options_.batch_share
                           : options_.urgent_share;
  return choice.in_flight + 1 <= share * choice.limit;
}

// Requests of a more urgent class that wait keep this one waiting too.
bool Admission::IsFirstInLine(const RouteQuery& query) const {
  for (size_t i = 0; i <= Index(query.request_class); ++i) {
    if (queues_[i].size() > 0) {
      return false;
    }
  }
  return true;
}

bool Admission::HasTarget(const RouteQuery& query) const {
  return query.request_class == RequestClass::kInteractive &&
         options_.interactive_target.count() > 0;
}

TimePoint Admission::LatestFirstPart(const RouteQuery& query,
                                     TimePoint arrived) const {
  return HasTarget(query) && late_credit_ < 1
             ? std::min(query.deadline, arrived + options_.interactive_target)
             : query.deadline;
}

void Admission::TakeLateCredit(const RouteQuery& query,
                               TimePoint arrived,
                               TimePoint expected) {
  if (!HasTarget(query)) {
    return;
  }
  late_credit_ = std::min(kMostLateCredit, late_credit_ + options_.late_share);
  if (expected - arrived > options_.interactive_target &&
      expected_late_.size() < kMostExpectedLate) {
    late_credit_ -= 1;
    expected_late_.insert(query.request);
  }
}

void Admission::OnFirstByte(const RouteQuery& query, Duration waited) {
  if (!HasTarget(query)) {
    return;
  }
  const bool expected = expected_late_.erase(query.request) > 0;
  const bool late = waited > options_.interactive_target;
  if (late && !expected) {
    late_credit_ = std::max(-kMostLateCredit, late_credit_ - 1);
  } else if (expected && !late) {
    late_credit_ = std::min(kMostLateCredit, late_credit_ + 1);
  }
}

void Admission::RefuseLost(FairQueue& queue,
                           TimePoint now,
                           std::vector<AdmissionDecision>& verdicts) {
  const double teams = double(queue.waiting_teams());
  for (const auto& lost :
       queue.RemoveIf([&](const QueuedRequest&waiting, size_t before) {
         const double left =
             ToSeconds(LatestFirstPart(waiting.query, waiting.queued_at) - now);
         const double wait = double(before) * teams *
                             pace_seconds_[Index(waiting.query.request_class)];
         return left <= 0 || wait > kLostFactor * left + kLostSeconds;
       })) {
    verdicts.push_back(Refuse(lost.query, ErrorKind::kDeadlineUnreachable,
                              ExpectedWait(lost.query)));
  }
}

double Admission::ExpectedWait(const RouteQuery& query) const {
  double seconds = 0;
  for (size_t i = 0; i < Index(query.request_class); ++i) {
    seconds += double(queues_[i].size()) * pace_seconds_[i];
  }
  return seconds + (QueueOf(query.request_class).AheadOf(query.team) + 1) *
                       pace_seconds_[Index(query.request_class)];
}

AdmissionDecision Admission::Refuse(const RouteQuery& query,
                                    ErrorKind error,
                                    double late_seconds) {
  AdmissionDecision verdict;
  verdict.kind = AdmissionDecisionKind::kRefuse;
  verdict.request = query.request;
  verdict.query = query;
  verdict.error = error;
  const double spread = 1 + kRetrySpread * rng_.Uniform();
  verdict.retry_after = FromSeconds(
      std::clamp(late_seconds * spread, kLeastRetrySeconds, kMostRetrySeconds));
  return verdict;
}

void Admission::CountAdmission(const RouteQuery& query, TimePoint now) {
  const size_t index = Index(query.request_class);
  const double gap = ToSeconds(now - last_admission_[index]);
  last_admission_[index] = now;
  if (gap < kMaxGapSeconds) {
    pace_seconds_[index] += kPaceGain * (gap - pace_seconds_[index]);
  }
}

}  // namespace qh
