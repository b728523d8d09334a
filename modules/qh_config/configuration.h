// The deployment's configuration as typed values. A Configuration is immutable
// once loaded; the parts of a node share it by pointer.

#ifndef QH_CONFIG_CONFIGURATION_H_
#define QH_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Decides the deadline of a request and the order of load shedding: batch is
// shed before interactive, and interactive before service.
enum class RequestClass { kService, kInteractive, kBatch };

template <>
inline constexpr EnumName<RequestClass> kEnumNames<RequestClass>[] = {
    {RequestClass::kService, "service"},
    {RequestClass::kInteractive, "interactive"},
    {RequestClass::kBatch, "batch"},
};

// What a backend server runs.
enum class ServerRole { kEngine, kService };

template <>
inline constexpr EnumName<ServerRole> kEnumNames<ServerRole>[] = {
    {ServerRole::kEngine, "engine"},
    {ServerRole::kService, "service"},
};

struct FailureDomain {
  FailureDomainId id;
  std::string region;
};

// A machine class of the cloud with its prices per hour.
struct MachineClass {
  std::string id;
  double on_demand_price = 0;
  double reclaimable_price = 0;
};

struct BackendServer {
  ServerId id;
  Address address;
  FailureDomainId failure_domain;
  // Version of the engine program; empty for plain services.
  std::string engine_version;
  // Whether the server rejects an order with an outdated fencing number.
  bool checks_fencing = false;
  // Id of the MachineClass; empty when not known.
  std::string machine_class;
};

struct Model {
  std::string name;
  // Versions that may be served, newest last.
  std::vector<std::string> versions;
  std::vector<std::string> adapters;
};

// A group of engines that serve the same models.
struct ModelPool {
  PoolId id;
  std::vector<Model> models;
  std::vector<BackendServer> servers;
  // Requests one server may run at the same time.
  uint32_t slots_per_server = 16;
  // Latency targets at the 95th percentile.
  Duration first_token_target = std::chrono::milliseconds(630);
  Duration token_interval_target = std::chrono::milliseconds(35);
};

struct Team {
  TeamId id;
  // SHA-256 of each accepted key, 64 hexadecimal digits.
  std::vector<std::string> key_sha256;
  // Share of contended capacity relative to other teams.
  double weight = 1.0;
  // Sent to engines; requests with a larger value run first.
  int32_t priority = 0;
  // Prompt and generated tokens the team may use per minute, over all nodes.
  // Zero is no limit.
  uint64_t tokens_per_minute = 0;
  // Requests per second over all nodes. Zero is no limit.
  uint32_t requests_per_second = 0;
  // Class of the team's chat requests unless the request names one.
  RequestClass default_class = RequestClass::kInteractive;
};

// A plain service that callers reach below /services/<id>/.
struct Route {
  RouteId id;
  std::vector<BackendServer> servers;
  Duration timeout = std::chrono::seconds(10);
};

// Selects calls to a route that may run at most once.
struct NonIdempotentRule {
  RouteId route;
  // Upper-case HTTP method.
  std::string method;
  // Path below the route, starting with '/'; matches as a prefix.
  std::string path_prefix;
};

// Limits that every node applies.
struct NodeLimits {
  // Largest body and header of a caller's request.
  uint64_t max_body_bytes = 4 << 20;
  uint32_t max_header_bytes = 16 << 10;
  // Longest pause while a caller's request is read.
  Duration read_timeout = std::chrono::seconds(10);
  // How long callers may cache an address from a locate response.
  Duration locate_ttl = std::chrono::seconds(10);
  // How long callers of a class wait for the first token.
  Duration interactive_deadline = std::chrono::seconds(30);
  Duration batch_deadline = std::chrono::seconds(300);
  // Requests that one node may have in flight.
  uint32_t max_open_requests = 500;
};

// Weights of the two objectives that are traded off against each other: few
// prompt tokens computed more than once, and low cost at the latency target.
struct MeasureWeights {
  double recomputed_tokens = 1.0;
  double cost = 1.0;
};

struct Configuration {
  // Version of the accepted manifest; zero for a folder not yet applied.
  uint64_t version = 0;
  std::string deployment;
  std::vector<FailureDomain> failure_domains;
  std::vector<MachineClass> machine_classes;
  std::vector<ModelPool> model_pools;
  std::vector<Team> teams;
  std::vector<Route> routes;
  std::vector<NonIdempotentRule> non_idempotent;
  NodeLimits limits;
  MeasureWeights weights;

  // Returns the pool that serves `model`, or null if there is none.
  const ModelPool* PoolForModel(const std::string& model) const;
  // Returns the route with this id, or null if there is none.
  const Route* FindRoute(const RouteId& id) const;
  // Returns the team that owns the key with this KeySha256 hash, or null if
  // there is none.
  const Team* TeamForKey(const std::string& key_sha256) const;
  // Returns whether a call may run at most once. `path` is the path below the
  // route and starts with '/'.
  bool IsNonIdempotent(const RouteId& route,
                       const std::string& method,
                       const std::string& path) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// Returns the SHA-256 of `key` as 64 lower-case hexadecimal digits.
std::string KeySha256(const std::string& key);

}  // namespace qh

#endif  // QH_CONFIG_CONFIGURATION_H_
