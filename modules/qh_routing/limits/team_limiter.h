// Team limits that hold over all nodes without a central counter. Each node has
// a token bucket per team, filled with its share of the team's limit; shares
// follow the demand that the nodes tell each other.
//
// Why the shares never add up to more than the limit: a node's own demand
// counts in its share only kDigestDelay after it was told, when all peers know
// it, while a peer's demand counts at once and a falling one counts with its
// largest value of the last 2 * kDigestDelay. So, as long as digests arrive
// within kDigestDelay, each node divides by at least the sum of what all nodes
// count for themselves. The buckets' depths are taken off the rate, so that
// over kWindow the whole stays within 1 + kAllowance of the limit. The price: a
// team that uses its limit to the full gets less than it, by kBurst and by the
// largest request of each node, spread over the window.

#ifndef QH_ROUTING_LIMITS_TEAM_LIMITER_H_
#define QH_ROUTING_LIMITS_TEAM_LIMITER_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_routing/limits/demand_digest.h"
#include "qh_routing/route_query.h"

namespace qh {

class TeamLimiter {
 public:
  // Time within which a digest has reached every node.
  static constexpr Duration kDigestDelay = std::chrono::seconds(2);
  // Window over which the overshoot is bounded.
  static constexpr Duration kWindow = std::chrono::seconds(10);
  // Share of the limit by which all nodes together may pass it in a window.
  static constexpr double kAllowance = 0.045;
  // Share of a window's limit that all buckets together may save up.
  static constexpr double kBurst = 0.06;

  // `now` is when this node began to tell its demand; its share is zero until
  // kDigestDelay later.
  TeamLimiter(InstanceId self, TimePoint now);

  // Takes over the teams' limits; zero means none.
  void SetTeams(const std::vector<Team>& teams);

  // Counts the demand of a request and takes its tokens out of the team's
  // bucket. Returns nothing when it may run, else the time until it could.
  std::optional<Duration> Admit(const TeamId& team,
                                double tokens,
                                TimePoint now);

  // Gives back tokens that a request took and did not use.
  void Refund(const TeamId& team, double tokens);

  // Returns what to tell the peers; call it twice a second.
  DemandDigest MakeDigest(TimePoint now);

  // Takes a peer's digest; drops one that is not newer than the last.
  void OnDigest(const DemandDigest& digest, TimePoint now);

  // Returns this node's share of the limit of `team`, 0 to 1.
  double Share(const TeamId& team, TimePoint now) const;

 private:
  // A demand with when it was told or heard.
  struct Told {
    TimePoint at;
    double tokens_per_second = 0;
  };

  struct Peer {
    uint64_t sequence = 0;
    TimePoint heard;
    std::map<TeamId, std::deque<Told>> demand;
  };

  struct Bucket {
    // Limit of the team over all nodes.
    double tokens_per_second = 0;
    // Tokens that may be taken now; negative after a request larger than it.
    double level = 0;
    TimePoint filled;
    // Largest request of the recent past; the bucket can hold it.
    double largest = 0;
    // Demand since the last digest, and its smoothed rate.
    double asked = 0;
    double demand = 0;
    uint32_t digests = 0;
    // Own demand as told, newest last.
    std::deque<Told> told;
  };

  void Fill(const TeamId& team, Bucket& bucket, TimePoint now) const;
  double OwnDemand(const Bucket& bucket, TimePoint now) const;
  double PeersDemand(const TeamId& team,
                     const Bucket& bucket,
                     TimePoint now) const;
  size_t LiveNodes(TimePoint now) const;
  double Depth(const TeamId& team, const Bucket& bucket, TimePoint now) const;
  double Rate(const TeamId& team, const Bucket& bucket, TimePoint now) const;

  InstanceId self_;
  TimePoint started_;
  uint64_t sequence_ = 0;
  TimePoint digest_at_;
  std::map<TeamId, Bucket> buckets_;
  // Peers heard of within 3 * kDigestDelay.
  std::map<InstanceId, Peer> peers_;
};

}  // namespace qh

#endif  // QH_ROUTING_LIMITS_TEAM_LIMITER_H_
