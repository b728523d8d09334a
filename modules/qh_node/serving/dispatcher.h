// The node's routing decisions behind one lock and on the monotonic clock: team
// limits, admission with its queues, server choice and the retry budget.

#ifndef QH_NODE_SERVING_DISPATCHER_H_
#define QH_NODE_SERVING_DISPATCHER_H_

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "qh_metrics/metrics_registry.h"
#include "qh_routing/admission/admission.h"
#include "qh_routing/limits/team_limiter.h"
#include "qh_routing/retries/retry_budget.h"
#include "qh_routing/router.h"

namespace qh {

// Thread safe. A request that got a choice from Admit or Choose is in flight on
// that server until End.
class Dispatcher {
 public:
  Dispatcher(const InstanceId& self, uint64_t seed, MetricsRegistry& metrics);

  void SetConfiguration(const ConfigurationPtr& config);
  void SetLeaving(const std::set<ServerId>& leaving);

  // Takes the request's tokens out of its team's limit. Fails with kTeamLimit.
  Result<void> TakeTeamTokens(const TeamId& team, double tokens);
  // Gives back tokens that were taken and not used.
  void ReturnTeamTokens(const TeamId& team, double tokens);

  // Chooses a server for a request that just arrived; waits while it is queued.
  // Fails with kDeadlineUnreachable, kOverloaded, kNoServer, kUnknownModel or
  // kUnknownRoute, with the time after which to come back.
  Result<RouteChoice> Admit(const RouteQuery& query);

  // Chooses a server for a request that goes on: it was admitted before.
  Result<RouteChoice> Choose(const RouteQuery& query);

  // Returns how long to wait before attempt number `attempt` (2 is the first
  // retry), or nothing when the budget is spent.
  std::optional<Duration> TakeRetry(const RouteQuery& query, uint32_t attempt);

  // Moves a request in flight from the server chosen to `server`.
  void Reassign(const RouteQuery& query,
                const ServerId& from,
                const ServerId& server);
  // The first part came `waited` after the request's arrival.
  void FirstPart(const RouteQuery& query,
                 const ServerId& server,
                 Duration waited);
  void End(const RouteQuery& query,
           const ServerId& server,
           DispatchOutcome end);

  // Dispatches and refuses waiting requests and judges servers. Several times a
  // second.
  void Tick();

  DemandDigest MakeDigest();
  void OnDigest(const DemandDigest& digest);

  // Returns the last decision about `request` as key=value pairs, or nothing.
  std::optional<std::string> Explain(const RequestId& request) const;

 private:
  using Waiter = std::promise<Result<RouteChoice>>;

  // All are called with the lock held.
  AdmissionHooks MakeHooks(TimePoint now);
  void Advance(TimePoint now);
  Result<RouteChoice> ResultOf(const AdmissionDecision& verdict, TimePoint now);

  MetricsRegistry& metrics_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  Router router_;
  Admission admission_;
  TeamLimiter limiter_;
  RetryBudget retries_;
  // Requests that wait in the queue.
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_DISPATCHER_H_
