// What the operator has put in force, as the gateway uses it: routes, services,
// teams and the limits on callers. Immutable once built; shared by pointer.

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

// What of a request may be repeated.
enum class RequestKind {
  // Idempotent.
  kSafe,
  // Runs once at most.
  kUnsafe,
  // A series of events; runs once at most unless the route can resume it.
  kStream,
};

template <>
inline constexpr EnumName<RequestKind> kEnumNames<RequestKind>[] = {
    {RequestKind::kSafe, "safe"},
    {RequestKind::kUnsafe, "unsafe"},
    {RequestKind::kStream, "stream"},
};

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
  // Longest time that a caller is kept waiting for the final answer.
  Duration timeout = std::chrono::seconds(10);
  // An answer within this time is on time; streams: the first event.
  Duration latency_target = std::chrono::seconds(1);
  // Longest pause between two events that is on time.
  Duration event_gap_target = std::chrono::seconds(1);
  // 0 is the most urgent.
  int priority = 0;
  // At least one; weights are positive.
  std::vector<WeightedService> services;
  // Servers that one request may be sent to.
  uint32_t max_attempts = 1;
  bool anonymous = false;
  bool resumable = false;

  // Whether a request that may have run may be sent again.
  bool retryable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && resumable);
  }
};

// Traits of a service whose servers are model engines.
struct EngineTraits {
  uint32_t slots = 1;
  uint64_t kv_tokens = 0;
  uint32_t tokens_per_event = 1;
  // A run's memory can be moved to another server, where it goes on.
  bool supports_migration = false;
};

// Bounds and prices within which servers of a service can be ordered.
struct ScalingTraits {
  // Per failure domain, both kinds of servers together.
  uint32_t min_servers = 0;
  uint32_t max_servers = 0;
  Duration boot_time = Duration::zero();
  // Price of a reclaimable server over that of another one; nothing when none
  // can be had.
  std::optional<double> spot_price;
  std::map<FailureDomainId, double> domain_prices;
};

struct ServiceRule {
  std::string name;
  uint32_t max_connections = 100;
  std::optional<EngineTraits> engine;
  std::optional<ScalingTraits> scaling;
};

struct TeamRule {
  TeamId id;
  std::vector<std::string> keys;
  // Goes before the route's priority.
  std::optional<int> priority;
  // Whether the limit counts tokens; requests otherwise.
  bool counts_tokens = false;
  // Tokens that a request without a token count stands for.
  double default_tokens = 1;
  // Units per second over all nodes; zero means no limit.
  double rate = 0;
  double burst = 0;
};

struct CallerLimits {
  uint32_t max_header_bytes = 16U << 10U;
  uint64_t max_body_bytes = 4U << 20U;
  Duration header_timeout = std::chrono::seconds(5);
  Duration idle_timeout = std::chrono::seconds(15);
};

class ServiceConfig {
 public:
  struct Parts {
    uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    // Nothing when callers need no key.
    std::optional<std::vector<TeamRule>> teams;
    CallerLimits limits;
  };

  explicit ServiceConfig(Parts parts);

  uint64_t version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<RouteRule>& routes() const { return parts_.routes; }
  const std::vector<ServiceRule>& services() const { return parts_.services; }
  bool needs_keys() const { return parts_.teams.has_value(); }
  // Empty when callers need no key.
  const std::vector<TeamRule>& teams() const;

  // Returns the route of `host` with the longest prefix that begins `path`, or
  // null. `host` may carry a port.
  const RouteRule* MatchRoute(std::string_view host,
                              std::string_view path) const;
  // Returns the team that holds `key`, or null.
  const TeamRule* TeamForKey(std::string_view key) const;
  const ServiceRule* FindService(std::string_view name) const;
  const TeamRule* FindTeam(const TeamId& id) const;

 private:
  Parts parts_;
  // Indexes into parts_.routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> by_host_;
  // Indexes into parts_.teams.
  std::unordered_map<std::string, size_t> by_key_;
};

using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

// Returns `host` without its port, in lower case.
std::string NormalizedHost(std::string_view host);

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_SERVICE_CONFIG_H_
