// The fleets and workload mixes that the routing bench runs.

#ifndef BENCHMARKS_ROUTING_DEPLOYMENT_H_
#define BENCHMARKS_ROUTING_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "fakes/fake_engine.h"
#include "qh_config/configuration.h"
#include "qh_core/errors/result.h"

namespace qh::bench {

// One kind of conversation.
struct Workload {
  std::string name;
  // Share of the conversations.
  double share = 0;
  RequestClass request_class = RequestClass::kInteractive;
  // Prompt beginnings shared by many conversations: how many, how long.
  uint32_t shared_prompts = 1;
  uint32_t shared_tokens = 512;
  // Tokens of the first turn beyond the shared beginning, low and high.
  uint32_t first_low = 0;
  uint32_t first_high = 0;
  // Turns after the first, low and high, and the tokens each adds.
  uint32_t more_turns_low = 0;
  uint32_t more_turns_high = 0;
  uint32_t turn_low = 0;
  uint32_t turn_high = 0;
  uint32_t output_low = 0;
  uint32_t output_high = 0;
  // Mean time between an answer and the next turn.
  Duration think = std::chrono::seconds(6);
  // How long the caller waits for the first token.
  Duration patience = std::chrono::seconds(5);
};

struct Deployment {
  std::string name;
  uint32_t nodes = 5;
  uint32_t servers = 20;
  uint32_t domains = 4;
  // Share of the conversations of each team; all teams weigh the same.
  std::vector<double> team_shares;
  std::vector<Workload> workloads;
  MeasureWeights weights;
  FakeEngineOptions engine;
};

// Returns the deployment called `name`; fails with kConfigInvalid.
Result<Deployment> FindDeployment(const std::string& name);

// Returns the deployment as a configuration; `tokens_per_minute` are the teams'
// limits.
ConfigurationPtr MakeConfiguration(
    const Deployment& deployment,
    const std::vector<uint64_t>& tokens_per_minute);

// Price of server number `server` per hour: two of three machines are
// reclaimable and cost about a third; domains differ by up to a tenth.
double PricePerHour(const Deployment& deployment, uint32_t server);

// Failure domain of server number `server`.
uint32_t DomainOf(const Deployment& deployment, uint32_t server);

// Seconds of one server's time that a request takes in a full batch.
double ServerSeconds(const FakeEngineOptions& engine,
                     double computed_prompt_tokens,
                     double output_tokens);

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_DEPLOYMENT_H_
