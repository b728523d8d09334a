#include "qh_gateway/decisions/admission/wait_queue.h"

#include <algorithm>

namespace qh {
namespace {

// Part of the rate at which the last request in order advances at least,
// however much work is put before it.
constexpr double kMinLeftOver = 0.1;

}  // namespace

TimePoint WaitQueue::OverdueAt(const AdmissionRequest& request) {
  return std::min(request.start_by, request.last_start);
}

WaitQueue::Class WaitQueue::OnOffered(const AdmissionRequest& request,
                                      TimePoint now) {
  Class classed{.large = shares_.OnOffered(request, now)};
  classed.promoted =
      options_.promotes && shares_.MustPromote(request, classed.large, now);
  return classed;
}

void WaitQueue::OnServed(const AdmissionRequest& request,
                         const Class& classed,
                         TimePoint now) {
  shares_.OnServed(request, classed.large, now);
}

WaitQueue::Id WaitQueue::Add(const AdmissionRequest& request,
                             const Class& classed,
                             TimePoint now) {
  const Id id = ++last_id_;
  AdmissionRequest ranked = request;
  if (options_.promotes) {
    ranked.crowding = shares_.Crowding(request.team, now);
  }
  const AdmissionKey key = KeyOf(options_.order, ranked, classed.promoted, id);
  overtaking_.SetBusy(true, now);
  if (!by_order_.empty() && key < by_order_.rbegin()->first) {
    overtaking_.OnStarted(request.work_ms, now);
  }
  waiting_.emplace(
      id,
      Waiting{
          .request = request, .classed = classed, .key = key, .since = now});
  by_order_.emplace(key, id);
  by_overdue_.emplace(OverdueAt(request), id);
  waiting_work_ms_ += request.work_ms;
  if (classed.promoted) {
    shares_.OnPromotedWaits(request, classed.large, true);
  }
  drain_.SetBusy(true, now);
  return id;
}

WaitQueue::Waiting WaitQueue::Take(Id id, TimePoint now) {
  auto node = waiting_.extract(id);
  Waiting taken = std::move(node.mapped());
  by_order_.erase({taken.key, id});
  by_overdue_.erase({OverdueAt(taken.request), id});
  // Recomputed to zero when empty, so that rounding errors don't add up.
  waiting_work_ms_ =
      waiting_.empty() ? 0 : waiting_work_ms_ - taken.request.work_ms;
  if (taken.classed.promoted) {
    shares_.OnPromotedWaits(taken.request, taken.classed.large, false);
  }
  if (waiting_.empty()) {
    drain_.SetBusy(false, now);
    overtaking_.SetBusy(false, now);
  }
  return taken;
}

std::optional<Duration> WaitQueue::Start(Id id, TimePoint now) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return std::nullopt;
  }
  drain_.OnStarted(found->second.request.work_ms, now);
  return now - Take(id, now).since;
}

std::optional<Duration> WaitQueue::Remove(Id id, TimePoint now) {
  if (!waiting_.contains(id)) {
    return std::nullopt;
  }
  return now - Take(id, now).since;
}

WaitQueue::Refusal WaitQueue::Refuse(Id id, WaitEnd reason, TimePoint now) {
  const Waiting refused = Take(id, now);
  return {.id = id,
          .reason = reason,
          .waited = now - refused.since,
          .retry_after = RetryAfter(refused.request, now)};
}

bool WaitQueue::LastMissesStart(TimePoint now) const {
  const AdmissionRequest& last =
      waiting_.at(by_order_.rbegin()->second).request;
  const double rate = drain_.Rate(now);
  const double left_over =
      std::max(kMinLeftOver * rate, rate - overtaking_.Rate(now));
  const double ahead_ms =
      std::max(0.0, waiting_work_ms_ - last.work_ms) / left_over;
  return ahead_ms > ToMilliseconds(OverdueAt(last) - now);
}

std::vector<WaitQueue::Refusal> WaitQueue::TakeRefused(TimePoint now) {
  std::vector<Refusal> refused;
  while (!waiting_.empty() && by_overdue_.begin()->first <= now) {
    const Id id = by_overdue_.begin()->second;
    const bool deadline = waiting_.at(id).request.last_start <= now;
    refused.push_back(Refuse(
        id, deadline ? WaitEnd::kDeadlineMissed : WaitEnd::kTargetMissed, now));
  }
  while (!waiting_.empty()) {
    const bool full = waiting_.size() > options_.max_waiting;
    if (!full && !LastMissesStart(now)) {
      break;
    }
    refused.push_back(Refuse(by_order_.rbegin()->second,
                             full ? WaitEnd::kGaveWay : WaitEnd::kNotInTime,
                             now));
  }
  return refused;
}

std::vector<WaitQueue::Id> WaitQueue::Next(size_t count) const {
  std::vector<Id> next;
  for (const auto& [key, id] : by_order_) {
    if (next.size() == count) {
      break;
    }
    next.push_back(id);
  }
  return next;
}

std::optional<TimePoint> WaitQueue::NextOverdue() const {
  return by_overdue_.empty() ? std::nullopt
                             : std::optional(by_overdue_.begin()->first);
}

Duration WaitQueue::RetryAfter(const AdmissionRequest& request, TimePoint now) {
  const double rate = drain_.Rate(now);
  return retries_.RetryAfter(
      request, FromSeconds(waiting_work_ms_ / rate / 1'000), rate, now);
}

}  // namespace qh
