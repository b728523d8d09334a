// Thread-safe front of the node's routing: team limits, admission queues,
// server selection and the retry budget. Supplies the monotonic clock to all of
// them.

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

// Thread safe. A request that got a choice from Admit or Choose counts as in
// flight on that server until OnDispatchEnded.
class Dispatcher {
 public:
  Dispatcher(const InstanceId& self, uint64_t seed, MetricsRegistry& metrics);

  void SetConfiguration(const ConfigurationPtr& config);
  void SetLeavingServers(const std::set<ServerId>& leaving);

  // Takes `tokens` from the team's limit. Fails with kTeamLimit and the time
  // after which to retry.
  Result<void> TakeTeamTokens(const TeamId& team, double tokens);
  // Refunds tokens that were taken but not used.
  void ReturnTeamTokens(const TeamId& team, double tokens);

  // Chooses a server for a request that just arrived. Blocks while the request
  // is queued. Fails with kDeadlineUnreachable, kOverloaded, kNoServer,
  // kUnknownModel or kUnknownRoute, and the time after which to retry.
  Result<RouteChoice> Admit(const RouteQuery& query);

  // Chooses a server for a request that was admitted before: a retry or a
  // resumed stream.
  Result<RouteChoice> Choose(const RouteQuery& query);

  // Returns how long to wait before attempt number `attempt` (2 is the first
  // retry), or nothing when the budget is spent.
  std::optional<Duration> TakeRetry(const RouteQuery& query, uint32_t attempt);

  // Changes the server of a request in flight from `from` to `server`.
  void Reassign(const RouteQuery& query,
                const ServerId& from,
                const ServerId& server);
  // Records the first byte of the answer, `waited` after the request's arrival.
  void OnFirstByte(const RouteQuery& query,
                   const ServerId& server,
                   Duration waited);
  // Records the end of a dispatch; the request is no longer in flight.
  void OnDispatchEnded(const RouteQuery& query,
                       const ServerId& server,
                       DispatchOutcome outcome);

  // Dispatches or refuses queued requests and updates the state of servers.
  // Must be called several times a second.
  void Tick();

  // Exchange of the teams' demand with other nodes, for the shared limits.
  DemandDigest MakeDigest();
  void OnDigest(const DemandDigest& digest);

  // Returns the last decision about `request` as key=value pairs, or nothing.
  std::optional<std::string> Explain(const RequestId& request) const;

 private:
  using Waiter = std::promise<Result<RouteChoice>>;

  // All are called with the lock held.
  AdmissionHooks MakeAdmissionHooks(TimePoint now);
  // Dispatches or refuses queued requests.
  void AdvanceAdmission(TimePoint now);
  // Returns the result of Admit for `decision`, counts an admission and records
  // a refusal for Explain.
  Result<RouteChoice> RecordAdmission(const AdmissionDecision& decision,
                                      TimePoint now);

  MetricsRegistry& metrics_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  Router router_;
  Admission admission_;
  TeamLimiter limiter_;
  RetryBudget retries_;
  // Queued requests, whose Admit calls block until their promise is set.
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_DISPATCHER_H_
