// What the parts of a rollout exchange: the order, counts of responses, what a
// node reports to its peers, and the bounds set by the users.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_TYPES_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// The states of statecharts/rollout.chart. A later one overrides an earlier one
// when nodes exchange them.
enum class RolloutPhase {
  kPending,
  kCanary,
  kSwitching,
  kRolledBack,
  kWithdrawn,
  kCompleted,
};

template <>
inline constexpr EnumName<RolloutPhase> kEnumNames<RolloutPhase>[] = {
    {RolloutPhase::kPending, "pending"},
    {RolloutPhase::kCanary, "canary"},
    {RolloutPhase::kSwitching, "switching"},
    {RolloutPhase::kRolledBack, "rolled_back"},
    {RolloutPhase::kWithdrawn, "withdrawn"},
    {RolloutPhase::kCompleted, "completed"},
};

// The events of statecharts/rollout.chart.
enum class RolloutEvent {
  kStarted,
  kPassed,
  kSwitched,
  kBad,
  kExpired,
  kWithdrawn,
  kStoredDone,
};

template <>
inline constexpr EnumName<RolloutEvent> kEnumNames<RolloutEvent>[] = {
    {RolloutEvent::kStarted, "started"},
    {RolloutEvent::kPassed, "passed"},
    {RolloutEvent::kSwitched, "switched"},
    {RolloutEvent::kBad, "bad"},
    {RolloutEvent::kExpired, "expired"},
    {RolloutEvent::kWithdrawn, "withdrawn"},
    {RolloutEvent::kStoredDone, "stored_done"},
};

// The states that the store's object shows.
enum class StoredRolloutState { kActive, kCompleted, kRolledBack };

template <>
inline constexpr EnumName<StoredRolloutState> kEnumNames<StoredRolloutState>[] =
    {
        {StoredRolloutState::kActive, "active"},
        {StoredRolloutState::kCompleted, "completed"},
        {StoredRolloutState::kRolledBack, "rolled_back"},
};

// What the users bound for a version that turns out to be bad.
struct RolloutBounds {
  // Requests to it, as a share of the service's requests from the order to the
  // deadline, and in addition to that share; over all nodes.
  double exposure_share = 0.1;
  double exposure_tolerance = 50;
  // Time from its 50th bad response until nothing is sent to it any more.
  Duration rollback_time = std::chrono::seconds(5);
};

// An order to move a service's traffic to the servers of one version.
struct RolloutOrder {
  std::string service;
  std::string to;
  Duration duration = Duration::zero();
  // The store's version of the order itself, without later changes of status.
  StoreVersion version;

  // Whether both are the same order. A store that was restored from an older
  // copy shows it under another epoch.
  bool IsSameAs(const RolloutOrder& other) const {
    return service == other.service && to == other.to &&
           duration == other.duration &&
           version.revision == other.version.revision;
  }
};

// What the gateway writes to the object's status.
struct RolloutStatus {
  StoredRolloutState state = StoredRolloutState::kActive;
  std::string to;
  // Revision of the order that the status belongs to; zero if not stated.
  uint64_t order_revision = 0;
  // Why, for operators.
  std::string reason;
};

// Responses of one version.
struct ResponseCounts {
  uint64_t requests = 0;
  uint64_t failures = 0;
  // Responses to requests that were sent after the warm-up and took long.
  uint64_t slow = 0;
  // Responses whose time counts: of the old version all complete ones, of the
  // new version those to requests that were sent after the warm-up.
  uint64_t timed = 0;
  // Old version only: times to the first byte divided by the expected ones, and
  // mean gaps between events with their number.
  double time_ratio_sum = 0;
  uint64_t gaps = 0;
  double gap_ms_sum = 0;

  ResponseCounts& operator+=(const ResponseCounts& more) {
    requests += more.requests;
    failures += more.failures;
    slow += more.slow;
    timed += more.timed;
    time_ratio_sum += more.time_ratio_sum;
    gaps += more.gaps;
    gap_ms_sum += more.gap_ms_sum;
    return *this;
  }
};

// By route.
using RouteCounts = std::map<std::string, ResponseCounts>;

// Responses of both versions since the order.
struct VersionCounts {
  RouteCounts old_version;
  RouteCounts new_version;

  VersionCounts& operator+=(const VersionCounts& more);
};

// What a node, or a relay for several nodes, reports to its peers about a
// rollout.
struct RolloutReport {
  RolloutOrder order;
  RolloutPhase phase = RolloutPhase::kPending;
  // Time since the order became known to the first of the nodes.
  Duration age = Duration::zero();
  VersionCounts counts;
  // Whether the counts reach back to the order; not so at a process that found
  // the rollout begun and has heard nothing of the nodes that began it.
  bool complete = false;
  // Number of nodes summed up; those of them that are drained, i.e. will send
  // nothing more to old servers and have no open request there; and the open
  // requests there.
  uint32_t nodes = 1;
  uint32_t drained_nodes = 0;
  uint64_t open_at_old = 0;
};

// By service.
using RolloutReports = std::map<std::string, RolloutReport>;

// Whether the rollout is under way.
constexpr bool IsUnderWay(RolloutPhase phase) {
  return phase < RolloutPhase::kRolledBack;
}

// Adds a report of other nodes to `sum`, for a relay. The counters always
// count. What may have changed since, drained nodes and open requests, counts
// only if the report is `fresh`.
void AddReport(RolloutReport& sum, const RolloutReport& more, bool fresh);
// The same for all services.
void AddReports(RolloutReports& sum, const RolloutReports& more, bool fresh);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_TYPES_H_
