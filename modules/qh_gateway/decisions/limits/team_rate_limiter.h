// Rate limits per team that hold over all gateway nodes, without a central
// counter. A limit grants rate x window + burst units in any window. Every node
// tracks the use of each team by the whole deployment in a sliding window: it
// adds the units that it admits itself at once, and those that its peers admit
// when their heartbeats report them. Unresponsive peers are assumed to use an
// even share each.
//
// A process that starts knows nothing of the use before. It assumes that all of
// the grant was used, unless it is told the use that a node recorded lately.
//
// In addition a token bucket, which refills by one window's grant per window,
// paces a team at its limit. Without it a flood would use up the grant at once
// and leave the team nothing for the rest of the window.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_TEAM_RATE_LIMITER_H_
#define QH_GATEWAY_DECISIONS_LIMITS_TEAM_RATE_LIMITER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/limits/cumulative_totals.h"
#include "qh_gateway/decisions/limits/sliding_window_sum.h"
#include "qh_gateway/decisions/limits/team_limit_order.h"
#include "qh_gateway/model/service_config.h"

namespace qh {

// A request as a team's limit sees it.
struct LimitedRequest {
  double units = 0;
  // 0 is the most urgent.
  int priority = 0;
  // Until the request's deadline.
  Duration time_left = Duration::max();
};

// What another process has admitted since its start: a peer, or a relay that
// reports for several nodes.
struct PeerUse {
  std::string incarnation;
  TeamTotals totals;
  // Time since the process started.
  Duration uptime = Duration::zero();
  // Nodes whose use the totals hold.
  size_t nodes = 1;
  // Whether units that this node did not know of are added. Another relay
  // reports the same units otherwise.
  bool counts = true;
};

// The use of each limited team by the whole deployment in the window before a
// point in time, in equal parts of the window, oldest first.
using TeamUseHistory = std::map<TeamId, std::vector<double>>;

class TeamRateLimiter {
 public:
  // How far all nodes together may exceed a limit in any window: by `share`
  // times the window's grant plus `units`.
  struct Allowance {
    Duration window = std::chrono::seconds(8);
    double share = 0;
    double units = 0;
  };

  // Share of the allowance that all requests may use. What this and
  // kRequestHeadroom leave covers units that peers admit before they report
  // them.
  static constexpr double kSharedHeadroom = 0.25;
  // Share of the allowance by which a single request may exceed that, so that
  // large requests are admitted as early as small ones.
  static constexpr double kRequestHeadroom = 0.25;
  // Share of the burst that the nodes may use directly after they learned of a
  // limit. The use before is not known and assumed to be all that the limit
  // grants.
  static constexpr double kStartupBurstShare = 0.3;
  // Each responsive peer is assumed to have used, since its last heartbeat,
  // this share of what this node has used in that time.
  static constexpr double kPeerUseEstimate = 0.25;
  // The largest request in that time counts for at most this many peers, since
  // one request says little about many of them. The others, which a team below
  // its limit seldom has, count for all peers.
  static constexpr size_t kMaxPeersOfOneRequest = 8;

  // Parts of the window that History tells apart.
  static constexpr size_t kHistoryParts = 16;

  // A team that was refused a request within this time is contended: each node
  // admits its even share of what the limit grants, in the order of
  // TeamLimitOrder.
  static constexpr Duration kContendedTime = std::chrono::seconds(2);
  // The shares together grant between these multiples of the limit's rate,
  // depending on how much is available.
  static constexpr double kMinShareFactor = 0.1;
  static constexpr double kMaxShareFactor = 2;
  // They grant the limit's rate itself while this share of the bucket is
  // available. It covers what peers admit before they report it.
  static constexpr double kContendedReserve = 0.15;

  // Callers honour a Retry-After of up to their time left divided by this.
  static constexpr int kReturnShare = 3;

  // The peers' rate is measured over this time.
  static constexpr Duration kPeerRateWindow = std::chrono::milliseconds(500);

  TeamRateLimiter(const Allowance& allowance, TimePoint now);

  // Sets the limits of all teams. A lowered limit takes effect at once. Teams
  // that are not listed or have a rate of zero have no limit.
  void SetTeams(const std::vector<TeamRule>& teams, TimePoint now);

  // Admits a request of `units` if the team's limit allows, and counts the
  // units. Returns nullopt if admitted, else the time after which it could be.
  std::optional<Duration> Admit(const TeamId& team,
                                const LimitedRequest& request,
                                TimePoint now);
  std::optional<Duration> Admit(const TeamId& team,
                                double units,
                                TimePoint now) {
    return Admit(team, {.units = units}, now);
  }
  // Returns the units that the team may use at `now`, as far as this node
  // knows; infinity without a limit.
  double Available(const TeamId& team, TimePoint now);
  // Gives back the units of a request that was admitted at `admitted` but did
  // not run.
  void Refund(const TeamId& team,
              double units,
              TimePoint admitted,
              TimePoint now,
              int priority = 0);

  // Returns the use of all teams with a limit, for OnRecordedUse of processes
  // that start later.
  TeamUseHistory History(TimePoint now);
  // `history` was recorded by a node `age` before `now`. It replaces what this
  // process assumed of the use before it learned of a limit. Between the record
  // and now, each team is assumed to have used what its limit let it use.
  void OnRecordedUse(const TeamUseHistory& history,
                     Duration age,
                     TimePoint now);

  // Another process's totals arrived.
  void OnPeer(const PeerUse& use, TimePoint now);
  // Sets the number of peers, how many of them are unresponsive, and how old
  // their reports get until the next ones arrive.
  void SetPeers(size_t peers,
                size_t unresponsive,
                TimePoint now,
                Duration report_age = Duration::zero());

  // Units that this node has admitted since its start.
  const TeamTotals& totals() const { return totals_; }

 private:
  // State of one team's limit.
  struct Account {
    double rate = 0;
    double burst = 0;
    // Use by the whole deployment in the last window.
    SlidingWindowSum used;
    // Units counted since the account was added.
    double used_since_added = 0;
    // Whether `used` rests on the assumption that all was used before.
    bool assumes_full_use = false;
    // Units in the bucket, at most BucketCapacity; negative after a large
    // request.
    double level = 0;
    // Time up to which the bucket has been refilled and the assumed use of the
    // unresponsive peers has been counted.
    TimePoint filled;
    // This node's use since the peers last reported theirs, and the largest
    // request in it.
    double unreported = 0;
    double largest_unreported = 0;
    // Until when the team is contended, and the order in that time.
    TimePoint contended_until;
    TeamLimitOrder order;
    // What the peers reported lately, from which their rate is taken.
    SlidingWindowSum reported = SlidingWindowSum(kPeerRateWindow);
  };

  // Units that the limit grants per window.
  double WindowGrant(const Account& account) const;
  // Units by which all nodes together may exceed the grant in a window.
  double WindowAllowance(const Account& account) const;
  double BucketCapacity(const Account& account) const;
  // Share of all nodes, this one included, that is unresponsive.
  double UnresponsiveShare() const;
  // Refills the bucket up to `now`.
  void Fill(Account& account, TimePoint now) const;
  // Sets the account's use to the recorded one, see OnRecordedUse.
  void ApplyHistory(Account& account,
                    const std::vector<double>& parts,
                    Duration age,
                    TimePoint now) const;
  // Counts `units`; negative units are given back.
  void Use(Account& account, double units, TimePoint now) const;
  // Units that may still be used in the window that ends at `now`.
  double WindowHeadroom(Account& account, TimePoint now) const;
  // Returns the estimated use of the peers that they have not reported yet: by
  // what this node has used meanwhile, or by the rate of their last reports,
  // less the units that become `free` until the next reports, if that is more.
  double EstimatedPeerUse(Account& account, double free, TimePoint now) const;
  // This node's even share of what the limit grants, in units per second.
  double EvenShare(const Account& account) const;
  // Multiple of its even share that this node admits of a contended team with
  // `available` units left.
  double ShareFactor(const Account& account, double available) const;
  // Notes that the request is refused because it needs `wait`; returns when its
  // caller is to come back.
  Duration Refuse(Account& account,
                  const LimitedRequest& request,
                  Duration wait,
                  TimePoint now);
  // Units that the window and the bucket allow, less the estimated use that
  // peers have not reported yet.
  double AvailableUnits(Account& account, TimePoint now) const;
  // Returns the time until `missing` more units are available, provided that
  // nothing else is admitted.
  Duration WaitFor(Account& account, double missing, TimePoint now) const;

  Allowance allowance_;
  TimePoint started_;
  // What OnRecordedUse told, for limits that become known later; empty if
  // nothing did.
  TeamUseHistory recorded_;
  TimePoint recorded_at_;
  std::map<TeamId, Account> accounts_;
  TeamTotals totals_;
  // Last reported totals of each peer process, by incarnation.
  std::map<std::string, TeamTotals> peer_totals_;
  // Number of peers, and of those that are unresponsive.
  size_t peers_ = 0;
  size_t unresponsive_ = 0;
  Duration report_age_ = Duration::zero();
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_TEAM_RATE_LIMITER_H_
