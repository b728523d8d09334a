// Settings of one gateway process, read from a JSON file that may hold
// comments. Settings that the operator changes for all nodes at once are in
// ServiceConfig.

#ifndef QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_
#define QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

struct GatewaySettings {
  // Name of this node, unique among the live nodes.
  InstanceId node;
  FailureDomainId failure_domain;
  std::string region;
  // Where the node takes callers' requests.
  Address caller_address;
  // Where the cloud asks whether the node is ready.
  Address readiness_address;
  // Where callers ask which nodes to use.
  Address locate_address;
  // Where other nodes reach this one: heartbeats over UDP, HTTP over TCP.
  Address peer_address;
  // Where metrics are served; empty to serve none.
  std::optional<Address> metrics_address;
  Address store_address;
  // Read calls per second to the store, of all nodes together.
  double store_reads_per_second = 1'000;
  // Where usage is reported and servers are ordered; empty to do neither.
  std::optional<Address> cloud_address;

  // Rate of the node's own network link. Nodes with a faster one are relays
  // rather than others.
  double link_mbps = 0;

  // Memory that the process may use, in megabytes.
  double memory_mb = 512;
  // Files and sockets that the process may have open; zero for what the system
  // allows it.
  uint64_t max_open_files = 0;

  // Whether the whole deployment starts for the first time, so that no other
  // node can hold a lease.
  bool first_start = false;

  // How often backend servers renew their registration.
  Duration server_heartbeat = std::chrono::milliseconds(1'200);
  // How long a draining server keeps serving at least.
  Duration server_drain = std::chrono::seconds(2);
  // Time within which a new configuration has to be in force.
  Duration config_apply = std::chrono::seconds(2);
  // How long callers may use an answer of locate.
  Duration locate_ttl = std::chrono::seconds(2);
  // Grace period from the request to stop until the process is killed.
  Duration stop_grace = std::chrono::seconds(8);
  // Configured lease time; the leader's lease lasts a multiple of this.
  Duration lease = std::chrono::seconds(3);
  // Length of a window of the usage reports.
  Duration usage_window = std::chrono::seconds(5);
  // Time within which a window has to be reported. A new leader starts with the
  // window that was current this long ago.
  Duration usage_due = std::chrono::seconds(10);
  // Retry budget of all nodes together: in each retry_window, retry_ratio
  // retries per request plus retry_allowance retries.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
  Duration retry_window = std::chrono::seconds(10);
  // How far all nodes together may exceed a team's limit in any limit_window:
  // by limit_overage times what the limit grants plus limit_tolerance units.
  Duration limit_window = std::chrono::seconds(8);
  double limit_overage = 0.1;
  double limit_tolerance = 0;

  // Bounds of rollouts between versions of a service; nullopt for a deployment
  // without rollouts.
  std::optional<RolloutBounds> rollout_bounds;

  // Reads the file at `path`. Fails with kConfigInvalid; the detail has one
  // line per mistake with file, key and reason.
  static Result<GatewaySettings> Load(const std::string& path);
  // Parses `text`; `name` stands for the file in messages. Fails like Load.
  static Result<GatewaySettings> Parse(const std::string& text,
                                       const std::string& name);
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_
