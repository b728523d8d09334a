// Measures the longest time between two events of a stream, as they are passed
// on to its caller. The longest one is compared with the route's event gap
// target, because a single long gap makes a stream late.

#ifndef QH_GATEWAY_DECISIONS_STREAMS_EVENT_GAPS_H_
#define QH_GATEWAY_DECISIONS_STREAMS_EVENT_GAPS_H_

#include <optional>

#include "qh_core/time/time.h"

namespace qh {

class EventGaps {
 public:
  // One or more events were passed on.
  void OnEvents(TimePoint now);
  // Returns the longest gap up to `now`, the time since the last event
  // included; nullopt before the first event.
  std::optional<Duration> Longest(TimePoint now) const;

 private:
  std::optional<TimePoint> last_event_;
  Duration longest_ = Duration::zero();
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STREAMS_EVENT_GAPS_H_
