// Servers that asked for no requests for some time: they refused one with the
// time after which they can take the next. A node keeps to this for the
// requests that it sends itself. What its peers were told counts as a hint
// only, because each node is told by itself.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PAUSES_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PAUSES_H_

#include <map>
#include <optional>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// Remaining pause by server.
using PausesByServer = std::map<ServerId, Duration>;

class ServerPauses {
 public:
  // Longer pauses are cut to this.
  static constexpr Duration kMaxPause = std::chrono::minutes(10);

  // The server asked this node for a pause. A longer pause that is in force
  // stays.
  void OnAsked(const ServerId& server, Duration pause, TimePoint now);
  // Peers were asked for these pauses.
  void OnPeer(const PausesByServer& pauses, TimePoint now);
  // Drops the pauses that are over.
  void OnTick(TimePoint now);

  // Returns how long this node may send the server nothing; nullopt if it may
  // send.
  std::optional<Duration> Remaining(const ServerId& server,
                                    TimePoint now) const;
  // Whether a peer may send the server nothing.
  bool PausedForPeer(const ServerId& server, TimePoint now) const;
  // Returns this node's pauses, for its peers.
  PausesByServer Report(TimePoint now) const;

 private:
  std::map<ServerId, TimePoint> own_until_;
  std::map<ServerId, TimePoint> peers_until_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_SERVER_PAUSES_H_
