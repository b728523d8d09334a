// The operator's active configuration in the form that the gateway uses:
// routes, services, teams and the limits on callers. Immutable; shared by
// pointer.

#ifndef QH_GATEWAY_MODEL_SERVICE_CONFIG_H_
#define QH_GATEWAY_MODEL_SERVICE_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Whether a request may be sent to a server again after it may have run.
enum class RequestKind {
  // Idempotent: may be retried.
  kSafe,
  // Runs at most once.
  kUnsafe,
  // Answered by a stream of events. Runs at most once, unless the route's
  // streams are resumable.
  kStream,
};

template <>
inline constexpr EnumName<RequestKind> kEnumNames<RequestKind>[] = {
    {RequestKind::kSafe, "safe"},
    {RequestKind::kUnsafe, "unsafe"},
    {RequestKind::kStream, "stream"},
};

// One of a route's services and the relative weight with which a request of the
// route is assigned to it.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct RouteRule {
  std::string name;
  // Lower case, without port.
  std::string host;
  // Begins and ends with '/'.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  // Time until the complete answer, after which the request fails.
  Duration timeout = std::chrono::seconds(10);
  // Target for the time to the answer or, for streams, to the first event.
  Duration latency_target = std::chrono::seconds(1);
  // Target for the time between two events of a stream.
  Duration event_gap_target = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  // At least one entry; weights are positive.
  std::vector<WeightedService> services;
  // Attempts allowed for one request, the first included.
  uint32_t max_attempts = 1;
  // Whether callers need no API key on this route.
  bool anonymous = false;
  // Whether a broken stream can continue on another server after the last event
  // received.
  bool resumable = false;

  // Whether a request that may have run may be sent again.
  bool retryable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && resumable);
  }
};

// Properties of a service whose servers are model engines.
struct EngineTraits {
  // Requests that an engine runs concurrently.
  uint32_t slots = 1;
  // Capacity of an engine's KV cache, in tokens.
  uint64_t kv_tokens = 0;
  // Output tokens in one event of a stream.
  uint32_t tokens_per_event = 1;
  // Whether an engine can copy a run's KV cache to another engine, which then
  // continues the stream.
  bool supports_migration = false;
};

// Limits and prices for ordering servers of a service.
struct ScalingTraits {
  // Per failure domain, reclaimable and on-demand servers together.
  uint32_t min_servers = 0;
  uint32_t max_servers = 0;
  Duration boot_time = Duration::zero();
  // Price of a reclaimable server relative to an on-demand one; nullopt when
  // the service has no reclaimable servers.
  std::optional<double> spot_price;
  // Price of a server in each failure domain where servers can be ordered.
  std::map<FailureDomainId, double> domain_prices;
};

struct ServiceRule {
  std::string name;
  // Connections to one server, over all gateway nodes.
  uint32_t max_connections = 100;
  // Set when the service's servers are model engines.
  std::optional<EngineTraits> engine;
  // Set when the gateway orders the service's servers.
  std::optional<ScalingTraits> scaling;
};

struct TeamRule {
  TeamId id;
  // API keys.
  std::vector<std::string> keys;
  // Overrides the route's priority.
  std::optional<int> priority;
  // Whether the unit of the limit is a token; otherwise it is a request.
  bool counts_tokens = false;
  // Tokens counted for a request without a token count.
  double default_tokens = 1;
  // Units per second over all gateway nodes; zero means no limit.
  double rate = 0;
  // Units allowed beyond `rate` at once.
  double burst = 0;
};

// Limits on every caller's requests and connections.
struct CallerLimits {
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 4U << 20U;
  // Time to receive a request's head.
  Duration header_timeout = std::chrono::seconds(5);
  // Time for which a connection stays open between requests.
  Duration idle_timeout = std::chrono::seconds(15);
};

class ServiceConfig {
 public:
  struct Parts {
    uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    // nullopt when callers need no API key.
    std::optional<std::vector<TeamRule>> teams;
    CallerLimits limits;
  };

  explicit ServiceConfig(Parts parts);

  uint64_t version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<RouteRule>& routes() const { return parts_.routes; }
  const std::vector<ServiceRule>& services() const { return parts_.services; }
  // Whether callers need an API key.
  bool needs_keys() const { return parts_.teams.has_value(); }
  // Empty when callers need no API key.
  const std::vector<TeamRule>& teams() const;

  // Returns the route of `host` with the longest path prefix that matches
  // `path`, or null. `host` may include a port.
  const RouteRule* MatchRoute(std::string_view host,
                              std::string_view path) const;
  // Returns the team that owns the API key `key`, or null.
  const TeamRule* TeamForKey(std::string_view key) const;
  // Returns the shortest target for the time between two events among the
  // routes of kind kStream to `service`; nullopt without such a route.
  std::optional<Duration> ShortestGapTarget(const std::string& service) const;
  // Return null when there is none.
  const ServiceRule* FindService(std::string_view name) const;
  const TeamRule* FindTeam(const TeamId& id) const;

 private:
  Parts parts_;
  // Indexes into parts_.routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> by_host_;
  // Indexes into parts_.teams, by API key.
  std::unordered_map<std::string, size_t> by_key_;
  // Shortest gap target of the streams, by service.
  std::unordered_map<std::string, Duration> gap_targets_;
};

using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

// Returns `host` without its port, in lower case.
std::string NormalizedHost(std::string_view host);

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_SERVICE_CONFIG_H_
