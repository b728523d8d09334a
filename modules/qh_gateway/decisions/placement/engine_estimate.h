// Estimates what a request costs at one engine: when its first event comes, and
// what its prefill does to the streams that run there.
//
// Load pattern: an engine runs its requests in one batch. Each step decodes one
// token of each request and computes a chunk of the prompts that wait. An event
// of a stream takes several steps, so that a long prompt, or several prompts at
// once, make all streams there miss the target for the time between two events,
// the more so on a slow engine. Long prompts therefore go where little prefill
// waits and few streams run, and streams go where little prefill waits.
//
// Running requests share the engine's KV cache. When it is full, the engine
// preempts a request, even in the middle of its stream, so that an engine whose
// requests are expected to need more is avoided like one without a free slot.
// The expected need is an upper bound, because prompts may share parts: it
// counts in the choice, but refuses no request.
//
// The functions do no I/O and read no clock.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_ENGINE_ESTIMATE_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_ENGINE_ESTIMATE_H_

#include <cstdint>

#include "qh_gateway/decisions/placement/server_load.h"
#include "qh_gateway/model/caller_request.h"

namespace qh {

// An engine as a candidate for a request.
struct EngineState {
  uint32_t slots = 1;
  // Output tokens in one event of a stream, i.e. steps from one to the next.
  uint32_t tokens_per_event = 1;
  // Capacity of the KV cache in tokens; 0 if it is not known.
  double kv_capacity = 0;
  // Prefill rate of an average engine of the service, in tokens per
  // millisecond, and this engine's relative to it.
  double service_rate = 1;
  double speed = 1;
  // Work of all nodes there.
  OutstandingWork outstanding;
};

// The part of a request that the estimate depends on.
struct EngineRequest {
  double prompt_tokens = 0;
  // Tokens at the beginning of the prompt that the engine has likely cached.
  double cached_tokens = 0;
  // See ExpectedKvTokens.
  double kv_tokens = 0;
  // Whether the answer is a stream, with `gap_target_ms` for its events.
  bool is_stream = false;
  double gap_target_ms = 0;
  // The shortest such target among the streams of the service.
  double service_gap_target_ms = 0;
  double latency_target_ms = 0;
};

struct EngineEstimate {
  // Prompt tokens to compute. For a long prompt it includes the tokens that
  // would take as long as the part of the prefill that grows with the square of
  // the prompt.
  double prefill_tokens = 0;
  // Expected time to the first event.
  double ttfb_ms = 0;
  // Expected longest time between two events of the streams there while the
  // prompt is computed.
  double gap_ms = 0;
  // What the choice costs the service and its streams beyond the wait, as a
  // time that is added to the score.
  double penalty_ms = 0;

  static EngineEstimate Of(const EngineState& engine,
                           const EngineRequest& request);
};

// Returns the tokens that `request` is expected to hold in an engine's KV cache
// at its end: its prompt, and the output that the caller expects or, without an
// estimate, half of the most that it allows.
double ExpectedKvTokens(const CallerRequest& request);

// Time to the first event on an idle engine, without prefill, in milliseconds.
inline constexpr double kIdleEngineTtfbMs = 30;

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_ENGINE_ESTIMATE_H_
