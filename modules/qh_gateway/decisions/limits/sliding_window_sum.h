// Sum of the units that were added within a sliding window. Units are kept per
// time slot, so memory is constant and the window's length is exact to a slot.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_SLIDING_WINDOW_SUM_H_
#define QH_GATEWAY_DECISIONS_LIMITS_SLIDING_WINDOW_SUM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "qh_core/time/time.h"

namespace qh {

class SlidingWindowSum {
 public:
  // `window` is above zero.
  explicit SlidingWindowSum(Duration window);

  // Adds `units` at `now`. Negative units cancel units added recently.
  void Add(double units, TimePoint now);
  // Adds `units`, distributed evenly over the window that ends at `now`.
  void AddEvenly(double units, TimePoint now);
  // Adds `units` that were used at `at`, which is not after `now`. Units from
  // before the window are dropped.
  void AddAt(double units, TimePoint at, TimePoint now);
  // Returns the units of the window that ends at `now` in `count` equal parts,
  // oldest first.
  std::vector<double> Parts(size_t count, TimePoint now);
  // Returns the sum of the window that ends at `now`. Units count for up to one
  // slot longer than the window, never shorter.
  double Sum(TimePoint now);
  // Returns how much of the sum leaves the window in `time` from `now`.
  double LeavingWithin(Duration time, TimePoint now);
  // Returns the time from `now` until the sum is at most `target`, provided
  // that nothing is added. Never longer than the window.
  Duration TimeUntilAtMost(double target, TimePoint now);

 private:
  static constexpr size_t kSlots = 128;

  // Clears the slots that have left the window at `now`.
  void Advance(TimePoint now);

  Duration slot_length_;
  // Number of the newest slot, counted from the clock's epoch.
  int64_t newest_ = 0;
  // Ring buffer: slot n is at index n modulo the size. It has one slot more
  // than the window, because the newest slot is only partly over.
  std::array<double, kSlots + 1> slots_{};
  double sum_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_SLIDING_WINDOW_SUM_H_
