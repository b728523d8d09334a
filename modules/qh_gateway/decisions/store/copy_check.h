// Notices that this node's copy of the store's objects differs from a peer's of
// the same version. One of the two is wrong then, and nothing else would show
// it: each goes on with the changes since its version. The copy is to be read
// anew.
//
// Load pattern: one node's copy is wrong, or a relay's and so those of its
// failure domain, in a deployment of up to 1,200 nodes of which many see the
// difference at once. The node that no peer agrees with reads first, and each
// further reading of a node waits longer.

#ifndef QH_GATEWAY_DECISIONS_STORE_COPY_CHECK_H_
#define QH_GATEWAY_DECISIONS_STORE_COPY_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "qh_core/random/rng.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/store/store_mirror.h"

namespace qh {

// Judges the copy of one kind of objects. Does no I/O; its owner reads the
// copy.
class CopyCheck {
 public:
  // How long a difference lasts before the copy is read anew: by a node that
  // agrees with no peer, by one that agrees with some, and by one that copies
  // from relays, which are to read first.
  static constexpr Duration kAloneDelay = std::chrono::milliseconds(500);
  static constexpr Duration kSupportedDelay = std::chrono::seconds(3);
  static constexpr Duration kCopyingDelay = std::chrono::seconds(5);
  // Added at random to each of these, so that nodes don't read all at once.
  static constexpr Duration kMaxJitter = std::chrono::seconds(1);
  // Shortest time between two readings. It doubles with each one that did not
  // end the difference, up to the longest.
  static constexpr Duration kFirstPause = std::chrono::seconds(10);
  static constexpr Duration kMaxPause = std::chrono::minutes(10);
  // What a peer told is forgotten after this time.
  static constexpr Duration kPeerLifetime = std::chrono::seconds(2);

  // `seed` feeds the jitter.
  explicit CopyCheck(uint64_t seed) : rng_(seed) {}

  // A peer told of its copy, while this node's is `own`.
  void OnPeer(const std::string& peer,
              const MirrorState& told,
              const MirrorState& own,
              TimePoint now);
  // Returns whether the copy is to be read anew now, which then counts as done.
  // `follows_store` tells whether this node reads from the store itself.
  [[nodiscard]] bool TakeDue(bool follows_store, TimePoint now);

 private:
  struct Peer {
    bool differs = false;
    TimePoint heard_at;
  };

  // Whether some peer was heard within kPeerLifetime whose copy differs; with
  // `differs` false, one whose copy agrees.
  bool AnyPeer(bool differs, TimePoint now) const;

  Rng rng_;
  // By name of the node. Peers whose copies can't be compared, as they are of
  // another version and differ, keep what they told before.
  std::map<std::string, Peer> peers_;
  // Since when some peer has differed, and the jitter of the reading that this
  // calls for.
  std::optional<TimePoint> differs_since_;
  Duration jitter_ = Duration::zero();
  // End of the pause after the last reading, and length of the next pause.
  TimePoint no_reading_before_;
  Duration pause_ = kFirstPause;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_COPY_CHECK_H_
