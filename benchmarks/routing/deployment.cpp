#include "benchmarks/routing/deployment.h"

namespace qh::bench {
namespace {

constexpr double kOnDemandPrice = 2.1;
constexpr double kReclaimablePrice = 0.7;
constexpr double kDomainSpread = 0.1;
constexpr auto kBatchPatience = std::chrono::seconds(60);

Deployment Rettungsschwimm() {
  Deployment deployment;
  deployment.name = "rettungsschwimm";
  deployment.team_shares = {0.35, 0.3, 0.15, 0.1, 0.1};
  deployment.weights = {.recomputed_tokens = 2, .cost = 1};
  deployment.workloads = {
      {.name = "incident_report",
       .share = 0.3,
       .shared_prompts = 5,
       .shared_tokens = 512,
       .first_low = 1'500,
       .first_high = 4'000,
       .more_turns_low = 2,
       .more_turns_high = 5,
       .turn_low = 60,
       .turn_high = 300,
       .output_low = 120,
       .output_high = 350,
       .think = std::chrono::seconds(8)},
      {.name = "coaching",
       .share = 0.3,
       .shared_prompts = 10,
       .shared_tokens = 768,
       .first_low = 40,
       .first_high = 120,
       .more_turns_low = 3,
       .more_turns_high = 9,
       .turn_low = 20,
       .turn_high = 100,
       .output_low = 60,
       .output_high = 200,
       .think = std::chrono::seconds(5)},
      {.name = "short_answer",
       .share = 0.3,
       .shared_prompts = 20,
       .shared_tokens = 640,
       .first_low = 60,
       .first_high = 250,
       .output_low = 20,
       .output_high = 80},
      {.name = "remarking",
       .share = 0.1,
       .request_class = RequestClass::kBatch,
       .shared_prompts = 20,
       .shared_tokens = 640,
       .first_low = 200,
       .first_high = 800,
       .output_low = 60,
       .output_high = 200,
       .patience = kBatchPatience},
  };
  return deployment;
}

Deployment Menzaterv() {
  Deployment deployment;
  deployment.name = "menzaterv";
  deployment.servers = 10;
  deployment.team_shares = {0.4, 0.25, 0.15, 0.1, 0.1};
  deployment.weights = {.recomputed_tokens = 1, .cost = 2};
  deployment.workloads = {
      {.name = "meal_plan",
       .share = 0.62,
       .shared_prompts = 12,
       .shared_tokens = 960,
       .first_low = 30,
       .first_high = 100,
       .more_turns_low = 0,
       .more_turns_high = 3,
       .turn_low = 20,
       .turn_high = 80,
       .output_low = 60,
       .output_high = 180,
       .think = std::chrono::seconds(6)},
      {.name = "menu_draft",
       .share = 0.1,
       .request_class = RequestClass::kBatch,
       .shared_prompts = 6,
       .shared_tokens = 1'280,
       .first_low = 300,
       .first_high = 1'200,
       .output_low = 500,
       .output_high = 1'000,
       .patience = kBatchPatience},
      {.name = "receipt",
       .share = 0.28,
       .request_class = RequestClass::kBatch,
       .shared_prompts = 2,
       .shared_tokens = 512,
       .first_low = 120,
       .first_high = 400,
       .output_low = 15,
       .output_high = 40,
       .patience = kBatchPatience},
  };
  return deployment;
}

Deployment LargeCell() {
  Deployment deployment = Rettungsschwimm();
  const Deployment other = Menzaterv();
  deployment.name = "large-cell";
  deployment.nodes = 25;
  deployment.servers = 230;
  deployment.domains = 9;
  deployment.weights = {};
  deployment.team_shares.assign(20, 0.03);
  deployment.team_shares[0] = 0.25;
  deployment.team_shares[1] = 0.18;
  for (const Workload& workload : other.workloads) {
    deployment.workloads.push_back(workload);
  }
  for (Workload& workload : deployment.workloads) {
    workload.share /= 2;
    workload.shared_prompts *= 8;
  }
  return deployment;
}

}  // namespace

Result<Deployment> FindDeployment(const std::string& name) {
  for (const auto& make : {Rettungsschwimm, Menzaterv, LargeCell}) {
    Deployment deployment = make();
    if (deployment.name == name) {
      return deployment;
    }
  }
  return Error(ErrorKind::kConfigInvalid,
               "unknown deployment " + name +
                   "; one of rettungsschwimm, menzaterv, large-cell");
}

ConfigurationPtr MakeConfiguration(
    const Deployment& deployment,
    const std::vector<uint64_t>& tokens_per_minute) {
  auto config = std::make_shared<Configuration>();
  config->version = 1;
  config->deployment = deployment.name;
  config->weights = deployment.weights;
  ModelPool pool;
  pool.id = PoolId("chat");
  pool.models = {{"chat", {"1"}, {}}};
  pool.slots_per_server = deployment.engine.slots;
  for (uint32_t i = 0; i < deployment.servers; ++i) {
    BackendServer server;
    server.id = ServerId("server-" + std::to_string(i));
    server.failure_domain =
        FailureDomainId("domain-" + std::to_string(DomainOf(deployment, i)));
    pool.servers.push_back(server);
  }
  config->model_pools.push_back(pool);
  for (size_t i = 0; i < deployment.team_shares.size(); ++i) {
    Team team;
    team.id = TeamId("team-" + std::to_string(i));
    team.tokens_per_minute = tokens_per_minute[i];
    config->teams.push_back(team);
  }
  return config;
}

double PricePerHour(const Deployment& deployment, uint32_t server) {
  const bool on_demand = server % 3 == 2;
  const double domain = DomainOf(deployment, server);
  return (on_demand ? kOnDemandPrice : kReclaimablePrice) *
         (1 + kDomainSpread * domain / deployment.domains);
}

uint32_t DomainOf(const Deployment& deployment, uint32_t server) {
  return server % deployment.domains;
}

double ServerSeconds(const FakeEngineOptions& engine,
                     double computed_prompt_tokens,
                     double output_tokens) {
  const double step = (double(engine.base_step.count()) +
                       double(engine.per_sequence.count()) * engine.slots) /
                      1e6;
  return computed_prompt_tokens / engine.prefill_per_second +
         output_tokens * step / engine.slots;
}

}  // namespace qh::bench
