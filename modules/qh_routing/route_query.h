// Input and output of a routing decision, and the events that feed it.

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

// A request as the router sees it.
struct RouteQuery {
  RequestId request;
  TeamId team;
  RequestClass request_class = RequestClass::kInteractive;
  // Requested model; empty for a plain service.
  std::string model;
  // Requested version of the model; empty for any.
  std::string model_version;
  // Requested adapter; empty for none.
  std::string adapter;
  // Engine version that has to continue an interrupted stream; empty for any.
  std::string engine_version;
  // Route of a plain service; empty for a model.
  RouteId route;
  // Hashes of the prompt's leading blocks of kPrefixBlockTokens tokens. Each
  // hash covers its block and all blocks before it.
  std::vector<uint64_t> prefix_blocks;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  TimePoint deadline;
  // Servers that must not be chosen.
  std::vector<ServerId> excluded;
};

// A chosen backend server.
struct RouteChoice {
  BackendServer server;
  // Why this server, for `quetzalhall explain`.
  std::string reason;
  // Expected time from dispatch to the first byte of the answer. For a model
  // this is the time to first token.
  Duration expected_ttfb{};
  // Leading prompt tokens that the server is expected to have cached.
  uint32_t cached_tokens = 0;
  // Estimated requests of all nodes in flight on the server, and its limit.
  // The limit is zero for a plain service.
  double in_flight = 0;
  double limit = 0;
  // Whether the limit allows one more request. If not, the request waits in the
  // node or is refused.
  bool has_capacity = true;
};

// What a server has loaded. A server whose capability is not known is assumed
// to serve everything that its pool lists.
struct ServerCapability {
  // As "model@version".
  std::set<std::string> model_versions;
  // As "model+adapter".
  std::set<std::string> adapters;
};

// Blocks that a server's prefix cache stored or dropped. Events arrive late,
// and some are lost.
struct CacheEvent {
  ServerId server;
  bool stored = true;
  // With `stored` false, an empty list means that the whole cache was lost.
  std::vector<uint64_t> blocks;
};

// Load that a server reported. Reports lag by a second or more.
struct LoadReport {
  ServerId server;
  uint32_t running = 0;
  uint32_t queued = 0;
  // Share of the prefix cache in use, 0 to 1.
  double cache_used = 0;
  // When the server measured its load.
  TimePoint measured_at;
};

// How a dispatched request ended on its server. kNotConnected: the request did
// not reach the server. kServerLost: the server failed while it had the
// request. kCancelled: the node ended the request.
enum class DispatchOutcome {
  kCompleted,
  kNotConnected,
  kServerLost,
  kCancelled
};

}  // namespace qh

#endif  // QH_ROUTING_ROUTE_QUERY_H_
