// Tests of StateFreshness: which confirmations count, and when a copy is aged.

#include "qh_gateway/decisions/store/state_freshness.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr StateKind kServers = StateKind::kServers;

StateFreshness Freshness(const std::string& self) {
  return {self, {.config = seconds(4), .servers = seconds(2)}};
}

}  // namespace

TEST_CASE("a copy is aged once half of its bound has passed") {
  StateFreshness freshness = Freshness("a");
  CHECK_FALSE(freshness.Age(kServers, kStart));
  CHECK_FALSE(freshness.IsAged(kServers, kStart));
  freshness.OnStoreAnswer(kServers, kStart, kStart);
  freshness.OnStoreAnswer(StateKind::kConfig, kStart, kStart);
  CHECK_FALSE(freshness.IsAged(kServers, kStart + seconds(1)));
  const TimePoint late = kStart + milliseconds(1'001);
  CHECK(freshness.IsAged(kServers, late));
  CHECK_FALSE(freshness.IsAged(StateKind::kConfig, late));
  CHECK(freshness.TakeAged(late) == std::vector<StateKind>{kServers});
  CHECK(freshness.TakeAged(late + milliseconds(1)).empty());
  SECTION("and is reported again after it was confirmed") {
    freshness.OnStoreAnswer(kServers, late, late);
    CHECK(freshness.TakeAged(late).empty());
    CHECK(freshness.TakeAged(late + milliseconds(998)).empty());
    const TimePoint later = late + milliseconds(1'001);
    CHECK(freshness.TakeAged(later) ==
          std::vector<StateKind>{StateKind::kConfig, kServers});
  }
}

TEST_CASE("an answer is as old as the call that it answers") {
  StateFreshness freshness = Freshness("a");
  const TimePoint now = kStart + milliseconds(900);
  freshness.OnStoreAnswer(kServers, kStart, now);
  CHECK(*freshness.Age(kServers, now) == milliseconds(900));
  CHECK(freshness.Report(kServers, now)->ago == milliseconds(900));
  SECTION("and one to an earlier call adds nothing") {
    freshness.OnStoreAnswer(kServers, kStart - milliseconds(1), now);
    CHECK(*freshness.Age(kServers, now) == milliseconds(900));
  }
}

// Nodes report each other's confirmations. If each report started anew when it
// arrives, none would ever age.
TEST_CASE("a confirmation stays as old as it is when peers pass it around") {
  const Duration transit = milliseconds(150);
  StateFreshness a = Freshness("a");
  StateFreshness b = Freshness("b");
  a.OnStoreAnswer(kServers, kStart, kStart);
  b.OnStoreAnswer(kServers, kStart, kStart);
  TimePoint now = kStart;
  for (int round = 0; round < 20; ++round) {
    const auto from_a = a.Report(kServers, now);
    const auto from_b = b.Report(kServers, now);
    now += transit;
    a.OnPeerReport(kServers, *from_b, now);
    b.OnPeerReport(kServers, *from_a, now);
  }
  CHECK(*a.Age(kServers, now) >= now - kStart - transit);
  CHECK(*b.Age(kServers, now) >= now - kStart - transit);
  SECTION("a later one of the same process makes it younger") {
    a.OnStoreAnswer(kServers, now, now);
    b.OnPeerReport(kServers, *a.Report(kServers, now), now);
    CHECK(*b.Age(kServers, now) == Duration::zero());
  }
}

}  // namespace qh
