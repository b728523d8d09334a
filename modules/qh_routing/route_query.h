// What a routing decision is asked and what it answers.

#ifndef QH_ROUTING_ROUTE_QUERY_H_
#define QH_ROUTING_ROUTE_QUERY_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "qh_config/configuration.h"
#include "qh_core/errors/result.h"
#include "qh_core/time/time.h"

namespace qh {

struct RouteQuery {
  RequestId request;
  TeamId team;
  RequestClass request_class = RequestClass::kInteractive;
  // Model asked for; empty for a plain service.
  std::string model;
  // Version asked for; empty for any.
  std::string model_version;
  // Adapter asked for; empty for none.
  std::string adapter;
  // Version of the engine program that must go on with a stream; empty for any.
  std::string engine_version;
  // Plain service; empty for a model.
  RouteId route;
  // Hashes of the prompt's leading blocks; each covers all blocks before it.
  std::vector<uint64_t> prefix_blocks;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  TimePoint deadline;
  // Servers that must not be chosen.
  std::vector<ServerId> excluded;
};

struct RouteChoice {
  BackendServer server;
  // Why this server, for `quetzalhall explain`.
  std::string reason;
  // Time from dispatch to the first part, as expected.
  Duration expected_first_part{};
  // Leading prompt tokens that the server is expected to have cached.
  uint32_t cached_tokens = 0;
  // Requests of all nodes on the server, estimated, and its limit.
  double in_flight = 0;
  double limit = 0;
  // Whether the server may take the request now; without room the request
  // waits in the node or is refused.
  bool has_room = true;
};

// What a server has loaded. A server without a row serves all that its pool
// lists.
struct ServerCapability {
  // As "model@version".
  std::set<std::string> model_versions;
  // As "model+adapter".
  std::set<std::string> adapters;
};

// Blocks that a server's prefix cache took in or dropped; events come late and
// some never.
struct CacheEvent {
  ServerId server;
  bool stored = true;
  // Empty with `stored` false: the whole cache was lost.
  std::vector<uint64_t> blocks;
};

// Load that a server reported; lags by a second or more.
struct LoadReport {
  ServerId server;
  uint32_t running = 0;
  uint32_t queued = 0;
  // Share of the prefix cache in use, 0 to 1.
  double cache_used = 0;
  // When the server took the figures.
  TimePoint measured_at;
};

// How a dispatched request ended on its server.
enum class DispatchOutcome {
  kCompleted,
  kNotConnected,
  kServerLost,
  kCancelled
};

}  // namespace qh

#endif  // QH_ROUTING_ROUTE_QUERY_H_
