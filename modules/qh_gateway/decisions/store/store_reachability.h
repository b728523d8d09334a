// Distinguishes an outage of the store from a partition between the store and
// this node alone. Servers can't renew their registrations during an outage, so
// those that expired meanwhile get a grace period to come back. After a
// partition of this node alone, a missing registration means that the server is
// gone.

#ifndef QH_GATEWAY_DECISIONS_STORE_STORE_REACHABILITY_H_
#define QH_GATEWAY_DECISIONS_STORE_STORE_REACHABILITY_H_

#include <map>
#include <optional>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

// How well a node reaches the store, as it reports it to its peers.
struct StoreReachabilityReport {
  // Time since the store last answered the node; nullopt if it never did.
  std::optional<Duration> answered_ago;
  // Time since the store recovered from the last outage that the node observed;
  // nullopt without one.
  std::optional<Duration> recovered_ago;
};

class StoreReachability {
 public:
  // Grace period after an outage: servers register again within this time.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2'200);
  // Failed calls in a row after which the store is unreachable.
  static constexpr uint32_t kFailuresToUnreachable = 2;
  // A peer was answered after this node's first failure only if its answer is
  // later by this margin, because the peers' times are not exact.
  static constexpr Duration kOrderMargin = std::chrono::milliseconds(200);

  // The store answered a call of this node, or a call failed.
  void OnAnswer(TimePoint now);
  void OnFailure(TimePoint now);
  // The store was restored from an older copy, which ends an outage even if
  // this node noticed none.
  void OnRestored(TimePoint now) { recovered_ = now; }
  // A peer's report arrived.
  void OnPeer(const std::string& node,
              const StoreReachabilityReport& report,
              TimePoint now);

  // Whether this node's calls currently fail.
  bool is_unreachable() const { return failures_ >= kFailuresToUnreachable; }
  // When the store last answered this node; nullopt if it never did.
  const std::optional<TimePoint>& answered() const { return answered_; }
  // Whether servers whose registration is missing at `now` are to be kept:
  // during an outage of the store and the grace period after it. Peers tell of
  // its end too, as this node may no longer call the store.
  bool KeepsMissingServers(TimePoint now) const;
  // Returns this node's report for its peers.
  StoreReachabilityReport Report(TimePoint now) const;

 private:
  struct Peer {
    std::optional<TimePoint> answered;
    std::optional<TimePoint> recovered;
  };

  // Whether the store answered a peer after `since` and that peer has observed
  // no outage since then. If so, the store had no outage.
  bool PeerWasAnswered(TimePoint since) const;
  // End of the last outage that a peer observed, if that is after `since`.
  std::optional<TimePoint> PeerRecovery(TimePoint since) const;
  // End of the last outage that this node or a peer observed.
  std::optional<TimePoint> LastRecovery() const;

  uint32_t failures_ = 0;
  // First failure since the last answer.
  TimePoint failing_since_;
  std::optional<TimePoint> answered_;
  // End of the last outage that this node observed.
  std::optional<TimePoint> recovered_;
  std::map<std::string, Peer> peers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_REACHABILITY_H_
