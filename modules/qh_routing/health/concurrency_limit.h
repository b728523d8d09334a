// Limits the number of requests in flight on one server. The limit increases
// additively while first bytes arrive in time, and decreases multiplicatively
// when they are late or the server fails (AIMD).

#ifndef QH_ROUTING_HEALTH_CONCURRENCY_LIMIT_H_
#define QH_ROUTING_HEALTH_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "qh_core/time/time.h"

namespace qh {

class ConcurrencyLimit {
 public:
  // Starts at `slots`, the number of requests that the server runs at a time.
  // The limit stays between 0.25 and 1.5 times that number.
  explicit ConcurrencyLimit(uint32_t slots);

  // A first byte arrived while `in_flight` requests were on the server. `ratio`
  // is its time to first byte divided by the expected one.
  void OnFirstByte(double ratio, double in_flight, TimePoint now);

  // The server refused a connection or failed during a request.
  void OnFailure(TimePoint now);

  // Number of requests that the server may have in flight.
  double value() const { return value_; }

 private:
  void Decrease(double factor, TimePoint now);

  double slots_;
  // Within [slots_ / 4, slots_ * 1.5].
  double value_;
  // Time of the last decrease; there is at most one per kDecreaseCooldown.
  TimePoint last_decrease_;
};

}  // namespace qh

#endif  // QH_ROUTING_HEALTH_CONCURRENCY_LIMIT_H_
