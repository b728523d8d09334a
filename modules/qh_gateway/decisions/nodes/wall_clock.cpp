#include "qh_gateway/decisions/nodes/wall_clock.h"

#include <algorithm>
#include <vector>

namespace qh {

void WallClock::OnLocalTime(Duration wall, TimePoint now) {
  local_offset_ = wall - now.time_since_epoch();
  std::erase_if(peer_offsets_, [&](const auto& peer) {
    return peer.second.received_at + kPeerTimeLifetime < now;
  });
}

void WallClock::OnPeer(const std::string& node, Duration wall, TimePoint now) {
  peer_offsets_[node] = {wall - now.time_since_epoch(), now};
}

Duration WallClock::Now(TimePoint now) const {
  std::vector<Duration> offsets = {local_offset_};
  for (const auto& [node, offset] : peer_offsets_) {
    offsets.push_back(offset.value);
  }
  const auto middle = offsets.begin() + static_cast<long>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now.time_since_epoch() + *middle;
}

}  // namespace qh
