#include "qh_gateway/decisions/admission/admission_order.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Each step of priority counts as much as this factor in the work needed.
constexpr double kValuePerStep = 4;
// A returned request counts as one with this part of its work.
constexpr double kReturnedWorkShare = 0.8;
constexpr double kPromotedLevel = -1;

double MillisecondsOf(TimePoint time) {
  return ToMilliseconds(time.time_since_epoch());
}

}  // namespace

AdmissionKey KeyOf(AdmissionOrder order,
                   const AdmissionRequest& request,
                   bool promoted,
                   uint64_t sequence) {
  AdmissionKey key{.level = promoted ? kPromotedLevel : 0,
                   .sequence = sequence};
  const double work_ms =
      request.work_ms * (request.returned ? kReturnedWorkShare : 1);
  // A returned request counts as having waited as long as it may wait.
  const Duration waited =
      request.returned ? request.start_by - request.arrived : Duration::zero();
  switch (order) {
    case AdmissionOrder::kArrival:
      break;
    case AdmissionOrder::kStrictPriority:
      key.level = promoted ? kPromotedLevel : std::max(0, request.priority);
      key.value = MillisecondsOf(request.arrived - waited);
      break;
    case AdmissionOrder::kEarliestDeadline:
      key.value = MillisecondsOf(
          std::min(request.start_by, request.last_start) - waited);
      break;
    case AdmissionOrder::kShortestWork:
      key.value = work_ms;
      break;
    case AdmissionOrder::kValuePerWork:
      key.value = work_ms * std::max(1.0, request.crowding) *
                  std::pow(kValuePerStep, std::clamp(request.priority, 0, 9));
      break;
  }
  return key;
}

int UrgencyStep(int priority, bool promoted, bool returned) {
  return priority > 0 && (promoted || returned) ? priority - 1 : priority;
}

}  // namespace qh
