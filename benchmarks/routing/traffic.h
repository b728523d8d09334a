// The requests of one run, fixed before it, so that every policy meets the same
// ones at the same times.

#ifndef BENCHMARKS_ROUTING_TRAFFIC_H_
#define BENCHMARKS_ROUTING_TRAFFIC_H_

#include <memory>
#include <span>
#include <vector>

#include "benchmarks/routing/deployment.h"
#include "qh_core/random/rng.h"

namespace qh::bench {

// One turn of a conversation.
struct Turn {
  uint32_t id = 0;
  // Node that the caller connects to.
  uint32_t node = 0;
  uint32_t team = 0;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint arrival;
  // When the caller stops waiting for the first token.
  TimePoint deadline;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  // Blocks of the whole conversation; the prompt covers its beginning.
  std::shared_ptr<const std::vector<uint64_t>> chain;

  // Full blocks of the prompt.
  std::span<const uint64_t> prompt_blocks() const;
  // Full blocks of prompt and answer.
  std::span<const uint64_t> whole_blocks() const;
};

struct TrafficOptions {
  uint64_t seed = 1;
  // Offered load as a share of the nominal capacity.
  double load = 1;
  Duration length = std::chrono::seconds(150);
  // From hot_from to hot_until this share of the new conversations of class
  // interactive begins with one and the same long text.
  double hot_share = 0;
  Duration hot_from{};
  Duration hot_until{};
  // The first team sends this many times its share.
  double flood = 1;
};

// Returns the turns by arrival. Nominal capacity is the rate at which the fleet
// serves the mix with full batches when every server has the shared prompt
// beginnings cached and no conversation: what perfect balancing without any
// regard to prefixes would reach.
std::vector<Turn> MakeTraffic(const Deployment& deployment,
                              const TrafficOptions& options);

// Tokens per second that each team offers at load 1.
std::vector<double> NominalTokensPerSecond(const Deployment& deployment);

}  // namespace qh::bench

#endif  // BENCHMARKS_ROUTING_TRAFFIC_H_
