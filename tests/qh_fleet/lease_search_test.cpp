// The seeded search for two owners that order one server finds no fault with
// all guards on, and finds one when any single guard is off.

#include "benchmarks/leases/lease_search.h"

#include <catch2/catch.hpp>

namespace qh::leases {
namespace {

constexpr uint64_t kSeeds = 8;

SearchReport Search(uint64_t seed, std::set<Guard> guards_off) {
  SearchSettings settings;
  settings.seed = seed;
  settings.guards_off = std::move(guards_off);
  return LeaseSearch(settings).Run();
}

}  // namespace

TEST_CASE("no two owners order one server and every upgrade completes") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const SearchReport report = Search(seed, {});
    INFO("seed " << seed);
    CHECK(report.two_owner_orders_checked == 0);
    CHECK(report.two_owner_orders_unchecked == 0);
    CHECK(report.stuck_upgrades == 0);
    CHECK(report.takeovers > 0);
    CHECK(report.orders_sent > 0);
    CHECK(report.upgrades_completed > 0);
  }
}

TEST_CASE("the search finds two owners when one guard is off") {
  for (const auto& guard : kEnumNames<Guard>) {
    uint64_t found = 0;
    for (uint64_t seed = 1; seed <= kSeeds && found == 0; ++seed) {
      const SearchReport report = Search(seed, {guard.value});
      found +=
          report.two_owner_orders_checked + report.two_owner_orders_unchecked;
    }
    INFO("without " << guard.name);
    CHECK(found > 0);
  }
}

}  // namespace qh::leases
