// The weight store's rate: all downloads share so many bytes a second.

#ifndef STANDINS_PLATFORM_WEIGHT_RATE_H_
#define STANDINS_PLATFORM_WEIGHT_RATE_H_

#include <cstdint>
#include <mutex>

#include "qh_core/time/time.h"

namespace qh::standins {

// Thread safe.
class WeightRate {
 public:
  // `bytes_per_second` is above zero.
  explicit WeightRate(uint64_t bytes_per_second);

  // Books `bytes` after all booked before; returns how long the caller waits
  // from `now` until they may be sent.
  Duration Book(uint64_t bytes, TimePoint now);

 private:
  const uint64_t bytes_per_second_;
  std::mutex mutex_;
  // Guarded by mutex_. When the last booked byte has been sent.
  TimePoint free_at_;
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_WEIGHT_RATE_H_
