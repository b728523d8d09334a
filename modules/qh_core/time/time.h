// Time for the pure state machines: a point on a clock that the caller passes
// in. Programs pass the monotonic clock, tests pass virtual time.

#ifndef QH_CORE_TIME_TIME_H_
#define QH_CORE_TIME_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace qh {

using Duration = std::chrono::microseconds;

// The clock type of TimePoint. It deliberately has no now(), so that a state
// machine can't read the clock by itself.
struct DecisionClock {
  using rep = int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<DecisionClock, Duration>;
};

using TimePoint = DecisionClock::time_point;

// Returns the current time.
using ClockHook = std::function<TimePoint()>;

// Returns the time of the instance's monotonic clock. Only for drivers.
TimePoint MonotonicNow();

// Returns the time of a clock that also runs while the instance is suspended.
// Leases are measured on this clock. Only for drivers.
TimePoint BootNow();

// Returns the time since 1970 by the instance's wall clock. Only for drivers.
Duration WallNow();

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace qh

#endif  // QH_CORE_TIME_TIME_H_
