// One node's view of the rollout of one service, after
// statecharts/rollout.chart. Load pattern: a new version of a service that may
// be bad, at once or only later, under load or on one route, while nodes, lease
// holders and the store fail.
//
// Every node counts the responses of both versions and exchanges the sums with
// its peers. The lease holder moves the rollout on: it begins the canary when
// the order is stored as active, moves all traffic when the canary analysis has
// passed and the exposure budget lasts until the deadline, and completes it
// when no node has open requests on old servers. Any node that finds the new
// version bad rolls back, so that this needs no lease holder. Phases only
// advance, and the later of two prevails.
//
// A node without reports from at least half of its peers within kFreshTime
// sends nothing to the new version, because it would not learn of a rollback.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_SERVICE_ROLLOUT_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_SERVICE_ROLLOUT_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/rollout/canary_analysis.h"
#include "qh_gateway/decisions/rollout/exposure_budget.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

// Where a node may send a request.
enum class RolloutTarget {
  kAny,
  kOld,
  // A canary server, or else an old one.
  kCanary,
  // The new version, or else an old one.
  kNewOrOld,
  // The new version alone.
  kNew,
  // Nowhere at present.
  kNone,
};

// A step of a rollout, for the log.
struct RolloutStep {
  RolloutOrder order;
  RolloutPhase phase = RolloutPhase::kPending;
  std::string reason;
  // The inputs: time since the order, counts of all nodes, nodes heard lately.
  Duration age = Duration::zero();
  ResponseCounts new_counts;
  size_t nodes_heard = 0;
};

class ServiceRollout {
 public:
  // Share of the requests that goes to the new version until the switch.
  static constexpr double kCanaryShare = 0.03;
  // Routes with few requests get up to this multiple, so that a fault of theirs
  // shows as well.
  static constexpr double kMaxRouteBoost = 5;
  // Canary requests are sent in the first part of each such interval, the
  // pulse, so that their servers then carry the load of an old server. The
  // pulse is at least kMinPulseShare of the interval.
  static constexpr Duration kPulseInterval = std::chrono::seconds(2);
  static constexpr double kMinPulseShare = 0.15;
  // Older reports don't count as information about the peers.
  static constexpr Duration kFreshTime = std::chrono::milliseconds(1'000);
  // Time in which a process that found the rollout under way has to receive a
  // report whose counts reach back to the order. Otherwise the version is
  // rolled back, because its bad responses until then are not known.
  static constexpr Duration kPeerReportLifetime = std::chrono::seconds(3);
  // Time after the deadline in which the canary analysis may still pass.
  static constexpr Duration kDecisionGrace = std::chrono::seconds(2);

  // A report of peers.
  struct PeerReport {
    // A node or a group of nodes, and whether the report covers all peers, so
    // that all other sources are part of it.
    std::string source;
    bool covers_all = false;
    // The reporting process if the report covers one node; else empty.
    std::string incarnation;
    RolloutReport report;
  };

  // `from_start` tells whether the process was running when the order was made,
  // so that it takes part in the tolerance. `seed` spreads the nodes' canary
  // requests.
  ServiceRollout(RolloutOrder order,
                 const RolloutBounds& bounds,
                 bool from_start,
                 uint64_t seed,
                 TimePoint now);

  // The store holds the order with this status; nullopt for none.
  void OnStored(const std::optional<RolloutStatus>& status, TimePoint now);
  // The store no longer holds the order.
  void OnWithdrawn(TimePoint now);
  void OnPeer(const PeerReport& peer, TimePoint now);
  // Sets how many servers of the old and of the new version take requests.
  void SetServers(size_t old_servers, size_t new_servers);
  // Evaluates the counts; several times a second. `known_nodes` are the nodes
  // of the deployment, this one included; `may_decide` tells whether this node
  // holds the lease and the store answers it.
  void OnTick(size_t known_nodes, bool may_decide, TimePoint now);

  // Returns the status that the lease holder has to write now.
  std::optional<RolloutStatus> WantedStatus(TimePoint now) const;

  // A new request on `route` is about to be sent.
  void OnRequest(const std::string& route, TimePoint now);
  // Returns where a request on `route` may be sent now.
  RolloutTarget Target(const std::string& route, TimePoint now) const;
  // An attempt is to be sent to a server of the new or the old version; `first`
  // for a request's first one. Returns whether it may be, and counts it then.
  bool TakeSend(const std::string& route,
                bool to_new,
                bool first,
                TimePoint now);
  // Sets the attempts of this node that are open at servers of other versions,
  // also those sent before the order.
  void SetOpenAtOld(uint64_t open) { open_at_old_ = open; }
  // Adds what a response, or an attempt that got none, counts for its version:
  // the new one if `of_new`.
  void OnResponse(const std::string& route,
                  bool of_new,
                  const ResponseCounts& counts);

  // Returns this node's report, for its peers.
  RolloutReport Report(TimePoint now) const;
  const RolloutOrder& order() const { return order_; }
  RolloutPhase phase() const { return phase_; }
  const std::optional<RolloutStatus>& stored() const { return stored_; }
  // Responses of all nodes.
  VersionCounts Totals() const;
  // Responses of the old version on `route` at all nodes, as of the last tick.
  ResponseCounts OldTotals(const std::string& route) const;
  // Whether slow responses of the new version to requests sent now count.
  bool IsWarm(TimePoint now) const { return analysis_.IsWarm(now); }
  const ExposureBudget& budget() const { return budget_; }
  TimePoint deadline() const { return since_ + order_.duration; }
  // Number of servers that the canary requests go to.
  size_t canary_servers() const;
  // Returns the steps since the last call.
  std::vector<RolloutStep> TakeSteps();

 private:
  struct Source {
    PeerReport last;
    // Counts of earlier processes of the node.
    VersionCounts before;
    TimePoint heard_at;
  };
  struct Requests {
    TimePoint at;
    uint64_t requests = 0;
  };

  // Applies `event` if the chart allows it.
  void Apply(RolloutEvent event, const std::string& reason, TimePoint now);
  // Share of the requests on `route` that goes to the new version.
  double ShareOf(const std::string& route) const;
  // Whether canary requests are sent at this time of the pulse interval.
  bool InPulse(TimePoint now) const;
  // Share of the pulse interval in which canary requests are sent.
  double PulseShare() const;
  // Whether this node has reports younger than kFreshTime from at least half of
  // its peers, and its own last tick is as recent.
  bool IsFresh(TimePoint now) const;
  // Peers with reports younger than kFreshTime.
  size_t NodesHeard(TimePoint now) const;
  bool IsDrained() const { return closed_to_old_ && open_at_old_ == 0; }
  // Whether no node will send anything more to old servers or has requests open
  // there.
  bool AllDrained(TimePoint now) const;
  // Whether every node's budget is expected to last until the deadline.
  bool IsTimeToSwitch(TimePoint now) const;
  // Requests that the node expects until the deadline.
  double ExpectedRequests(TimePoint now) const;
  // Moves this node's traffic once its budget lasts until the deadline.
  void UpdateSwitch(TimePoint now);

  RolloutOrder order_;
  RolloutBounds bounds_;
  bool from_start_;
  Rng rng_;
  // When the order became known to the first node.
  TimePoint since_;
  RolloutPhase phase_;
  std::optional<RolloutStatus> stored_;
  // When this node learned of the order.
  TimePoint learned_at_;
  // Why the phase was entered.
  std::string reason_;
  size_t known_nodes_ = 1;
  size_t old_servers_ = 0;
  size_t new_servers_ = 0;
  TimePoint ticked_at_;
  ExposureBudget budget_;
  CanaryAnalysis analysis_;
  // Counts of all nodes at the last tick.
  VersionCounts totals_;
  // This node's counts.
  VersionCounts counts_;
  std::map<std::string, Source> sources_;
  // Canary requests due, by route; a random part at first, so that few requests
  // of many nodes add up to the share.
  std::map<std::string, double> canary_credit_;
  // Requests of this node in the canary, by route and in total.
  std::map<std::string, uint64_t> route_requests_;
  uint64_t canary_requests_ = 0;
  // Recent states of the budget's request count, oldest first.
  std::deque<Requests> history_;
  bool had_old_servers_ = false;
  // This node knows the responses since the order, from its own counts or from
  // a peer's report.
  bool complete_ = false;
  // This node sends to the new version what the budget allows.
  bool switched_ = false;
  // This node sends nothing more to old servers. Stays set until the rollout is
  // rolled back, because the lease holder relies on it.
  bool closed_to_old_ = false;
  uint64_t open_at_old_ = 0;
  std::vector<RolloutStep> steps_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_SERVICE_ROLLOUT_H_
