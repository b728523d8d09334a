#include "qh_core/time/time.h"

#include <ctime>

namespace qh {

TimePoint MonotonicNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(now.tv_nsec)));
}

Duration WallNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(now);
}

}  // namespace qh
