// Seeded search for sequences of events that break the rules of a rollout:
// changes of the lease holder, restarts, cut off nodes, late writes, outages
// and restores of the store, at any time and at 1 to 118 nodes. The rules are
// checked by the simulation: the exposure stays within its bound, nothing is
// sent to a bad version 5 s after its 50th bad response, a bad version is never
// completed, `completed` is only written when no request runs at an old server,
// and a final state never changes.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/rollout_simulation.h"

namespace qh {
namespace {

constexpr VersionKind kKinds[] = {
    VersionKind::kGood,           VersionKind::kCold,
    VersionKind::kBadAtOnce,      VersionKind::kBadLate,
    VersionKind::kBadUnderLoad,   VersionKind::kBadOnOneRoute,
    VersionKind::kFlapping,       VersionKind::kSlow,
    VersionKind::kSlowOnOneRoute,
};

void Search(size_t nodes, uint64_t seeds) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const RolloutScenario scenario{.nodes = nodes,
                                   .kind = kKinds[seed % std::size(kKinds)],
                                   .seed = seed,
                                   .disrupted = true,
                                   .late_writes = true};
    const RolloutOutcome outcome = Simulate(scenario);
    std::string broken;
    for (const std::string& violation : outcome.violations) {
      broken += violation + "; ";
    }
    INFO("nodes " << nodes << ", seed " << seed << ", kind "
                  << seed % std::size(kKinds) << ", ended as " << outcome.state
                  << " (" << outcome.reason << "): " << broken);
    CHECK(outcome.violations.empty());
  }
}

}  // namespace

TEST_CASE("no disturbance breaks the rules of a rollout at one node") {
  Search(1, 120);
}

TEST_CASE("no disturbance breaks the rules of a rollout at 5 nodes") {
  Search(5, 120);
}

TEST_CASE("no disturbance breaks the rules of a rollout at 34 nodes") {
  Search(34, 45);
}

TEST_CASE("no disturbance breaks the rules of a rollout at 118 nodes") {
  Search(118, 18);
}

}  // namespace qh
