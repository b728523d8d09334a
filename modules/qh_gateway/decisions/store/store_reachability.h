// Distinguishes an outage of the store from a partition between the store and
// this node alone. Servers can't renew their registrations during an outage, so
// those that expired meanwhile get a grace period to come back. After a
// partition of this node alone, a missing registration means that the server is
// gone.
//
// A node that reaches neither the store nor its peers can't tell the two apart,
// and tells its peers of an outage when it is back. Whoever the store has
// answered steadily meanwhile contradicts that.

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
  // Time since that outage began; nullopt also from nodes of an earlier
  // version.
  std::optional<Duration> failing_ago;
  // Time since the store began to answer the node steadily, see kSteadyGap;
  // nullopt if it doesn't, or from nodes of an earlier version.
  std::optional<Duration> steady_ago;
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
  // Longest time between two answers to a node that the store answers steadily.
  // No registration expires in an outage as short as this.
  static constexpr Duration kSteadyGap = std::chrono::seconds(2);

  // The store answered a call of this node, or a call failed.
  void OnAnswer(TimePoint now);
  void OnFailure(TimePoint now);
  // The store was restored from an older copy, which ends an outage even if
  // this node noticed none.
  void OnRestored(TimePoint now) { own_.outage = {std::nullopt, now}; }
  // A peer's report arrived.
  void OnPeer(const std::string& node,
              const StoreReachabilityReport& report,
              TimePoint now);

  // Whether this node's calls currently fail.
  bool is_unreachable() const { return failures_ >= kFailuresToUnreachable; }
  // When the store last answered this node; nullopt if it never did.
  const std::optional<TimePoint>& answered() const { return own_.last; }
  // Whether servers whose registration is missing at `now` are to be kept:
  // during an outage of the store and the grace period after it. Peers tell of
  // its end too, as this node may no longer call the store.
  bool KeepsMissingServers(TimePoint now) const;
  // Returns this node's report for its peers.
  StoreReachabilityReport Report(TimePoint now) const;

 private:
  // A time in which calls of one node failed.
  struct Outage {
    // nullopt if it is not known.
    std::optional<TimePoint> began;
    TimePoint ended;
  };
  // What is known of how a node is answered.
  struct Answers {
    std::optional<TimePoint> last;
    // Since when, until `last`, the node was answered steadily.
    std::optional<TimePoint> steady_since;
    // The last outage that the node observed.
    std::optional<Outage> outage;
  };

  // Whether the store answered a peer after `since` and that peer has observed
  // no outage since then. If so, the store had no outage.
  bool PeerWasAnswered(TimePoint since) const;
  // Whether this node or a peer was answered steadily during the outage.
  bool IsContradicted(const Outage& outage) const;
  // End of the last outage that a peer observed and nobody contradicts, if that
  // is after `since`.
  std::optional<TimePoint> PeerRecovery(TimePoint since) const;
  // End of this node's own outage, unless it is contradicted.
  std::optional<TimePoint> OwnRecovery() const;
  // End of the last outage that this node or a peer observed.
  std::optional<TimePoint> LastRecovery() const;

  uint32_t failures_ = 0;
  // First failure since the last answer.
  TimePoint failing_since_;
  // This node's.
  Answers own_;
  std::map<std::string, Answers> peers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_REACHABILITY_H_
