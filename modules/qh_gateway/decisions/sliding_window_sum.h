// Sum of what was added within a sliding window, kept in slots.

#ifndef QH_GATEWAY_DECISIONS_SLIDING_WINDOW_SUM_H_
#define QH_GATEWAY_DECISIONS_SLIDING_WINDOW_SUM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "qh_core/time/time.h"

namespace qh {

class SlidingWindowSum {
 public:
  // `window` is above zero.
  explicit SlidingWindowSum(Duration window);

  // Adds `units` at `now`; negative ones take back what was added lately.
  void Add(double units, TimePoint now);
  // Adds `units` spread evenly over the window that ends at `now`.
  void AddEvenly(double units, TimePoint now);
  // Returns what counts at `now`: at least all of the last window, and up to a
  // slot more.
  double Sum(TimePoint now);
  // Returns the time from `now` until the sum has fallen to `target`, if
  // nothing is added; a window at most.
  Duration TimeUntilAtMost(double target, TimePoint now);

 private:
  static constexpr size_t kSlots = 128;

  void Advance(TimePoint now);

  Duration slot_length_;
  // Number of the newest slot, counted from the clock's start.
  int64_t newest_ = 0;
  // Slot n stands at n modulo the size; one more than the window has.
  std::array<double, kSlots + 1> slots_{};
  double sum_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SLIDING_WINDOW_SUM_H_
