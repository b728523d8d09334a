#include "qh_gateway/decisions/admission/drain_rate.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Lower bound on the rate, in milliseconds of work per millisecond.
constexpr double kMinRate = 0.01;

}  // namespace

void DrainRate::SetAssumed(double slots) {
  assumed_ = std::max(slots, kMinRate);
}

void DrainRate::Advance(TimePoint now) {
  if (now <= updated_) {
    return;
  }
  const Duration passed = now - updated_;
  updated_ = now;
  if (busy_) {
    busy_ms_ += ToMilliseconds(passed);
  }
  const double kept = std::exp(-ToSeconds(passed) / ToSeconds(kMemory));
  work_ms_ *= kept;
  busy_ms_ *= kept;
}

void DrainRate::SetBusy(bool busy, TimePoint now) {
  Advance(now);
  busy_ = busy;
}

void DrainRate::OnStarted(double work_ms, TimePoint now) {
  Advance(now);
  if (busy_) {
    work_ms_ += work_ms;
  }
}

double DrainRate::Rate(TimePoint now) const {
  const double since_ms =
      busy_ && now > updated_ ? ToMilliseconds(now - updated_) : 0;
  const double assumed_ms = ToMilliseconds(kAssumedFor);
  return std::max(kMinRate, (work_ms_ + assumed_ * assumed_ms) /
                                (busy_ms_ + since_ms + assumed_ms));
}

}  // namespace qh
