#include "qh_platform/client/store_rate_limiter.h"

#include <algorithm>

namespace qh {
namespace {

// For the whole fleet; below the store's limits, because operators' tools and
// bursts need room too.
constexpr double kFleetWritesPerS = 290;
constexpr double kFleetReadsPerS = 1'450;
constexpr double kMostWritesPerS = 50;
constexpr double kMostReadsPerS = 250;

}  // namespace

StoreRateLimits StoreRateLimits::ForFleet(uint32_t nodes) {
  const double count = std::max(nodes, 1u);
  StoreRateLimits settings;
  settings.writes_per_s = std::min(kMostWritesPerS, kFleetWritesPerS / count);
  settings.reads_per_s = std::min(kMostReadsPerS, kFleetReadsPerS / count);
  return settings;
}

StoreRateLimiter::StoreRateLimiter(const StoreRateLimits& settings)
    : settings_(settings),
      writes_{settings.burst, settings.writes_per_s},
      reads_{settings.burst, settings.reads_per_s} {}

bool StoreRateLimiter::Take(StoreOp op, CallClass call_class, TimePoint now) {
  Refill(now);
  const bool write = op == StoreOp::kPut || op == StoreOp::kDelete;
  Bucket& bucket = write ? writes_ : reads_;
  const double floor =
      call_class == CallClass::kBackground ? settings_.reserve : 0;
  if (bucket.tokens < floor + 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void StoreRateLimiter::set_waiting_watches(uint32_t watches, TimePoint now) {
  Refill(now);
  reads_.per_s = std::max(0.0, settings_.reads_per_s - watches);
}

void StoreRateLimiter::Refill(TimePoint now) {
  const double elapsed_s = std::max(0.0, ToSeconds(now - refilled_at_));
  refilled_at_ = std::max(refilled_at_, now);
  for (Bucket* bucket : {&writes_, &reads_}) {
    bucket->tokens =
        std::min(settings_.burst, bucket->tokens + elapsed_s * bucket->per_s);
  }
}

}  // namespace qh
