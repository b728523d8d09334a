// What a node tells its peers several times a second.

#ifndef QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_
#define QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash_tracker.h"
#include "qh_gateway/decisions/server_load.h"
#include "qh_gateway/decisions/store_reachability.h"
#include "qh_gateway/decisions/team_rate_limiter.h"
#include "qh_gateway/decisions/usage_ledger.h"

namespace qh {

struct PeerHeartbeat {
  std::string node;
  // Differs for each process start.
  std::string incarnation;
  // Rises with each message of the process.
  uint64_t sequence = 0;
  Duration uptime = Duration::zero();
  // Time since 1970 by the sender's clock.
  Duration wall = Duration::zero();
  bool ready = false;
  bool draining = false;
  Address callers;
  uint64_t config_version = 0;
  // The store's revision up to which the sender knows the servers.
  uint64_t servers_revision = 0;
  StoreReachabilityReport store;
  OutstandingWorkByServer open_work;
  TeamTotals team_totals;
  WindowCounts usage;
  std::vector<CrashRecord> crash_marks;
  // Prompt tokens a millisecond that servers read for the sender, by service.
  std::map<std::string, double> reading;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<PeerHeartbeat> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_PEER_HEARTBEAT_H_
