// The time of day that the nodes agree on: the median of what they say, so that
// a clock that steps on some of them moves nothing.

#ifndef QH_GATEWAY_DECISIONS_WALL_CLOCK_H_
#define QH_GATEWAY_DECISIONS_WALL_CLOCK_H_

#include <map>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

class WallClock {
 public:
  // What a peer said is dropped after this.
  static constexpr Duration kPeerTimeLifetime = std::chrono::seconds(3);

  // `wall` is a time since 1970 by this machine's clock at `now`.
  void OnLocalTime(Duration wall, TimePoint now);
  // `wall` is what a peer's clock showed when it spoke, received_at at `now`.
  void OnPeer(const std::string& node, Duration wall, TimePoint now);
  // Returns the time since 1970.
  Duration Now(TimePoint now) const;

 private:
  struct Offset {
    // Wall time less this process's clock.
    Duration value;
    TimePoint received_at;
  };

  Duration local_offset_ = Duration::zero();
  std::map<std::string, Offset> peer_offsets_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_WALL_CLOCK_H_
