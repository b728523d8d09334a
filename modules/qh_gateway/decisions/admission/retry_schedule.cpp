#include "qh_gateway/decisions/admission/retry_schedule.h"

#include <algorithm>

namespace qh {
namespace {

// The returns are spread over this share of the wait in addition.
constexpr double kSpread = 0.25;

}  // namespace

Duration RetrySchedule::RetryAfter(const AdmissionRequest& request,
                                   Duration room_in,
                                   double rate,
                                   TimePoint now) {
  const auto step = static_cast<size_t>(
      std::clamp(request.priority, 0, static_cast<int>(kSteps) - 1));
  const TimePoint promised = *std::max_element(
      promised_until_.begin(),
      promised_until_.begin() + static_cast<std::ptrdiff_t>(step) + 1);
  const Duration wait = std::clamp(std::max(room_in, promised - now),
                                   kMinRetryAfter, kMaxRetryAfter);
  const Duration accepted_wait = FromSeconds(
      kCallerPatience * std::max(0.0, ToSeconds(request.last_start - now)));
  if (wait <= accepted_wait) {
    const double spacing_ms =
        request.work_ms / std::max(rate * kReturnShare, 1e-6);
    promised_until_[step] =
        now + std::min(wait + FromSeconds(spacing_ms / 1'000), kMaxRetryAfter);
  }
  return wait + FromSeconds(kSpread * rng_.Uniform() * ToSeconds(wait));
}

}  // namespace qh
