#include "qh_platform/client/store_rate_limiter.h"

#include <algorithm>

namespace qh {
namespace {

// Rates of the whole fleet. The store allows 300 writes and 1,500 reads a
// second; the rest is headroom for operators' tools and bursts.
constexpr double kFleetWritesPerS = 290;
constexpr double kFleetReadsPerS = 1'450;
// Rates of one node in a small fleet.
constexpr double kMaxNodeWritesPerS = 50;
constexpr double kMaxNodeReadsPerS = 250;

}  // namespace

StoreRateLimits StoreRateLimits::ForFleet(uint32_t nodes) {
  const double count = std::max(nodes, 1u);
  StoreRateLimits limits;
  limits.writes_per_s = std::min(kMaxNodeWritesPerS, kFleetWritesPerS / count);
  limits.reads_per_s = std::min(kMaxNodeReadsPerS, kFleetReadsPerS / count);
  return limits;
}

StoreRateLimiter::StoreRateLimiter(const StoreRateLimits& limits)
    : limits_(limits),
      writes_{limits.burst, limits.writes_per_s},
      reads_{limits.burst, limits.reads_per_s} {}

bool StoreRateLimiter::Take(StoreOp op, CallClass call_class, TimePoint now) {
  Refill(now);
  const bool write = op == StoreOp::kPut || op == StoreOp::kDelete;
  Bucket& bucket = write ? writes_ : reads_;
  const double floor =
      call_class == CallClass::kBackground ? limits_.reserve : 0;
  if (bucket.tokens < floor + 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void StoreRateLimiter::set_open_watches(uint32_t watches, TimePoint now) {
  Refill(now);
  reads_.per_s = std::max(0.0, limits_.reads_per_s - watches);
}

void StoreRateLimiter::Refill(TimePoint now) {
  const double elapsed_s = std::max(0.0, ToSeconds(now - refilled_at_));
  refilled_at_ = std::max(refilled_at_, now);
  for (Bucket* bucket : {&writes_, &reads_}) {
    bucket->tokens =
        std::min(limits_.burst, bucket->tokens + elapsed_s * bucket->per_s);
  }
}

}  // namespace qh
