#include "standins/platform/call_budget.h"

#include <algorithm>

namespace qh::standins {

CallBudget::CallBudget(uint32_t per_second)
    : per_second_(per_second), tokens_(per_second) {}

bool CallBudget::Take(TimePoint now) {
  if (per_second_ == 0) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  if (now > refilled_) {
    tokens_ = std::min(per_second_,
                       tokens_ + per_second_ * ToSeconds(now - refilled_));
    refilled_ = now;
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace qh::standins
