// Remembers refused requests, so that one that comes back at the time that it
// was asked to counts as having waited. Callers retry with a new request id;
// the same method, target, team and body identify the request.
//
// Load pattern: callers that retry after a refusal while new ones arrive.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_RETURNED_REQUESTS_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_RETURNED_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "qh_core/time/time.h"

namespace qh {

class ReturnedRequests {
 public:
  // The oldest refusals beyond this number are forgotten.
  static constexpr size_t kMaxRemembered = 4'096;
  // A request counts as returned up to this long after the time named.
  static constexpr Duration kReturnWindow = std::chrono::seconds(2);
  // A request counts as returned from this long before the time named, for
  // callers whose clocks run fast or that round.
  static constexpr Duration kEarly = std::chrono::milliseconds(5);

  // The request with hash `content` was refused and asked to come back then.
  void OnRefused(uint64_t content, TimePoint come_back);
  // Returns whether the request comes back when it was asked to. Each refusal
  // counts once.
  bool TakeReturned(uint64_t content, TimePoint now);

 private:
  // When the request was asked to come back, by content. order_ lists the
  // contents by refusal, the oldest first, including those taken already.
  std::unordered_map<uint64_t, TimePoint> come_back_;
  std::deque<uint64_t> order_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_RETURNED_REQUESTS_H_
