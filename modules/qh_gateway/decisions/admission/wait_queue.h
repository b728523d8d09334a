// The requests for one service that wait at this node for room at its servers:
// which of them is next, which are to be refused now, which gives way when the
// queue is full, and when a refused one is to come back. Each decision takes
// time logarithmic in the number of waiting requests.
//
// Load pattern: bursts and lack of capacity. The servers' own queues are kept
// short, because they work in order of arrival; the rest waits here in order of
// value, and only as long as it is expected to start within its latency target.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_WAIT_QUEUE_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_WAIT_QUEUE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "qh_gateway/decisions/admission/admission_order.h"
#include "qh_gateway/decisions/admission/drain_rate.h"
#include "qh_gateway/decisions/admission/retry_schedule.h"
#include "qh_gateway/decisions/admission/served_shares.h"

namespace qh {

// Why a waiting request is refused.
enum class WaitEnd {
  // It is not expected to start within its latency target.
  kNotInTime,
  // The time by which it had to start is over.
  kTargetMissed,
  // Its deadline can't be met any more.
  kDeadlineMissed,
  // The queue was full, and the request was the last in order.
  kGaveWay,
};

template <>
inline constexpr EnumName<WaitEnd> kEnumNames<WaitEnd>[] = {
    {WaitEnd::kNotInTime, "not_in_time"},
    {WaitEnd::kTargetMissed, "target_missed"},
    {WaitEnd::kDeadlineMissed, "deadline_missed"},
    {WaitEnd::kGaveWay, "gave_way"},
};

class WaitQueue {
 public:
  // Identifies a waiting request.
  using Id = uint64_t;

  struct Options {
    AdmissionOrder order = AdmissionOrder::kValuePerWork;
    // Whether groups that are served too seldom are promoted.
    bool promotes = true;
    size_t max_waiting = 1'000;
    uint64_t seed = 1;
  };

  // A waiting request that has been taken from the queue to be refused.
  struct Refusal {
    Id id = 0;
    WaitEnd reason = WaitEnd::kNotInTime;
    Duration waited = Duration::zero();
    Duration retry_after = Duration::zero();
  };

  // How a request is classed when it comes, for the rest of its time.
  struct Class {
    // Among the largest tenth of its route.
    bool large = false;
    // Goes before all that are not promoted.
    bool promoted = false;
  };

  explicit WaitQueue(const Options& options)
      : options_(options), retries_(options.seed) {
    overtaking_.SetAssumed(0);
  }

  // Sets the number of slots that this node may count on until the queue has
  // measured how fast it is served.
  void SetAssumedSlots(double slots) { drain_.SetAssumed(slots); }

  // A request came, whether it will wait or not.
  Class OnOffered(const AdmissionRequest& request, TimePoint now);
  // A request was sent to a server, from the queue or without waiting.
  void OnServed(const AdmissionRequest& request,
                const Class& classed,
                TimePoint now);

  // Puts a request in the queue; returns its id.
  Id Add(const AdmissionRequest& request, const Class& classed, TimePoint now);
  // Takes a request that starts, or whose caller has gone, from the queue.
  // Returns how long it has waited, or nullopt if it does not wait.
  std::optional<Duration> Start(Id id, TimePoint now);
  std::optional<Duration> Remove(Id id, TimePoint now);
  // Takes the requests that are to be refused now from the queue.
  std::vector<Refusal> TakeRefused(TimePoint now);
  // Returns the requests to be started next, in order: at most `count`.
  std::vector<Id> Next(size_t count) const;
  // Returns when the next request is overdue; nullopt when none waits.
  std::optional<TimePoint> NextOverdue() const;
  // Returns when `request`, which is refused now, is to come back.
  Duration RetryAfter(const AdmissionRequest& request, TimePoint now);

  size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  struct Waiting {
    AdmissionRequest request;
    Class classed;
    AdmissionKey key;
    TimePoint since;
  };

  // Returns when a waiting request has missed its latency target or deadline.
  static TimePoint OverdueAt(const AdmissionRequest& request);
  // Removes the request from every index.
  Waiting Take(Id id, TimePoint now);
  Refusal Refuse(Id id, WaitEnd reason, TimePoint now);
  // Whether the last request in order is not expected to start before it is
  // overdue.
  bool LastMissesStart(TimePoint now) const;

  Options options_;
  // The waiting requests, and the same in the order in which they are served
  // and in that in which they become overdue.
  std::unordered_map<Id, Waiting> waiting_;
  std::set<std::pair<AdmissionKey, Id>> by_order_;
  std::set<std::pair<TimePoint, Id>> by_overdue_;
  // Sum over waiting_.
  double waiting_work_ms_ = 0;
  Id last_id_ = 0;
  DrainRate drain_;
  // Rate at which work is put before the last request in order. It reduces the
  // rate at which that request advances.
  DrainRate overtaking_;
  ServedShares shares_;
  RetrySchedule retries_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_WAIT_QUEUE_H_
