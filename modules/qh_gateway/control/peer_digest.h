// Sums up the heartbeats of many nodes for a relay: those of its failure domain
// one by one, those of the other failure domains as their relays sum them up.

#ifndef QH_GATEWAY_CONTROL_PEER_DIGEST_H_
#define QH_GATEWAY_CONTROL_PEER_DIGEST_H_

#include <map>
#include <string>
#include <vector>

#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/limits/cumulative_totals.h"

namespace qh {

// Chooses one of the relays that report the same nodes, so that their work
// counts once. Another one is chosen when the chosen one falls silent.
class PrimaryRelays {
 public:
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(700);

  // `relay` reports on `source` now. Returns whether its report counts.
  bool Accept(const std::string& source,
              const std::string& relay,
              TimePoint now);

 private:
  struct Primary {
    std::string relay;
    TimePoint heard_at;
  };

  std::map<std::string, Primary> primaries_;
};

class PeerDigest {
 public:
  // A source that was not heard for this time is left out of the sums. What it
  // admitted stays in the totals.
  static constexpr Duration kSourceLifetime = std::chrono::milliseconds(1'200);

  // A heartbeat of `source` arrived: a node, or the failure domain for which a
  // relay reports. `counts` is false for a relay that is not the primary one.
  // `own_uptime` is the time since this process started.
  void OnHeartbeat(const std::string& source,
                   const PeerHeartbeat& heartbeat,
                   bool counts,
                   Duration own_uptime,
                   TimePoint now);

  // Returns the sums of this node's failure domain; `own` is this node's
  // heartbeat.
  PeerHeartbeat OfDomain(const PeerHeartbeat& own, TimePoint now) const;
  // Returns the sums of all nodes but `receiver`, for that node.
  PeerHeartbeat OfDeploymentWithout(const std::string& receiver,
                                    const PeerHeartbeat& own,
                                    TimePoint now) const;
  // Returns the responsive nodes that `own` and the sources report.
  std::vector<MemberState> Members(const PeerHeartbeat& own,
                                   TimePoint now) const;

 private:
  struct Source {
    PeerHeartbeat last;
    TimePoint heard_at;
  };

  static bool IsFresh(const Source& source, TimePoint now);
  // Adds the sums of `more` to `sum`, without totals, usage and
  // rollouts.
  static void AddSums(PeerHeartbeat& sum, const PeerHeartbeat& more);

  std::map<std::string, Source> sources_;
  // Totals of the nodes of this failure domain, and of the other domains.
  CumulativeTotals node_totals_;
  CumulativeTotals domain_totals_;
};

// Returns what other nodes need to know of the sender of `heartbeat`.
MemberState MemberOf(const PeerHeartbeat& heartbeat);

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_PEER_DIGEST_H_
