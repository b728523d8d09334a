// Measures how fast a wait queue is served: the work started per unit of time
// while requests wait.
//
// Load pattern: capacity that changes while requests wait, e.g. drops to a
// quarter.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_DRAIN_RATE_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_DRAIN_RATE_H_

#include "qh_core/time/time.h"

namespace qh {

class DrainRate {
 public:
  // What was measured counts with a weight that decreases to 1/e in this time.
  static constexpr Duration kMemory = std::chrono::milliseconds(300);
  // The assumed rate counts as much as a measurement over this time, so that
  // the first starts don't decide alone.
  static constexpr Duration kAssumedFor = std::chrono::milliseconds(50);

  // Sets the rate that is assumed until one was measured, in milliseconds of
  // work per millisecond: the slots that this node may count on.
  void SetAssumed(double slots);
  // Requests wait from now on, or (`busy` false) none does.
  void SetBusy(bool busy, TimePoint now);
  // A request that takes `work_ms` was started.
  void OnStarted(double work_ms, TimePoint now);
  // Returns the rate in milliseconds of work per millisecond; positive.
  double Rate(TimePoint now) const;

 private:
  // Brings the sums up to `now`.
  void Advance(TimePoint now);

  double assumed_ = 1;
  double work_ms_ = 0;
  double busy_ms_ = 0;
  bool busy_ = false;
  TimePoint updated_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_DRAIN_RATE_H_
