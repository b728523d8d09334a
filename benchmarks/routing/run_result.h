// What one run of one policy gave.

#ifndef BENCHMARKS_ROUTING_RUN_RESULT_H_
#define BENCHMARKS_ROUTING_RUN_RESULT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "benchmarks/routing/traffic.h"

namespace qh::bench {

// First token of an interactive request within this time is in target.
inline constexpr Duration kFirstTokenTarget = std::chrono::milliseconds(630);

// How one turn went.
struct TurnResult {
  bool admitted = false;
  bool answered = false;
  bool refused = false;
  // The caller stopped waiting before the first token.
  bool timed_out = false;
  TimePoint admitted_at;
  // From arrival; zero until the first token.
  Duration first_token{};
};

struct RunResult {
  std::vector<TurnResult> turns;
  // Milliseconds between two tokens; the last entry holds all longer gaps.
  std::array<uint64_t, 2'000> token_gaps{};
  uint64_t computed_tokens = 0;
  // Computed, though an earlier request had it computed already.
  uint64_t recomputed_tokens = 0;
  // Prompt tokens of all dispatches that had a first token.
  uint64_t prompt_tokens = 0;
  // Sum of the price of the hours that each server was up.
  double cost = 0;
  uint64_t dispatches = 0;
  uint64_t retries = 0;
  // Refusals by reason.
  std::map<ErrorKind, uint64_t> refusals;
};

// Returns the policy's entry in the bench's JSON, as text.
std::string SummaryJson(const Deployment& deployment,
                        const std::vector<Turn>& turns,
                        const std::vector<uint64_t>& tokens_per_minute,
                        const RunResult& result);

// Returns the lower bounds for the same traffic, as JSON text: recomputation
// with one all-knowing cache as large as the fleet's, and the cost with perfect
// packing onto the cheapest servers.
std::string LowerBoundJson(const Deployment& deployment,
                           const std::vector<Turn>& turns,
                           Duration length);

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_RUN_RESULT_H_
