#include "qh_routing/health/concurrency_limit.h"

#include <algorithm>

namespace qh {
namespace {

// Bounds of the limit, as multiples of the slots.
constexpr double kMinSlotsFactor = 0.25;
constexpr double kMaxSlotsFactor = 1.5;
// A time to first byte of more than this many times the expected one is a sign
// of overload.
constexpr double kLateRatio = 2.5;
// Factors by which the limit decreases after a late first byte and after a
// failure.
constexpr double kLateDecrease = 0.9;
constexpr double kFailureDecrease = 0.7;
// At or above the slots, the limit increases only while more than this share of
// it is in use.
constexpr double kMinUtilization = 0.8;
// Increase over one round of `value_` first bytes.
constexpr double kIncreasePerRound = 1;
// Time that a lower limit needs to take effect.
constexpr Duration kDecreaseCooldown = std::chrono::milliseconds(500);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : slots_(std::max(1U, slots)),
      value_(slots_),
      last_decrease_(TimePoint::min()) {}

void ConcurrencyLimit::OnFirstByte(double ratio,
                                   double in_flight,
                                   TimePoint now) {
  if (ratio > kLateRatio) {
    Decrease(kLateDecrease, now);
  } else if (in_flight > kMinUtilization * value_ || value_ < slots_) {
    value_ =
        std::min(kMaxSlotsFactor * slots_, value_ + kIncreasePerRound / value_);
  }
}

void ConcurrencyLimit::OnFailure(TimePoint now) {
  Decrease(kFailureDecrease, now);
}

void ConcurrencyLimit::Decrease(double factor, TimePoint now) {
  if (last_decrease_ != TimePoint::min() &&
      now - last_decrease_ < kDecreaseCooldown) {
    return;
  }
  last_decrease_ = now;
  value_ = std::max(kMinSlotsFactor * slots_, value_ * factor);
}

}  // namespace qh
