// Team limits over whole deployments with late and lost reports, relays and
// restarts; the order of the requests within a limit.

#include <catch2/catch.hpp>

#include "qh_gateway/team_limit_simulation.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The load of a team with `rate` and some of its variations, by `seed`.
TeamLoad LoadOf(double rate, uint64_t seed) {
  constexpr double kLargeShares[] = {0.1, 0.5, 0.02};
  const int64_t nth = static_cast<int64_t>(seed);
  return {.rate = rate,
          .burst = 2 * rate,
          .usual_share = seed % 2 == 0 ? 0.9 : 0.66,
          .flood_start = milliseconds(1'000 + 1'777 * (nth % 5)),
          .large_share = kLargeShares[seed % 3],
          .first_request = seconds(3 + 4 * (nth % 3))};
}

}  // namespace

// Guards against more use than the limit allows when a team sends 7.5 times its
// usual and the nodes learn of each other's use late: each node took what was
// left for its own, and assumed that its peers had used little of it.
TEST_CASE("a team limit holds over all nodes through a flood") {
  const size_t nodes = GENERATE(5, 34, 76, 118);
  const double rate = GENERATE(36'000.0, 150'000.0, 500'000.0);
  const uint64_t seed = GENERATE(1, 2);
  CAPTURE(nodes, rate, seed);
  const TeamLoad load = LoadOf(rate, seed);
  TeamLimitSimulation simulation(nodes, load, {}, seed);
  simulation.Run(load.flood_start + seconds(9));
  CHECK(simulation.MaxAdmitted() <= simulation.Bound());
  // Far over its limit, the team still gets what the limit grants.
  CHECK(simulation.ServedBetween(
            load.flood_start,
            load.flood_start + TeamLimitSimulation::kFloodLength) >=
        0.9 * rate * ToSeconds(TeamLimitSimulation::kFloodLength));
}

// Guards against refusing a team that stays under its limit, for the sake of
// the bound.
TEST_CASE("a team under its limit is served through late and lost reports") {
  const size_t nodes = GENERATE(5, 34, 118);
  const double rate = GENERATE(150'000.0, 500'000.0);
  CAPTURE(nodes, rate);
  const uint64_t seed = 3;
  TeamLoad load = LoadOf(rate, seed);
  load.flood_factor = 1;
  TeamLimitSimulation simulation(nodes, load, {}, seed);
  simulation.Run(seconds(15));
  CHECK(simulation.all().served_share() >= 0.98);
}

}  // namespace qh::test
