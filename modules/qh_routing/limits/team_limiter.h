// Enforces token rate limits per team over all gateway nodes without a central
// counter. Each node has a token bucket per team that refills with the node's
// share of the team's limit. Shares follow the demand that nodes report to each
// other in digests.
//
// The shares never add up to more than the limit:
// - A node counts its own demand only kDigestDelay after reporting it, when all
//   peers have received the report.
// - A node counts a peer's demand as soon as it is received, with its largest
//   value of the last 2 * kDigestDelay when it decreases.
// As long as digests arrive within kDigestDelay, each node therefore divides by
// at least the sum of the demands that all nodes count for themselves.
//
// The depths of the buckets are subtracted from the refill rate, so that in
// each kWindow all nodes together admit at most 1 + kOvershootAllowance times
// the limit. As a consequence, a team that uses its whole limit gets less than
// the limit, by kBurstShare and by the largest request of each node, spread
// over the window.

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
  // Time within which a digest reaches every node.
  static constexpr Duration kDigestDelay = std::chrono::seconds(2);
  // Window over which the overshoot is bounded.
  static constexpr Duration kWindow = std::chrono::seconds(10);
  // Share of the limit by which all nodes together may exceed it in a window.
  static constexpr double kOvershootAllowance = 0.045;
  // Share of a window's limit that all buckets together may accumulate.
  static constexpr double kBurstShare = 0.06;

  // `now` is when this node begins to report its demand; its share is zero
  // until kDigestDelay later.
  TeamLimiter(InstanceId self, TimePoint now);

  // Replaces the teams' limits. A limit of zero means unlimited.
  void SetTeams(const std::vector<Team>& teams);

  // Counts the demand of a request and takes its tokens out of the team's
  // bucket. Returns nothing when the request may run, else the time until it
  // could, between 0.1 s and 60 s.
  std::optional<Duration> Admit(const TeamId& team,
                                double tokens,
                                TimePoint now);

  // Returns tokens that a request took and did not use.
  void Refund(const TeamId& team, double tokens);

  // Returns the digest to send to the peers. Call it twice a second.
  DemandDigest MakeDigest(TimePoint now);

  // Receives a peer's digest. Drops it unless it is newer than the last one.
  void OnDigest(const DemandDigest& digest, TimePoint now);

  // Returns this node's share of the limit of `team`, 0 to 1.
  double Share(const TeamId& team, TimePoint now) const;

 private:
  // A demand with the time at which it was reported or received.
  struct DemandSample {
    TimePoint at;
    double tokens_per_second = 0;
  };

  struct Peer {
    uint64_t sequence = 0;
    TimePoint received_at;
    std::map<TeamId, std::deque<DemandSample>> demand;
  };

  struct Bucket {
    // Limit of the team over all nodes.
    double tokens_per_second = 0;
    // Tokens available as of refilled_at.
    double level = 0;
    TimePoint refilled_at;
    // Size of the largest recent request, in tokens. The bucket is at least
    // this deep.
    double largest_request = 0;
    // Tokens requested since the last digest.
    double requested_tokens = 0;
    // Smoothed rate of requested tokens per second.
    double demand = 0;
    uint32_t digest_count = 0;
    // Own demand as reported to the peers, newest last.
    std::deque<DemandSample> reported;
  };

  // Adds the tokens for the time since the last refill.
  void Refill(const TeamId& team, Bucket& bucket, TimePoint now) const;
  // Demand of this node that counts now, in tokens per second.
  double OwnDemand(const Bucket& bucket, TimePoint now) const;
  // Sum of the demands that count now for the peers, in tokens per second.
  double PeersDemand(const TeamId& team,
                     const Bucket& bucket,
                     TimePoint now) const;
  // Number of nodes, including this one, with a recent digest.
  size_t LiveNodes(TimePoint now) const;
  // Capacity of the bucket in tokens.
  double Depth(const TeamId& team, const Bucket& bucket, TimePoint now) const;
  // Refill rate in tokens per second.
  double Rate(const TeamId& team, const Bucket& bucket, TimePoint now) const;

  InstanceId self_;
  TimePoint started_;
  uint64_t sequence_ = 0;
  // When the last digest was made.
  TimePoint digest_at_;
  std::map<TeamId, Bucket> buckets_;
  // Peers whose last digest was received within 3 * kDigestDelay. Others are
  // ignored, and removed when the next digest arrives.
  std::map<InstanceId, Peer> peers_;
};

}  // namespace qh

#endif  // QH_ROUTING_LIMITS_TEAM_LIMITER_H_
