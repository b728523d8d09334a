// Settings of one gateway process, from a JSON file that may hold comments.
// What the operator changes for all nodes is in ServiceConfig instead.

#ifndef QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_
#define QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "qh_core/address/address.h"
#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

struct GatewaySettings {
  // Name of this node; no other live one has it.
  InstanceId node;
  FailureDomainId failure_domain;
  std::string region;
  // Callers' requests.
  Address caller_address;
  // Whether the node takes callers, asked by the cloud.
  Address readiness_address;
  // Where callers ask which nodes to use.
  Address locate_address;
  // Other nodes, over UDP and TCP.
  Address peer_address;
  // Nothing when metrics are not served.
  std::optional<Address> metrics_address;
  Address store_address;
  // Calls that all nodes together may make.
  double store_reads_per_second = 1'000;
  // Nothing when no duty is owed to the cloud.
  std::optional<Address> cloud_address;

  // How often backend servers renew their registration.
  Duration server_heartbeat = std::chrono::milliseconds(1'200);
  // How long a server that drains serves on at least.
  Duration server_drain = std::chrono::seconds(2);
  // Longest time that callers keep an answer of locate.
  Duration locate_ttl = std::chrono::seconds(2);
  // From the request to stop until the process is killed.
  Duration stop_grace = std::chrono::seconds(8);
  // A lease protects its holder this long.
  Duration lease = std::chrono::seconds(3);
  // Length of a window of the usage reports, and when a report is due.
  Duration usage_window = std::chrono::seconds(5);
  Duration usage_due = std::chrono::seconds(10);
  // Repeats allowed per request, and besides, in each window; over all nodes.
  double retry_ratio = 0.2;
  double retry_allowance = 50;
  Duration retry_window = std::chrono::seconds(10);
  // By how much all nodes together may pass a team's limit in any window: a
  // share of what it grants, and units besides.
  Duration limit_window = std::chrono::seconds(8);
  double limit_overage = 0.1;
  double limit_tolerance = 0;

  // Reads the file at `path`. Fails with kConfigInvalid and one line of file,
  // key and reason for each mistake.
  static Result<GatewaySettings> Load(const std::string& path);
  // Reads `text`; `name` stands for the file in messages.
  static Result<GatewaySettings> Parse(const std::string& text,
                                       const std::string& name);
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_GATEWAY_SETTINGS_H_
