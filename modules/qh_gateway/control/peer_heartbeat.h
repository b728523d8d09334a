// The heartbeat that a gateway node sends to its peers several times a second,
// in one UDP datagram. In a large deployment it goes to the relays of the
// failure domain, and these send the sums of many nodes (see RelayRanking).

#ifndef QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_
#define QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"
#include "qh_gateway/decisions/limits/server_rate_limits.h"
#include "qh_gateway/decisions/limits/team_rate_limiter.h"
#include "qh_gateway/decisions/placement/server_load.h"
#include "qh_gateway/decisions/placement/server_pauses.h"
#include "qh_gateway/decisions/placement/server_speeds.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"
#include "qh_gateway/decisions/servers/server_departures.h"
#include "qh_gateway/decisions/store/state_freshness.h"
#include "qh_gateway/decisions/store/store_reachability.h"
#include "qh_gateway/decisions/usage/usage_ledger.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// Whose work a heartbeat sums up.
enum class HeartbeatScope {
  // The sender's alone.
  kNode,
  // That of all nodes of the sender's failure domain.
  kDomain,
  // That of all nodes but the receiver.
  kDeployment,
};

template <>
inline constexpr EnumName<HeartbeatScope> kEnumNames<HeartbeatScope>[] = {
    {HeartbeatScope::kNode, "node"},
    {HeartbeatScope::kDomain, "domain"},
    {HeartbeatScope::kDeployment, "deployment"},
};

// A responsive node, by the word of a relay.
struct MemberState {
  std::string node;
  Address callers;
  bool ready = false;
  bool draining = false;
  uint64_t config_version = 0;
};

struct PeerHeartbeat {
  // Name of the sending node.
  std::string node;
  // Identifies the sending process; differs for each start.
  std::string incarnation;
  // Increases with each heartbeat of the process.
  uint64_t sequence = 0;
  // Time since the process started.
  Duration uptime = Duration::zero();
  // Time since 1970 by the sender's clock.
  Duration wall_time = Duration::zero();
  FailureDomainId failure_domain;
  HeartbeatScope scope = HeartbeatScope::kNode;
  // Number of nodes whose work is summed up.
  size_t covered_nodes = 1;
  // Whether the sender acts as a relay, and whether as the leader.
  bool relay = false;
  bool leader = false;
  // Whether the store answers the sender.
  bool follows_store = false;
  // Responsive nodes, the sender included; only in some of the heartbeats with
  // a wider scope than kNode.
  std::vector<MemberState> members;
  // Whether the sender takes requests from callers.
  bool ready = false;
  // Whether the sender is stopping.
  bool draining = false;
  // Where the sender takes requests from callers.
  Address caller_address;
  // Version of the sender's configuration; zero without one.
  uint64_t config_version = 0;
  // When the sender's configuration was last confirmed to be the newest;
  // nullopt if it never was.
  std::optional<ConfirmationReport> config_confirmed;
  // The store's epoch; nullopt while the sender knows none.
  std::optional<uint64_t> store_epoch;
  // The version of the store up to which the sender knows the servers.
  StoreVersion servers_version;
  // The digest of the sender's servers; nullopt from nodes of an earlier
  // version.
  std::optional<uint64_t> servers_digest;
  // When the sender's servers were last confirmed to be complete; nullopt if
  // they never were.
  std::optional<ConfirmationReport> servers_confirmed;
  // Servers that announced lately that they leave.
  std::vector<ServerProcess> departures;
  // Pauses that servers asked the sender for.
  PausesByServer pauses;
  // Rate limits of servers that the sender knows, some in each heartbeat.
  std::vector<ServerRateLimit> rate_limits;
  // The newest window whose usage the sender knows to be reported.
  int64_t reported_window = 0;
  // When the store last answered the sender.
  StoreReachabilityReport store_reachability;
  // Versions at which the store's lists of servers and of nodes last changed.
  StoreVersion servers_changed;
  StoreVersion nodes_changed;
  // The fields from here on sum up the nodes of `scope`.
  // Work outstanding at each server.
  OutstandingWorkByServer outstanding_work;
  // Units admitted against the limit of each team since the process started.
  TeamTotals team_totals;
  // Counts of requests in the last windows. Not in heartbeats of kDeployment.
  WindowCounts usage;
  // What crashes servers, as far as the sender knows.
  CrashReport crashes;
  // Prompt tokens per millisecond that servers had to prefill, by service.
  std::map<std::string, double> prefill_rates;
  // Measured prefill rates of single servers.
  SpeedReports server_speeds;

  // Rollouts that the sender knows.
  RolloutReports rollouts;

  // Returns the heartbeat as MessagePack.
  std::string Encode() const;
  // Decodes the result of Encode. Fails with kPeerMalformed.
  static Result<PeerHeartbeat> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_
