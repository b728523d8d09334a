#include "qh_node/serving/dispatcher.h"

namespace qh {
namespace {

// Returns the pool or route whose retry budget pays for a retry.
PoolId PoolOf(const RouteQuery& query) {
  return PoolId(query.route.empty() ? query.model
                                    : "route/" + query.route.value());
}

}  // namespace

Dispatcher::Dispatcher(const InstanceId& self,
                       uint64_t seed,
                       MetricsRegistry& metrics)
    : metrics_(metrics),
      router_(Router::Create(std::make_shared<const Configuration>(), seed)),
      admission_(AdmissionOptions(), seed + 1),
      limiter_(self, MonotonicNow()),
      retries_(seed + 2) {}

void Dispatcher::SetConfiguration(const ConfigurationPtr& config) {
  const std::lock_guard lock(mutex_);
  router_.SetConfiguration(config);
  admission_.SetTeams(config->teams);
  limiter_.SetTeams(config->teams);
}

void Dispatcher::SetLeavingServers(const std::set<ServerId>& leaving) {
  const std::lock_guard lock(mutex_);
  router_.SetLeaving(leaving);
}

Result<void> Dispatcher::TakeTeamTokens(const TeamId& team, double tokens) {
  const std::lock_guard lock(mutex_);
  const auto wait = limiter_.Admit(team, tokens, MonotonicNow());
  if (wait) {
    return Error(ErrorKind::kTeamLimit, team.value()).WithRetryAfter(*wait);
  }
  return Ok();
}

void Dispatcher::ReturnTeamTokens(const TeamId& team, double tokens) {
  const std::lock_guard lock(mutex_);
  limiter_.Refund(team, tokens);
}

Result<RouteChoice> Dispatcher::Admit(const RouteQuery& query) {
  std::future<Result<RouteChoice>> queued_choice;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = MonotonicNow();
    retries_.OnFirstAttempt(PoolOf(query), now);
    const auto decision =
        admission_.OnArrival(query, MakeAdmissionHooks(now), now);
    if (decision.kind != AdmissionDecisionKind::kQueue) {
      return RecordAdmission(decision, now);
    }
    auto waiter = std::make_shared<Waiter>();
    queued_choice = waiter->get_future();
    waiters_[query.request] = std::move(waiter);
  }
  return queued_choice.get();
}

Result<RouteChoice> Dispatcher::Choose(const RouteQuery& query) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  auto choice = router_.Choose(query, now);
  if (choice) {
    router_.OnDispatched(choice.value().server.id, query, now);
  }
  return choice;
}

std::optional<Duration> Dispatcher::TakeRetry(const RouteQuery& query,
                                              uint32_t attempt) {
  const std::lock_guard lock(mutex_);
  return retries_.TakeRetry(PoolOf(query), attempt, MonotonicNow());
}

void Dispatcher::Reassign(const RouteQuery& query,
                          const ServerId& from,
                          const ServerId& server) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  router_.OnEnded(from, query, DispatchOutcome::kCancelled, now);
  router_.OnDispatched(server, query, now);
}

void Dispatcher::OnFirstByte(const RouteQuery& query,
                             const ServerId& server,
                             Duration waited) {
  metrics_.Observe({.name = "qh_first_part_seconds",
                    .team = query.team.value(),
                    .request_class = std::string(ToName(query.request_class))},
                   ToSeconds(waited));
  const std::lock_guard lock(mutex_);
  router_.OnFirstByte(server, query, MonotonicNow());
  admission_.OnFirstByte(query, waited);
}

void Dispatcher::OnDispatchEnded(const RouteQuery& query,
                                 const ServerId& server,
                                 DispatchOutcome outcome) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  router_.OnEnded(server, query, outcome, now);
  AdvanceAdmission(now);
}

void Dispatcher::Tick() {
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  router_.OnTick(now);
  AdvanceAdmission(now);
}

DemandDigest Dispatcher::MakeDigest() {
  const std::lock_guard lock(mutex_);
  return limiter_.MakeDigest(MonotonicNow());
}

void Dispatcher::OnDigest(const DemandDigest& digest) {
  const std::lock_guard lock(mutex_);
  limiter_.OnDigest(digest, MonotonicNow());
}

std::optional<std::string> Dispatcher::Explain(const RequestId& request) const {
  const std::lock_guard lock(mutex_);
  const auto decision = router_.decisions().Find(request);
  return decision ? std::optional(decision->ToString()) : std::nullopt;
}

AdmissionHooks Dispatcher::MakeAdmissionHooks(TimePoint now) {
  return {[this, now](const RouteQuery& query) {
            return router_.Choose(query, now);
          },
          [this, now](const RouteQuery& query, const RouteChoice& choice) {
            router_.OnDispatched(choice.server.id, query, now);
          }};
}

void Dispatcher::AdvanceAdmission(TimePoint now) {
  for (const auto& decision :
       admission_.Advance(MakeAdmissionHooks(now), now)) {
    const auto waiter = waiters_.extract(decision.request);
    if (!waiter.empty()) {
      waiter.mapped()->set_value(RecordAdmission(decision, now));
    }
  }
}

Result<RouteChoice> Dispatcher::RecordAdmission(
    const AdmissionDecision& decision,
    TimePoint now) {
  if (decision.kind == AdmissionDecisionKind::kAdmit) {
    metrics_.Count({.name = "qh_routed_total",
                    .reason = std::string(decision.choice.reason)});
    return decision.choice;
  }
  Decision refusal;
  refusal.request = decision.request;
  refusal.at = now;
  refusal.reason = AnswerFor(decision.error).name;
  refusal.retry_after = decision.retry_after;
  router_.decisions().Record(refusal);
  return Error(decision.error, "admission")
      .WithRetryAfter(decision.retry_after);
}

}  // namespace qh
