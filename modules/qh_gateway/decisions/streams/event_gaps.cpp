#include "qh_gateway/decisions/streams/event_gaps.h"

#include <algorithm>

namespace qh {

void EventGaps::OnEvents(TimePoint now) {
  longest_ = Longest(now).value_or(Duration::zero());
  last_event_ = now;
}

std::optional<Duration> EventGaps::Longest(TimePoint now) const {
  if (!last_event_) {
    return std::nullopt;
  }
  return std::max<Duration>(longest_, now - *last_event_);
}

}  // namespace qh
