#include "qh_gateway/decisions/placement/engine_estimate.h"

#include <algorithm>

namespace qh {
namespace {

// Time for which a slot of a full engine stays occupied.
constexpr double kSlotHoldMs = 1'500;
// Slowdown of an engine's first event by each request in flight there.
constexpr double kMsPerOpenRequest = 1.0;
// Penalty for each thousand prompt tokens that have to be computed again, so
// that a short wait is preferred to double work.
constexpr double kRecomputePenaltyMs = 12;
// Prefill time that grows with the square of the prompt, for each million pairs
// of tokens on an average engine. Engines take 0.165 to 0.35 ms; the rest is
// learned as a part of the prefill rate.
constexpr double kMsPerMillionPairs = 0.25;
constexpr double kPairsPerUnit = 1e6;
// Prompt tokens that an engine computes in one step at most.
constexpr double kChunkTokens = 4'096;
// Length of a step without prefill, and what each request in the batch adds.
constexpr double kStepMs = 3.6;
constexpr double kStepMsPerRequest = 0.1;
// A gap costs nothing up to this share of its target, and as much as a wait of
// the latency target at the whole of it. A stream that is surely late can't
// cost much more: at most kMaxGapCost latency targets.
constexpr double kFreeGapShare = 0.5;
constexpr double kMaxGapCost = 1.5;
// Share of that cost for the request's own stream: most of the prefill that
// waits now is done when its first event comes.
constexpr double kOwnGapShare = 0.5;
// That cost applies to a server with streams in this share of its slots, and in
// proportion to one with more or fewer.
constexpr double kStreamShare = 0.25;

// Returns the cost of a gap in latency targets.
double GapCost(double gap_ms, double target_ms) {
  if (target_ms <= 0) {
    return 0;
  }
  return std::clamp((gap_ms / target_ms - kFreeGapShare) / (1 - kFreeGapShare),
                    0.0, kMaxGapCost);
}

}  // namespace

double ExpectedKvTokens(const CallerRequest& request) {
  const double most = request.max_output_tokens;
  const double expected = request.expected_output_tokens;
  const double half_of_most = most / 2;
  const double bounded = most > 0 ? std::min(expected, most) : expected;
  return request.prompt_tokens + (expected > 0 ? bounded : half_of_most);
}

EngineEstimate EngineEstimate::Of(const EngineState& engine,
                                  const EngineRequest& request) {
  EngineEstimate estimate;
  const double rate = engine.service_rate * engine.speed;
  const double cached = std::min(request.cached_tokens, request.prompt_tokens);
  const double tokens = request.prompt_tokens - cached;
  const double million_pairs =
      (request.prompt_tokens * request.prompt_tokens - cached * cached) /
      kPairsPerUnit;
  estimate.prefill_tokens =
      tokens + kMsPerMillionPairs * million_pairs * engine.service_rate;
  const double waiting = engine.outstanding.prefill_tokens;
  const double open = engine.outstanding.requests;
  const double slots = engine.slots;
  estimate.ttfb_ms = kIdleEngineTtfbMs + kMsPerOpenRequest * open +
                     (waiting + estimate.prefill_tokens) / rate;
  if (open >= slots) {
    estimate.ttfb_ms += (open - slots + 1) / slots * kSlotHoldMs;
  }

  const double kv_tokens = engine.outstanding.kv_tokens + request.kv_tokens;
  const double kv_wait_ms =
      engine.kv_capacity > 0 && kv_tokens > engine.kv_capacity
          ? (kv_tokens / engine.kv_capacity - 1 + 1 / slots) * kSlotHoldMs
          : 0;

  // The steps of one event compute a limited number of prompt tokens. Those of
  // this prompt come first in the sum, because tokens of a long prompt take
  // longer.
  const double steps = engine.tokens_per_event;
  const double steps_ms = steps * (kStepMs + kStepMsPerRequest * (open + 1));
  const double window = steps * kChunkTokens;
  const double own = std::min(tokens, window);
  const double own_work =
      tokens > 0 ? own / tokens * estimate.prefill_tokens : 0;
  const double gap_before_ms = steps_ms + std::min(waiting, window) / rate;
  estimate.gap_ms =
      steps_ms + (own_work + std::min(waiting, window - own)) / rate;

  const double streams = std::min(open, slots) / (kStreamShare * slots);
  const double others_cost =
      streams *
      std::max(0.0, GapCost(estimate.gap_ms, request.service_gap_target_ms) -
                        GapCost(gap_before_ms, request.service_gap_target_ms));
  const double own_cost =
      request.is_stream
          ? kOwnGapShare * GapCost(gap_before_ms, request.gap_target_ms)
          : 0;
  estimate.penalty_ms = kv_wait_ms +
                        kRecomputePenaltyMs * estimate.prefill_tokens / 1'000 +
                        request.latency_target_ms * (others_cost + own_cost);
  return estimate;
}

}  // namespace qh
