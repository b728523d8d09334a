#include "benchmarks/routing/run_result.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>

namespace qh::bench {
namespace {

using nlohmann::json;

constexpr Duration kOvershootWindow = std::chrono::seconds(10);

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const auto at = values.begin() + ptrdiff_t(q * double(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double GapQuantile(const std::array<uint64_t, 2'000>& gaps, double q) {
  uint64_t sum = 0;
  for (const uint64_t count : gaps) {
    sum += count;
  }
  uint64_t seen = 0;
  for (size_t i = 0; i < gaps.size(); ++i) {
    seen += gaps[i];
    if (sum > 0 && double(seen) >= q * double(sum)) {
      return double(i);
    }
  }
  return 0;
}

double TokensOf(const Turn& turn) {
  return double(turn.prompt_tokens) + turn.output_tokens;
}

bool InDeadline(const Turn& turn, const TurnResult& result) {
  return result.answered && turn.arrival + result.first_token <= turn.deadline;
}

bool InTarget(const Turn& turn, const TurnResult& result) {
  return InDeadline(turn, result) &&
         (turn.request_class == RequestClass::kBatch ||
          result.first_token <= kFirstTokenTarget);
}

// Jain's index over what each team got of its max-min fair share.
double JainFairness(const std::vector<double>& demand,
                    const std::vector<double>& served) {
  double left = 0;
  for (const double tokens : served) {
    left += tokens;
  }
  std::vector<double> fair(demand.size(), 0);
  std::vector<size_t> open;
  for (size_t i = 0; i < demand.size(); ++i) {
    if (demand[i] > 0) {
      open.push_back(i);
    }
  }
  const size_t teams = open.size();
  while (!open.empty()) {
    const double each = left / double(open.size());
    std::vector<size_t> larger;
    for (const size_t i : open) {
      if (demand[i] <= each) {
        fair[i] = demand[i];
        left -= demand[i];
      } else {
        larger.push_back(i);
      }
    }
    if (larger.size() == open.size()) {
      for (const size_t i : open) {
        fair[i] = each;
      }
      break;
    }
    open = std::move(larger);
  }
  double sum = 0;
  double squares = 0;
  for (size_t i = 0; i < demand.size(); ++i) {
    if (fair[i] > 0) {
      const double share = std::min(1.0, served[i] / fair[i]);
      sum += share;
      squares += share * share;
    }
  }
  return squares > 0 ? sum * sum / (double(teams) * squares) : 0;
}

double LargestOvershoot(const std::vector<Turn>& turns,
                        const std::vector<uint64_t>& tokens_per_minute,
                        const RunResult& result) {
  double largest = 0;
  for (size_t team = 0; team < tokens_per_minute.size(); ++team) {
    if (tokens_per_minute[team] == 0) {
      continue;
    }
    std::vector<std::pair<TimePoint, double>> admitted;
    for (const Turn& turn : turns) {
      if (turn.team == team && result.turns[turn.id].admitted) {
        admitted.emplace_back(result.turns[turn.id].admitted_at,
                              TokensOf(turn));
      }
    }
    std::sort(admitted.begin(), admitted.end());
    const double limit = double(tokens_per_minute[team]) / 60 *
                         double(kOvershootWindow.count()) / 1e6;
    double window = 0;
    size_t first = 0;
    for (const auto& [at, tokens] : admitted) {
      window += tokens;
      while (at - admitted[first].first >= kOvershootWindow) {
        window -= admitted[first++].second;
      }
      largest = std::max(largest, window / limit - 1);
    }
  }
  return largest;
}

}  // namespace

std::string SummaryJson(const Deployment& deployment,
                        const std::vector<Turn>& turns,
                        const std::vector<uint64_t>& tokens_per_minute,
                        const RunResult& result) {
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t timed_out = 0;
  uint64_t in_deadline = 0;
  uint64_t in_target = 0;
  uint64_t interactive_in_target = 0;
  std::vector<double> first_tokens;
  std::vector<double> demand(deployment.team_shares.size(), 0);
  std::vector<double> served(deployment.team_shares.size(), 0);
  uint64_t interactive = 0;
  uint64_t interactive_in_deadline = 0;
  for (const Turn& turn : turns) {
    const TurnResult& entry = result.turns[turn.id];
    answered += entry.answered;
    refused += entry.refused;
    timed_out += entry.timed_out;
    in_deadline += InDeadline(turn, entry);
    in_target += InTarget(turn, entry);
    demand[turn.team] += TokensOf(turn);
    served[turn.team] += InDeadline(turn, entry) ? TokensOf(turn) : 0;
    if (turn.request_class == RequestClass::kInteractive) {
      ++interactive;
      interactive_in_deadline += InDeadline(turn, entry);
      if (entry.admitted && !entry.refused) {
        // A request without a first token counts with its whole wait.
        const Duration waited = entry.first_token.count() > 0
                                    ? entry.first_token
                                    : turn.deadline - turn.arrival;
        first_tokens.push_back(double(waited.count()) / 1e3);
        interactive_in_target += waited <= kFirstTokenTarget;
      }
    }
  }
  json reasons = json::object();
  for (const auto& [kind, count] : result.refusals) {
    reasons[std::string(AnswerFor(kind).name)] = count;
  }
  const double offered = std::max<double>(1, double(turns.size()));
  const json summary = {
      {"offered", turns.size()},
      {"answered", answered},
      {"refused", refused},
      {"timed_out", timed_out},
      {"in_deadline_share", double(in_deadline) / offered},
      {"in_target_share", double(in_target) / offered},
      {"interactive_in_deadline_share",
       double(interactive_in_deadline) /
           std::max<double>(1, double(interactive))},
      {"first_token_in_target_share",
       double(interactive_in_target) /
           std::max<double>(1, double(first_tokens.size()))},
      {"ttft_p50_ms", Quantile(first_tokens, 0.5)},
      {"ttft_p95_ms", Quantile(first_tokens, 0.95)},
      {"itl_p95_ms", GapQuantile(result.token_gaps, 0.95)},
      {"recomputed_tokens", result.recomputed_tokens},
      {"computed_tokens", result.computed_tokens},
      {"prompt_tokens", result.prompt_tokens},
      {"cost_per_answered_in_target",
       result.cost / std::max<double>(1, double(in_target))},
      {"jain_fairness", JainFairness(demand, served)},
      {"limit_overshoot_max",
       LargestOvershoot(turns, tokens_per_minute, result)},
      {"dispatches", result.dispatches},
      {"retries", result.retries},
      {"refused_by", reasons},
  };
  return summary.dump();
}

std::string LowerBoundJson(const Deployment& deployment,
                           const std::vector<Turn>& turns,
                           Duration length) {
  const uint64_t capacity = uint64_t(deployment.servers) *
                            deployment.engine.memory_tokens /
                            deployment.engine.block_tokens;
  std::list<uint64_t> lru;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
  std::unordered_set<uint64_t> seen;
  uint64_t recomputed = 0;
  double seconds = 0;
  for (const Turn& turn : turns) {
    uint32_t cached = 0;
    bool leading = true;
    for (const uint64_t block : turn.prompt_blocks()) {
      leading = leading && cache.contains(block);
      cached += leading ? deployment.engine.block_tokens : 0;
      recomputed +=
          !leading && seen.contains(block) ? deployment.engine.block_tokens : 0;
    }
    const auto blocks = turn.whole_blocks();
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
      const auto found = cache.find(*block);
      if (found != cache.end()) {
        lru.splice(lru.begin(), lru, found->second);
      } else {
        lru.push_front(*block);
        cache[*block] = lru.begin();
      }
      seen.insert(*block);
    }
    while (cache.size() > capacity) {
      cache.erase(lru.back());
      lru.pop_back();
    }
    seconds += ServerSeconds(deployment.engine, turn.prompt_tokens - cached,
                             turn.output_tokens);
  }
  std::vector<double> prices;
  for (uint32_t i = 0; i < deployment.servers; ++i) {
    prices.push_back(PricePerHour(deployment, i));
  }
  std::sort(prices.begin(), prices.end());
  const double run_seconds = double(length.count()) / 1e6;
  double servers_left = seconds / run_seconds;
  double cost = 0;
  for (const double price : prices) {
    const double part = std::clamp(servers_left, 0.0, 1.0);
    cost += part * price * run_seconds / 3'600;
    servers_left -= part;
  }
  return json{{"recomputed_tokens", recomputed},
              {"servers", seconds / run_seconds},
              {"cost_per_answered_in_target",
               cost / std::max<double>(1, double(turns.size()))}}
      .dump();
}

}  // namespace qh::bench
