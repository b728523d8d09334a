// The control search finds no broken bound while all safety checks are on, and
// finds one when a check is off.

#include "benchmarks/control/control_search.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace qh::control {
namespace {

// Longest time in seconds until a configuration is in force on every node.
constexpr double kConfigBound = 5.0;
// Longest time in seconds for which leaving servers still get requests.
constexpr double kLeavingBound = 2.0;

SearchOptions Small(uint64_t seed) {
  SearchOptions options;
  options.world.seed = seed;
  options.world.nodes = 16;
  options.length = FromSeconds(120);
  options.quiet = FromSeconds(60);
  return options;
}

}  // namespace

TEST_CASE("with all safety checks on the search finds no broken bound") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const SearchResult result = RunSearch(Small(seed));
    INFO("seed " << seed);
    CHECK(Percentile(result.measures.config_in_force_s, 1.0) <= kConfigBound);
    CHECK(result.measures.work_after_leaving_s <= kLeavingBound);
    CHECK(result.measures.reverts == 0);
    CHECK(result.measures.false_deaths == 0);
    CHECK(result.measures.unhealed == 0);
    CHECK(result.measures.not_ready == 0);
    CHECK(result.misjudged_applies == 0);
    CHECK(result.measures.accepted > 20);
  }
}

TEST_CASE("the same seed gives the same run") {
  const SearchResult one = RunSearch(Small(9));
  const SearchResult two = RunSearch(Small(9));
  CHECK(one.bytes_per_node_per_s == two.bytes_per_node_per_s);
  CHECK(one.measures.config_in_force_s == two.measures.config_in_force_s);
}

TEST_CASE("without the version check the search finds reverts") {
  uint64_t reverts = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    SearchOptions options = Small(seed);
    options.world.node.config.guards.monotonic = false;
    reverts += RunSearch(options).measures.reverts;
  }
  CHECK(reverts > 0);
}

TEST_CASE("without the readiness check the search finds reverts") {
  uint64_t reverts = 0;
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    SearchOptions options = Small(seed);
    options.world.node.config.guards.readiness = false;
    reverts += RunSearch(options).measures.reverts;
  }
  CHECK(reverts > 0);
}

TEST_CASE("without the incarnation check the search finds false deaths") {
  uint64_t wrong = 0;
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    SearchOptions options = Small(seed);
    options.world.node.membership.guards.incarnation = false;
    const SearchResult result = RunSearch(options);
    wrong += result.measures.false_deaths + result.measures.unhealed;
  }
  CHECK(wrong > 0);
}

TEST_CASE(
    "without pushed updates the search finds requests to leaving servers") {
  double longest = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    SearchOptions options = Small(seed);
    options.world.node.membership.guards.push_updates = false;
    longest =
        std::max(longest, RunSearch(options).measures.work_after_leaving_s);
  }
  CHECK(longest > kLeavingBound);
}

}  // namespace qh::control
