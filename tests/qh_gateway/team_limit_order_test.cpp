// The order of a team's requests within its limit, against order of arrival.

#include <catch2/catch.hpp>
#include <map>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/limits/team_limit_order.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
constexpr double kRate = 30'000;
constexpr double kUrgentUnits = 1'000;
constexpr double kLargeUnits = 20'000;

// Units admitted and offered.
struct Served {
  double urgent = 0;
  double urgent_offered = 0;
  double large = 0;
  double large_offered = 0;
};

// A burst of 3 times the limit for 10 s: two thirds of it in large requests of
// priority 2, one third in small ones of priority 0. `admit` decides on each
// request, given its priority, its units and the time.
template <typename Admit>
Served RunBurst(uint64_t seed, Admit admit) {
  Rng rng(seed);
  Served served;
  for (int i = 0; i < 2'000; ++i) {
    const TimePoint now = kStart + milliseconds(5 * i);
    if (rng.Chance(kRate * 0.005 / kUrgentUnits)) {
      served.urgent_offered += kUrgentUnits;
      served.urgent += admit(0, kUrgentUnits, now) ? kUrgentUnits : 0;
    }
    if (rng.Chance(2 * kRate * 0.005 / kLargeUnits)) {
      served.large_offered += kLargeUnits;
      served.large += admit(2, kLargeUnits, now) ? kLargeUnits : 0;
    }
  }
  return served;
}

Served InOrder(uint64_t seed) {
  TeamLimitOrder order;
  return RunBurst(seed, [&](int priority, double units, TimePoint now) {
    order.Fill(kRate, kRate, now);
    order.OnRequest(priority, units, now);
    if (order.WaitFor(priority, units)) {
      return false;
    }
    order.Take(priority, units);
    return true;
  });
}

// A bucket that admits while it is above zero, and owes the rest.
Served ByArrival(uint64_t seed) {
  double level = 0;
  TimePoint filled = kStart;
  return RunBurst(seed, [&](int, double units, TimePoint now) {
    level = std::min(kRate, level + kRate * ToSeconds(now - filled));
    filled = now;
    const bool admitted = level > 0;
    level -= admitted ? units : 0;
    return admitted;
  });
}

}  // namespace

// Guards against refusals of small, urgent requests because of the debt of
// large ones, and against large ones that are never admitted.
TEST_CASE("small urgent requests don't pay for large ones in a burst") {
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  const Served ordered = InOrder(seed);
  const Served by_arrival = ByArrival(seed);
  CHECK(ordered.urgent >= 0.75 * ordered.urgent_offered);
  CHECK(ordered.urgent >= 1.5 * by_arrival.urgent);
  // A quarter of its part by demand, which is two thirds of the rate in 10 s,
  // less what has been saved but not used at the end.
  CHECK(ordered.large >= 0.25 * kRate * 10 * 2 / 3 - kLargeUnits);
  // All of the limit is used, but for what is saved at the end.
  CHECK(ordered.urgent + ordered.large >= 0.85 * kRate * 10);
}

// Guards against callers that all return at the same time and are refused
// again.
TEST_CASE("refused callers are told to return one after the other") {
  TeamLimitOrder order;
  std::map<Duration, int> waits;
  for (int i = 0; i < 10; ++i) {
    order.Fill(10'000, 10'000, kStart);
    order.OnRequest(0, 1'000, kStart);
    const auto wait = order.WaitFor(0, 1'000);
    REQUIRE(wait);
    order.OnToldToReturn(0, 1'000, *wait, kStart);
    ++waits[*wait];
  }
  CHECK(waits.size() == 10);
  // There are units for each of them when it is back, and no request in between
  // takes them.
  Duration waited = Duration::zero();
  int admitted = 0;
  for (const auto& [wait, count] : waits) {
    waited = wait;
    order.Fill(10'000, 10'000, kStart + wait + milliseconds(1));
    order.OnRequest(0, 1'000, kStart + wait + milliseconds(1));
    if (!order.WaitFor(0, 1'000)) {
      order.Take(0, 1'000);
      ++admitted;
    }
  }
  CHECK(admitted >= 9);
  CHECK(waited <= milliseconds(1'100));
}

// Guards against one class that keeps what it can't use from the others.
TEST_CASE("a class alone gets all of the rate") {
  TeamLimitOrder order;
  double admitted = 0;
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    order.Fill(kRate, kRate, now);
    order.OnRequest(2, 1'000, now);
    if (!order.WaitFor(2, 1'000)) {
      order.Take(2, 1'000);
      admitted += 1'000;
    }
  }
  CHECK(admitted >= 0.95 * kRate * 10);
}

}  // namespace qh
