#include "benchmarks/routing/traffic.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh::bench {
namespace {

constexpr uint32_t kBlock = 64;
constexpr uint32_t kHotTokens = 3'008;
// Callers keep the address of a node; some connect to another one.
constexpr double kOtherNodeShare = 0.15;
// Generation time of an answer that the next turn's arrival assumes.
constexpr Duration kPerToken = std::chrono::milliseconds(25);
constexpr uint32_t kSampleConversations = 4'000;

// A conversation before it has an arrival time.
struct Conversation {
  uint32_t team = 0;
  const Workload* workload = nullptr;
  bool hot = false;
  uint32_t shared_prompt = 0;
  // Prompt and output tokens, by turn.
  std::vector<std::pair<uint32_t, uint32_t>> turns;
};

uint32_t Between(Rng& rng, uint32_t low, uint32_t high) {
  return low + uint32_t(rng.Below(high - low + 1));
}

size_t Pick(Rng& rng, const std::vector<double>& weights) {
  double sum = 0;
  for (const double weight : weights) {
    sum += weight;
  }
  double at = rng.Uniform() * sum;
  for (size_t i = 0; i < weights.size(); ++i) {
    at -= weights[i];
    if (at < 0) {
      return i;
    }
  }
  return weights.size() - 1;
}

Conversation MakeConversation(const Deployment& deployment,
                              const std::vector<double>& team_shares,
                              double hot_share,
                              Rng& rng) {
  std::vector<double> shares;
  for (const Workload& workload : deployment.workloads) {
    shares.push_back(workload.share);
  }
  Conversation conversation;
  conversation.workload = &deployment.workloads[Pick(rng, shares)];
  const Workload& workload = *conversation.workload;
  conversation.team = uint32_t(Pick(rng, team_shares));
  conversation.shared_prompt = uint32_t(rng.Below(workload.shared_prompts));
  conversation.hot = workload.request_class == RequestClass::kInteractive &&
                     rng.Chance(hot_share);
  uint32_t prompt = (conversation.hot ? kHotTokens : workload.shared_tokens) +
                    Between(rng, workload.first_low, workload.first_high);
  const uint32_t more =
      Between(rng, workload.more_turns_low, workload.more_turns_high);
  for (uint32_t turn = 0; turn <= more; ++turn) {
    const uint32_t output =
        Between(rng, workload.output_low, workload.output_high);
    conversation.turns.emplace_back(prompt, output);
    prompt += output + Between(rng, workload.turn_low, workload.turn_high);
  }
  return conversation;
}

std::shared_ptr<const std::vector<uint64_t>> MakeChain(
    const Conversation& conversation,
    uint64_t unique) {
  const Workload& workload = *conversation.workload;
  const uint32_t shared =
      conversation.hot ? kHotTokens : workload.shared_tokens;
  const uint64_t shared_text =
      conversation.hot
          ? 7
          : Hash64(workload.name, 100 + conversation.shared_prompt);
  const auto& last = conversation.turns.back();
  auto chain = std::make_shared<std::vector<uint64_t>>();
  uint64_t hash = 0;
  for (uint32_t at = kBlock; at <= last.first + last.second; at += kBlock) {
    hash = HashPair(hash, at <= shared ? shared_text : unique);
    chain->push_back(hash);
  }
  return chain;
}

}  // namespace

std::span<const uint64_t> Turn::prompt_blocks() const {
  return std::span(*chain).first(prompt_tokens / kBlock);
}

std::span<const uint64_t> Turn::whole_blocks() const {
  return std::span(*chain).first((prompt_tokens + output_tokens) / kBlock);
}

std::vector<Turn> MakeTraffic(const Deployment& deployment,
                              const TrafficOptions& options) {
  Rng rng(options.seed, 1);
  std::vector<double> shares = deployment.team_shares;
  // Conversations a second at load 1.
  Rng sample(1, 2);
  double seconds = 0;
  for (uint32_t i = 0; i < kSampleConversations; ++i) {
    const Conversation conversation =
        MakeConversation(deployment, shares, 0, sample);
    for (const auto& [prompt, output] : conversation.turns) {
      const uint32_t own = prompt - conversation.workload->shared_tokens;
      seconds += ServerSeconds(deployment.engine, own, output);
    }
  }
  const double per_second = deployment.servers * kSampleConversations / seconds;
  const double extra = (options.flood - 1) * shares[0];
  shares[0] += extra;
  const double gap = 1e6 / (per_second * options.load * (1 + extra));
  // Conversations begin before the run, so that it starts in the steady state.
  const Duration lead = std::chrono::seconds(60);
  std::vector<Turn> turns;
  uint64_t unique = HashPair(options.seed, 99);
  double at = -double(lead.count());
  while (at < double(options.length.count())) {
    const bool hot_time = at >= double(options.hot_from.count()) &&
                          at < double(options.hot_until.count());
    const Conversation conversation = MakeConversation(
        deployment, shares, hot_time ? options.hot_share : 0, rng);
    const auto chain = MakeChain(conversation, ++unique);
    const auto home = uint32_t(rng.Below(deployment.nodes));
    double arrival = at;
    for (const auto& [prompt, output] : conversation.turns) {
      Turn turn;
      turn.node = rng.Chance(kOtherNodeShare)
                      ? uint32_t(rng.Below(deployment.nodes))
                      : home;
      turn.team = conversation.team;
      turn.request_class = conversation.workload->request_class;
      turn.arrival = TimePoint(Duration(int64_t(arrival)));
      turn.deadline = turn.arrival + conversation.workload->patience;
      turn.prompt_tokens = prompt;
      turn.output_tokens = output;
      turn.chain = chain;
      if (arrival >= 0 && arrival < double(options.length.count())) {
        turns.push_back(turn);
      }
      arrival += double((kPerToken * output).count()) +
                 rng.Exponential(double(conversation.workload->think.count()));
    }
    at += rng.Exponential(gap);
  }
  std::stable_sort(
      turns.begin(), turns.end(),
      [](const Turn& a, const Turn& b) { return a.arrival < b.arrival; });
  for (size_t i = 0; i < turns.size(); ++i) {
    turns[i].id = uint32_t(i);
  }
  return turns;
}

std::vector<double> NominalTokensPerSecond(const Deployment& deployment) {
  TrafficOptions options;
  options.seed = 1;
  std::vector<double> tokens(deployment.team_shares.size(), 0);
  for (const Turn& turn : MakeTraffic(deployment, options)) {
    tokens[turn.team] += turn.prompt_tokens + turn.output_tokens;
  }
  for (double& entry : tokens) {
    entry /= double(options.length.count()) / 1e6;
  }
  return tokens;
}

}  // namespace qh::bench
