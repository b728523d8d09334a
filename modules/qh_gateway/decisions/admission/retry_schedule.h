// The times at which refused callers are asked to come back: when there is
// expected to be room for each, one after the other.
//
// Load pattern: many callers that are refused together and would retry
// simultaneously.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_RETRY_SCHEDULE_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_RETRY_SCHEDULE_H_

#include <array>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/admission/admission_order.h"

namespace qh {

class RetrySchedule {
 public:
  // Bounds on the time until a refused caller is asked to return, before it is
  // spread at random.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
  // Part of the capacity that returning callers get; the rest is for new
  // requests.
  static constexpr double kReturnShare = 0.5;
  // A caller is expected to return only if it is asked to within this share of
  // its time to the deadline. No capacity is reserved for the others.
  static constexpr double kCallerPatience = 1.0 / 3;

  explicit RetrySchedule(uint64_t seed) : rng_(seed) {}

  // Returns when the refused `request` is to come back. There is room for it
  // after `room_in` at the earliest, and the capacity is `rate` milliseconds of
  // work per millisecond.
  Duration RetryAfter(const AdmissionRequest& request,
                      Duration room_in,
                      double rate,
                      TimePoint now);

 private:
  static constexpr size_t kSteps = 10;

  Rng rng_;
  // Until when the return share of the capacity is promised to requests of
  // each priority. More urgent requests come back before less urgent ones.
  std::array<TimePoint, kSteps> promised_until_{};
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_RETRY_SCHEDULE_H_
