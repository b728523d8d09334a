// What one node decides in the bench: the product's objects, or a baseline.

#ifndef BENCHMARKS_ROUTING_POLICY_H_
#define BENCHMARKS_ROUTING_POLICY_H_

#include <memory>
#include <string>
#include <vector>

#include "benchmarks/routing/traffic.h"
#include "qh_routing/limits/demand_digest.h"
#include "qh_routing/route_query.h"

namespace qh::bench {

// Time that nodes run before the first request.
inline constexpr Duration kNodeLead = std::chrono::seconds(5);

// A turn on its way through a node.
struct Job {
  const Turn* turn = nullptr;
  // Dispatches so far.
  uint32_t attempts = 0;
  // Tokens that the caller already has.
  uint32_t sent = 0;
  // Servers that failed it.
  std::vector<ServerId> excluded;
};

enum class PolicyActionKind { kDispatch, kRefuse, kRetryLater };

struct PolicyAction {
  PolicyActionKind kind = PolicyActionKind::kDispatch;
  // Turn id.
  uint32_t turn = 0;
  // Server number of kDispatch.
  uint32_t server = 0;
  int32_t priority = 0;
  // Wait of kRetryLater.
  Duration delay{};
  // Reason of kRefuse.
  ErrorKind error = ErrorKind::kOverloaded;
};

using PolicyActions = std::vector<PolicyAction>;

// The decisions of one node. Times are virtual.
class Policy {
 public:
  virtual ~Policy() = default;

  // A caller's request, or its next attempt when job.attempts is not zero.
  virtual PolicyActions OnJob(const Job& job, TimePoint now) = 0;
  virtual void OnDispatched(const Job& job, uint32_t server, TimePoint now) = 0;
  virtual void OnFirstToken(const Job& job, uint32_t server, TimePoint now) = 0;
  // The job ended on `server`; with a failure the node asks for what to do.
  virtual PolicyActions OnEnded(const Job& job,
                                uint32_t server,
                                DispatchOutcome end,
                                TimePoint now) = 0;
  // The caller stopped waiting for a job that was not dispatched.
  virtual void OnCallerGone(const Job& job) = 0;
  virtual void OnLoadReport(uint32_t server,
                            const LoadReport& report,
                            TimePoint now) = 0;
  virtual void OnCacheEvent(const CacheEvent& /*event*/, TimePoint /*now*/) {}
  virtual void SetLeaving(const std::vector<bool>& leaving) = 0;
  // Every 50 ms.
  virtual PolicyActions OnTick(TimePoint /*now*/) { return {}; }
  // Twice a second.
  virtual DemandDigest MakeDigest(TimePoint /*now*/) { return {}; }
  virtual void OnDigest(const DemandDigest& /*digest*/, TimePoint /*now*/) {}
};

// Names of all policies, the product first.
const std::vector<std::string>& PolicyNames();

// Creates the policy called `name` for node number `node`; null if unknown.
std::unique_ptr<Policy> MakePolicy(const std::string& name,
                                   const Deployment& deployment,
                                   ConfigurationPtr config,
                                   uint32_t node,
                                   uint64_t seed);

// Baselines, in baseline_policy.cpp; null if unknown.
std::unique_ptr<Policy> MakeBaseline(const std::string& name,
                                     const Deployment& deployment,
                                     const Configuration& config,
                                     uint64_t seed);

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_POLICY_H_
