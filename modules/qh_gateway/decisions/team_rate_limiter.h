// Team limits that hold over all nodes without a central counter. A limit
// grants rate x window + burst units in any window. Every node keeps the whole
// deployment's use of each team in the last window: it adds what it admits at
// once, and what its peers admitted when they tell so. Peers that are
// unresponsive are taken to use their even share.
//
// A bucket that refills by a window's grant in a window paces a team at its
// limit: without it a flood would use the grant up at once and leave the team
// nothing for the rest of the window.

#ifndef QH_GATEWAY_DECISIONS_TEAM_RATE_LIMITER_H_
#define QH_GATEWAY_DECISIONS_TEAM_RATE_LIMITER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/sliding_window_sum.h"
#include "qh_gateway/model/service_config.h"

namespace qh {

// What a node has admitted since its start, by team.
using TeamTotals = std::map<TeamId, double>;

class TeamRateLimiter {
 public:
  // What the users allow all nodes together to pass a limit by, in any window.
  struct Allowance {
    Duration window = std::chrono::seconds(8);
    // Share of what the limit grants in the window.
    double share = 0;
    // Units besides.
    double units = 0;
  };

  // Part of the allowance that every request may use, and part by which one
  // request may pass that: a large request runs as soon as a small one does.
  // The rest covers what is admitted meanwhile elsewhere.
  static constexpr double kSharedHeadroom = 0.25;
  static constexpr double kRequestHeadroom = 0.25;
  // Share of the burst that a fresh process may use at once; what was used
  // before its start is not known and taken to be all that the limit grants.
  static constexpr double kStartupBurstShare = 0.3;
  // How much of its own use since a peer's last word a node takes that peer to
  // have used too.
  static constexpr double kPeerUseEstimate = 0.25;

  TeamRateLimiter(const Allowance& allowance, TimePoint now);

  // Takes over the limits in force; a lowered one binds at once.
  void SetTeams(const std::vector<TeamRule>& teams, TimePoint now);

  // Counts `units` against the team's limit. Returns nothing when the request
  // may run, else the time until it could.
  std::optional<Duration> Admit(const TeamId& team,
                                double units,
                                TimePoint now);
  // Units that the team may use now, as far as this node knows.
  double Available(const TeamId& team, TimePoint now);
  // Gives back what a request took at `admitted` that did not run.
  void Refund(const TeamId& team,
              double units,
              TimePoint admitted,
              TimePoint now);

  // Takes a peer's totals. `uptime` is how long that process has run.
  void OnPeer(const std::string& incarnation,
              const TeamTotals& totals,
              Duration uptime,
              TimePoint now);
  // Says how many peers there are and how many of them are unresponsive.
  void SetPeers(size_t peers, size_t unresponsive, TimePoint now);

  const TeamTotals& totals() const { return totals_; }

 private:
  struct Account {
    double rate = 0;
    double burst = 0;
    // Use of the whole deployment.
    SlidingWindowSum used;
    // What the bucket holds, at most Depth; below zero after a large request.
    double level = 0;
    // Until when the bucket is filled, and the unresponsive peers' share
    // counted.
    TimePoint filled;
    // Own use since the peers last before_use theirs.
    double unreported = 0;
  };

  // What the limit grants in a window.
  double WindowGrant(const Account& account) const;
  // How far all nodes together may pass that.
  double WindowAllowance(const Account& account) const;
  double BucketCapacity(const Account& account) const;
  double UnresponsiveShare() const;
  void Fill(Account& account, TimePoint now) const;
  void Use(Account& account, double units, TimePoint now) const;
  // What the use of the last window leaves of what the limit grants in it.
  double WindowHeadroom(Account& account, TimePoint now) const;
  double AvailableUnits(Account& account, TimePoint now) const;
  // When `missing` units more will be available, if nothing else is admitted.
  Duration WaitFor(Account& account, double missing, TimePoint now) const;

  Allowance allowance_;

  TimePoint started_;
  std::map<TeamId, Account> accounts_;
  TeamTotals totals_;
  // Last totals of each peer process.
  std::map<std::string, TeamTotals> peer_totals_;
  size_t peers_ = 0;
  size_t unresponsive_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_TEAM_RATE_LIMITER_H_
