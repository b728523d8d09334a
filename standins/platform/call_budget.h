// The platform's call budget: so many reads and writes a second.

#ifndef STANDINS_PLATFORM_CALL_BUDGET_H_
#define STANDINS_PLATFORM_CALL_BUDGET_H_

#include <cstdint>
#include <mutex>

#include "qh_core/time/time.h"

namespace qh::standins {

// A token bucket that holds one second's worth. Thread safe.
class CallBudget {
 public:
  // `per_second` zero is no limit.
  explicit CallBudget(uint32_t per_second);

  // Takes one call at `now`; returns false when the budget is used up.
  bool Take(TimePoint now);

 private:
  const double per_second_;
  std::mutex mutex_;
  // Guarded by mutex_.
  double tokens_;
  TimePoint refilled_;
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_CALL_BUDGET_H_
