// Simulates rollouts at several nodes without a network: the nodes' decisions,
// their servers and callers, delayed and lost reports, also through relays, a
// store with conditional writes, and changes of the lease holder.

#ifndef TESTS_QH_GATEWAY_ROLLOUT_SIMULATION_H_
#define TESTS_QH_GATEWAY_ROLLOUT_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "qh_gateway/decisions/rollout/rollout_book.h"

namespace qh {

// How the new version behaves.
enum class VersionKind {
  kGood,
  // Slow for the first 1.2 s of each server.
  kCold,
  kBadAtOnce,
  // Fails from 6 s after the order.
  kBadLate,
  // Fails only at servers that carry the load of an old one.
  kBadUnderLoad,
  kBadOnOneRoute,
  // Fails for 1.5 s in each 3 s.
  kFlapping,
  // Takes four times as long, on all routes or on one.
  kSlow,
  kSlowOnOneRoute,
};

struct RolloutScenario {
  size_t nodes = 1;
  VersionKind kind = VersionKind::kGood;
  uint64_t seed = 1;
  // Requests per second of all nodes.
  double rate = 400;
  Duration duration = std::chrono::seconds(12);
  size_t old_servers = 10;
  // Changes of the lease holder, restarts, cut off nodes, outages and restores
  // of the store, at random times.
  bool disrupted = false;
  // Calls of the store arrive at times after the writer has lost the lease.
  bool late_writes = false;
};

// What the users see of a rollout.
struct RolloutOutcome {
  std::string state = "none";
  std::string reason;
  // When the state became final, from the order.
  Duration ended = Duration::zero();
  uint64_t requests_until_deadline = 0;
  uint64_t exposed_until_deadline = 0;
  uint64_t bad_responses = 0;
  uint64_t refused = 0;
  // Broken rules, in words.
  std::vector<std::string> violations;
};

// Runs the scenario until well after the deadline.
RolloutOutcome Simulate(const RolloutScenario& scenario);

bool IsBad(VersionKind kind);

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_ROLLOUT_SIMULATION_H_
