// The product: one node's router, admission, team limiter and retry budget, as
// the daemon drives them.

#include <unordered_map>

#include "benchmarks/routing/policy.h"
#include "qh_core/hash/hash.h"
#include "qh_routing/qh_routing.h"

namespace qh::bench {
namespace {

constexpr uint32_t kAttempts = 4;
constexpr int32_t kInteractivePriority = 1;

RouteQuery QueryOf(const Job& job) {
  const Turn& turn = *job.turn;
  RouteQuery query;
  query.request = RequestId(std::to_string(turn.id));
  query.team = TeamId("team-" + std::to_string(turn.team));
  query.request_class = turn.request_class;
  query.model = "chat";
  const auto blocks = turn.prompt_blocks();
  query.prefix_blocks.assign(blocks.begin(), blocks.end());
  query.prompt_tokens = turn.prompt_tokens + job.sent;
  query.max_output_tokens = turn.output_tokens - job.sent;
  query.deadline = turn.deadline;
  query.excluded = job.excluded;
  return query;
}

uint32_t NumberOf(const std::string& name) {
  return uint32_t(std::stoul(name.substr(name.find('-') + 1)));
}

class ProductPolicy : public Policy {
 public:
  ProductPolicy(const ConfigurationPtr& config,
                uint32_t node,
                uint64_t seed,
                bool detect_hot_prefixes)
      : router_(Router::Create(config,
                               seed,
                               {.detect_hot_prefixes = detect_hot_prefixes})),
        admission_({}, HashPair(seed, 1)),
        limiter_(InstanceId("node-" + std::to_string(node)),
                 TimePoint(-kNodeLead)),
        retries_(HashPair(seed, 2)) {
    admission_.SetTeams(config->teams);
    limiter_.SetTeams(config->teams);
  }

  PolicyActions OnJob(const Job& job, TimePoint now) override {
    const RouteQuery query = QueryOf(job);
    if (job.attempts > 0) {
      return Resume(query, now);
    }
    if (limiter_.Admit(query.team, TokensOf(query), now)) {
      return {{.kind = PolicyActionKind::kRefuse,
               .turn = job.turn->id,
               .error = ErrorKind::kTeamLimit}};
    }
    retries_.OnFirstAttempt(pool_, now);
    const AdmissionDecision verdict =
        admission_.OnArrival(query, HooksAt(now), now);
    if (verdict.kind == AdmissionDecisionKind::kRefuse) {
      limiter_.Refund(query.team, TokensOf(query));
    }
    return ToActions({verdict});
  }

  // Counted when it was admitted.
  void OnDispatched(const Job&, uint32_t, TimePoint) override {}

  void OnFirstToken(const Job& job, uint32_t server, TimePoint now) override {
    const RouteQuery query = QueryOf(job);
    router_.OnFirstByte(IdOf(server), query, now);
    if (job.attempts == 1) {
      admission_.OnFirstByte(query, now - job.turn->arrival);
    }
  }

  PolicyActions OnEnded(const Job& job,
                        uint32_t server,
                        DispatchOutcome end,
                        TimePoint now) override {
    router_.OnEnded(IdOf(server), QueryOf(job), end, now);
    PolicyActions actions = ToActions(admission_.Advance(HooksAt(now), now));
    if (end == DispatchOutcome::kCompleted ||
        end == DispatchOutcome::kCancelled) {
      return actions;
    }
    const auto delay = job.attempts < kAttempts
                           ? retries_.TakeRetry(pool_, job.attempts + 1, now)
                           : std::nullopt;
    PolicyAction action;
    action.turn = job.turn->id;
    action.kind =
        delay ? PolicyActionKind::kRetryLater : PolicyActionKind::kRefuse;
    action.delay = delay.value_or(Duration(0));
    actions.push_back(action);
    return actions;
  }

  void OnCallerGone(const Job& job) override {
    admission_.OnCallerGone(RequestId(std::to_string(job.turn->id)));
  }

  void OnLoadReport(uint32_t,
                    const LoadReport& report,
                    TimePoint now) override {
    router_.OnLoadReport(report, now);
  }

  void OnCacheEvent(const CacheEvent& event, TimePoint now) override {
    router_.OnCacheEvent(event, now);
  }

  void SetLeaving(const std::vector<bool>& leaving) override {
    std::set<ServerId> ids;
    for (uint32_t i = 0; i < leaving.size(); ++i) {
      if (leaving[i]) {
        ids.insert(IdOf(i));
      }
    }
    router_.SetLeaving(std::move(ids));
  }

  PolicyActions OnTick(TimePoint now) override {
    router_.OnTick(now);
    return ToActions(admission_.Advance(HooksAt(now), now));
  }

  DemandDigest MakeDigest(TimePoint now) override {
    return limiter_.MakeDigest(now);
  }

  void OnDigest(const DemandDigest& digest, TimePoint now) override {
    limiter_.OnDigest(digest, now);
  }

 private:
  static ServerId IdOf(uint32_t server) {
    return ServerId("server-" + std::to_string(server));
  }

  AdmissionHooks HooksAt(TimePoint now) {
    return {[this, now](const RouteQuery& query) {
              return router_.Choose(query, now);
            },
            [this, now](const RouteQuery& query, const RouteChoice& choice) {
              router_.OnDispatched(choice.server.id, query, now);
            }};
  }

  // A request that already ran in part goes on without waiting in line.
  PolicyActions Resume(const RouteQuery& query, TimePoint now) {
    auto choice = router_.Choose(query, now);
    PolicyAction action;
    action.turn = uint32_t(std::stoul(query.request.value()));
    if (!choice) {
      action.kind = PolicyActionKind::kRefuse;
      return {action};
    }
    router_.OnDispatched(choice.value().server.id, query, now);
    action.server = NumberOf(choice.value().server.id.value());
    action.priority = kInteractivePriority;
    return {action};
  }

  PolicyActions ToActions(const std::vector<AdmissionDecision>& verdicts) {
    PolicyActions actions;
    for (const AdmissionDecision& verdict : verdicts) {
      if (verdict.kind == AdmissionDecisionKind::kQueue) {
        continue;
      }
      PolicyAction action;
      action.turn = uint32_t(std::stoul(verdict.request.value()));
      if (verdict.kind == AdmissionDecisionKind::kRefuse) {
        action.kind = PolicyActionKind::kRefuse;
        action.error = verdict.error;
      } else {
        action.server = NumberOf(verdict.choice.server.id.value());
        action.priority = verdict.query.request_class == RequestClass::kBatch
                              ? 0
                              : kInteractivePriority;
      }
      actions.push_back(action);
    }
    return actions;
  }

  const PoolId pool_{"chat"};
  Router router_;
  Admission admission_;
  TeamLimiter limiter_;
  RetryBudget retries_;
};

}  // namespace

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> names = {"product",
                                                 "round_robin",
                                                 "least_loaded",
                                                 "least_reported",
                                                 "power_of_two",
                                                 "rendezvous",
                                                 "product_without_hot_list"};
  return names;
}

std::unique_ptr<Policy> MakePolicy(const std::string& name,
                                   const Deployment& deployment,
                                   ConfigurationPtr config,
                                   uint32_t node,
                                   uint64_t seed) {
  const uint64_t own_seed = HashPair(seed, node + 1);
  if (name == "product" || name == "product_without_hot_list") {
    return std::make_unique<ProductPolicy>(config, node, own_seed,
                                           name == "product");
  }
  return MakeBaseline(name, deployment, *config, own_seed);
}

}  // namespace qh::bench
