#include "standins/platform/weight_rate.h"

#include <algorithm>
#include <cassert>

namespace qh::standins {

WeightRate::WeightRate(uint64_t bytes_per_second)
    : bytes_per_second_(bytes_per_second) {
  assert(bytes_per_second > 0);
}

Duration WeightRate::Book(uint64_t bytes, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const double seconds =
      static_cast<double>(bytes) / static_cast<double>(bytes_per_second_);
  free_at_ = std::max(free_at_, now) + FromSeconds(seconds);
  return free_at_ - now;
}

}  // namespace qh::standins
