// Wall-clock time that the nodes agree on: the median of their clocks, so that
// a clock that steps on a minority of them has no effect.

#ifndef QH_GATEWAY_DECISIONS_NODES_WALL_CLOCK_H_
#define QH_GATEWAY_DECISIONS_NODES_WALL_CLOCK_H_

#include <map>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

class WallClock {
 public:
  // A peer's time is used for this long after it was received.
  static constexpr Duration kPeerTimeLifetime = std::chrono::seconds(3);

  // `wall` is the time since 1970 by this instance's clock at `now`.
  void OnLocalTime(Duration wall, TimePoint now);
  // `wall` is the time since 1970 by the clock of the peer `node` when it sent
  // the heartbeat that arrived at `now`.
  void OnPeer(const std::string& node, Duration wall, TimePoint now);
  // Returns the agreed time since 1970.
  Duration Now(TimePoint now) const;

 private:
  struct Offset {
    // Wall-clock time minus this process's monotonic clock.
    Duration value;
    TimePoint received_at;
  };

  // Wall-clock time of this instance minus this process's monotonic clock.
  Duration local_offset_ = Duration::zero();
  std::map<std::string, Offset> peer_offsets_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_NODES_WALL_CLOCK_H_
