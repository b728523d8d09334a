// Limits that hold over all nodes: teams' units, repeats, and the counts that
// usage reports are made of.

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/service_retry_budget.h"
#include "qh_gateway/decisions/team_rate_limiter.h"
#include "qh_gateway/decisions/usage_ledger.h"
#include "qh_gateway/decisions/wall_clock.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const TeamId kTeam("t");
// As the users' deployments have it.
const TeamRateLimiter::Allowance kAllowance{.window = seconds(8),
                                            .share = 0.1,
                                            .units = 140'000};

TeamRule Limit(double rate, double burst) {
  return {.id = kTeam, .rate = rate, .burst = burst};
}

// Several nodes that ask for far more than the limit, as a flooding team does.
class Flood {
 public:
  Flood(size_t nodes, const TeamRule& limit) {
    for (size_t i = 0; i < nodes; ++i) {
      budgets_.emplace_back(kAllowance, kStart);
      budgets_.back().SetTeams({limit}, kStart);
      budgets_.back().SetPeers(nodes - 1, 0, kStart);
    }
  }
  // Runs `length`; each node asks for `units` every `every`. Messages between
  // the nodes pass each `news`, except those of nodes from `cut` on.
  void Run(Duration length,
           Duration every,
           double units,
           Duration news,
           size_t cut) {
    for (Duration t = Duration::zero(); t < length; t += milliseconds(5)) {
      now_ += milliseconds(5);
      if (now_.time_since_epoch() % news < milliseconds(5)) {
        Tell(cut);
      }
      if (now_.time_since_epoch() % every >= milliseconds(5)) {
        continue;
      }
      for (TeamRateLimiter& budget : budgets_) {
        if (!budget.Admit(kTeam, units, now_)) {
          taken_.emplace_back(now_, units);
        }
      }
    }
  }
  void SetSilent(size_t silent) {
    for (TeamRateLimiter& budget : budgets_) {
      budget.SetPeers(budgets_.size() - 1, silent, now_);
    }
  }
  // Most units taken in any span of `window`.
  double MostIn(Duration window) const {
    double most = 0;
    double sum = 0;
    size_t first = 0;
    for (const auto& [at, units] : taken_) {
      sum += units;
      while (taken_[first].first + window < at) {
        sum -= taken_[first].second;
        ++first;
      }
      most = std::max(most, sum);
    }
    return most;
  }
  double total() const {
    double sum = 0;
    for (const auto& [at, units] : taken_) {
      sum += units;
    }
    return sum;
  }

 private:
  void Tell(size_t cut) {
    for (size_t from = 0; from < std::min(cut, budgets_.size()); ++from) {
      for (size_t to = 0; to < std::min(cut, budgets_.size()); ++to) {
        if (from != to) {
          budgets_[to].OnPeer(std::to_string(from), budgets_[from].totals(),
                              now_ - kStart, now_);
        }
      }
    }
  }

  TimePoint now_ = kStart;
  std::vector<TeamRateLimiter> budgets_;
  std::vector<std::pair<TimePoint, double>> taken_;
};

}  // namespace

// Pattern: a team of few, large requests whose limit was lowered.
TEST_CASE(
    "large requests below the limit are not refused for the nodes' sake") {
  constexpr double kRate = 40'000;
  Flood calm(5, Limit(kRate, kRate));
  // Each node asks for a tenth of the limit less, in pieces of 12,000 units.
  calm.Run(seconds(60), milliseconds(1'700), 12'000, milliseconds(150), 5);
  CHECK(calm.total() >= 0.97 * 5 * 12'000 * 60 / 1.7);
}

// Pattern: one team sends many times its usual at all nodes at once.
TEST_CASE("a flooding team gets its limit over all nodes and not much more") {
  constexpr double kRate = 500'000;
  Flood flood(5, Limit(kRate, kRate));
  flood.Run(seconds(20), milliseconds(10), 5'000, milliseconds(150), 5);
  CHECK(flood.MostIn(seconds(8)) <= (8 * kRate + kRate) * 1.1 + 140'000);
  CHECK(flood.total() >= 0.85 * 20 * kRate);
}

TEST_CASE("nodes that do not hear each other keep the limit between them") {
  constexpr double kRate = 500'000;
  Flood flood(5, Limit(kRate, kRate));
  flood.Run(seconds(5), milliseconds(10), 5'000, milliseconds(150), 5);
  flood.SetSilent(4);
  flood.Run(seconds(12), milliseconds(10), 5'000, milliseconds(150), 0);
  CHECK(flood.MostIn(seconds(8)) <= (8 * kRate + kRate) * 1.1 + 140'000);
}

// Pattern: a team sends what its limit grants for a window, and its burst at
// once, window after window.
TEST_CASE("a team at what its limit grants in every window is not refused") {
  constexpr double kRate = 30'000;
  TeamRateLimiter budget(kAllowance, kStart);
  budget.SetTeams({Limit(kRate, kRate)}, kStart);
  size_t refused = 0;
  // The limit grants 9 x 30,000 units in 8 s.
  for (int window = 2; window <= 8; ++window) {
    const TimePoint begin = kStart + seconds(8 * window);
    refused += budget.Admit(kTeam, kRate, begin) ? 1 : 0;
    for (int i = 0; i < 48; ++i) {
      const TimePoint now = begin + milliseconds(160 * i);
      refused += budget.Admit(kTeam, 5'000, now) ? 1 : 0;
    }
  }
  CHECK(refused == 0);
}

// Pattern: a team sends several times its limit for long.
TEST_CASE("a flooding team is served evenly, not by turns") {
  constexpr double kRate = 30'000;
  TeamRateLimiter budget(kAllowance, kStart);
  budget.SetTeams({Limit(kRate, kRate)}, kStart);
  TimePoint last = kStart + seconds(10);
  Duration longest{};
  for (int i = 0; i < 30'000; ++i) {
    const TimePoint now = kStart + seconds(10) + milliseconds(i);
    if (!budget.Admit(kTeam, 150, now)) {
      longest = std::max(longest, now - last);
      last = now;
    }
  }
  CHECK(longest <= seconds(1));
}

// Pattern: a team at its limit sends many small requests and some large ones.
TEST_CASE("large requests get their share beside small ones at the limit") {
  constexpr double kRate = 30'000;
  TeamRateLimiter budget(kAllowance, kStart);
  budget.SetTeams({Limit(kRate, kRate)}, kStart);
  double small = 0;
  double large = 0;
  // Twice the limit, half of it in pieces of 50,000 units.
  for (int i = 0; i < 6'000; ++i) {
    const TimePoint now = kStart + seconds(10) + milliseconds(10 * i);
    small += budget.Admit(kTeam, 300, now) ? 0 : 300;
    if (i % 167 == 0) {
      large += budget.Admit(kTeam, 50'000, now) ? 0 : 50'000;
    }
  }
  CHECK(large >= 0.6 * small);
}

TEST_CASE("the time told to wait is when the window has room") {
  TeamRateLimiter budget({}, kStart);
  budget.SetTeams({Limit(10, 100)}, kStart);
  const TimePoint first = kStart + seconds(20);
  CHECK_FALSE(budget.Admit(kTeam, 150, first));
  CHECK_FALSE(budget.Admit(kTeam, 30, first + seconds(4)));
  const auto wait = budget.Admit(kTeam, 100, first + seconds(5));
  REQUIRE(wait);
  // The first request leaves the window after 3 s; the bucket is full enough
  // after 2.6 s to 4 s.
  CHECK(*wait >= seconds(3));
  CHECK(*wait <= seconds(4));
  CHECK_FALSE(budget.Admit(kTeam, 100, first + seconds(5) + *wait));
}

TEST_CASE("what did not run is given back") {
  TeamRateLimiter budget({}, kStart);
  budget.SetTeams({Limit(10, 100)}, kStart);
  const double start = TeamRateLimiter::kStartupBurstShare * 100;
  CHECK_FALSE(budget.Admit(kTeam, start, kStart));
  // What is taken to be used before the start leaves the window evenly.
  const auto wait = budget.Admit(kTeam, 5, kStart);
  REQUIRE(wait);
  CHECK(*wait <= FromSeconds(0.5));
  // The bucket refills 180 units in 8 s.
  CHECK(*wait >= milliseconds(200));
  budget.Refund(kTeam, start, kStart, kStart);
  CHECK_FALSE(budget.Admit(kTeam, 5, kStart));
  budget.Refund(kTeam, 5, kStart, kStart + seconds(9));
  CHECK(budget.totals().at(kTeam) == 5);
}

TEST_CASE("a lowered limit binds at once and a team without one never waits") {
  TeamRateLimiter budget({}, kStart);
  budget.SetTeams({Limit(1'000, 1'000)}, kStart);
  CHECK_FALSE(budget.Admit(kTeam, 200, kStart + seconds(10)));
  // What the old limit let through counts against the new one.
  budget.SetTeams({Limit(10, 10)}, kStart + seconds(15));
  CHECK(budget.Admit(kTeam, 9, kStart + seconds(15)));
  CHECK_FALSE(budget.Admit(kTeam, 80, kStart + seconds(19)));
  CHECK(budget.Admit(kTeam, 80, kStart + seconds(19)));
  budget.SetTeams({}, kStart + seconds(20));
  CHECK_FALSE(budget.Admit(kTeam, 1e9, kStart + seconds(20)));
}

TEST_CASE("a team below its limit is not refused after a peer's start") {
  TeamRateLimiter budget({}, kStart);
  budget.SetTeams({Limit(1'000, 1'000)}, kStart);
  const TimePoint later = kStart + seconds(10);
  // An older process tells all that it ever admitted; none of it counts now.
  budget.SetPeers(1, 0, later);
  budget.OnPeer("old", {{kTeam, 1e9}}, seconds(100), later);
  CHECK_FALSE(budget.Admit(kTeam, 500, later));
  // A younger one's use counts whole: the limit grants 9,000 in 8 s.
  budget.OnPeer("new", {{kTeam, 8'300}}, seconds(1), later);
  CHECK(budget.Admit(kTeam, 500, later));
}

TEST_CASE("repeats stay within their share over all nodes") {
  ServiceRetryBudget budget({.ratio = 0.2, .extra = 50, .window = seconds(10)});
  size_t taken = 0;
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    budget.OnRequest("s", now);
    taken += budget.TryAcquire("s", 5, now) ? 1 : 0;
  }
  CHECK(taken <= 0.2 * 1'000 + 50.0 / 5);
  CHECK(taken >= 100);
  CHECK_FALSE(budget.TryAcquire("other", 1'000, kStart));
}

TEST_CASE("usage is counted by window over all nodes, whatever is told twice") {
  UsageLedger ledger(seconds(5));
  ledger.Count(kTeam, seconds(12));
  ledger.Count(kTeam, seconds(14));
  ledger.Count(kTeam, seconds(15));
  CHECK(ledger.WindowOf(seconds(14)) == 2);
  CHECK(ledger.EndOf(2) == seconds(15));
  ledger.OnPeer("p", {{2, {{kTeam, 3}}}});
  ledger.OnPeer("p", {{2, {{kTeam, 5}}}});
  ledger.OnPeer("p", {{2, {{kTeam, 4}}}});
  ledger.OnPeer("q", {{2, {{kTeam, 1}}}});
  CHECK(ledger.Total(2).at(kTeam) == 2 + 5 + 1);
  CHECK(ledger.Total(3).at(kTeam) == 1);
  CHECK(ledger.Recent().size() == 2);
}

TEST_CASE("old windows are forgotten") {
  UsageLedger ledger(seconds(5));
  for (int i = 0; i < 100; ++i) {
    ledger.Count(kTeam, seconds(5 * i));
  }
  CHECK(ledger.Recent().size() == UsageLedger::kReportedWindows);
  CHECK(ledger.Total(50).empty());
  CHECK(ledger.Total(95).at(kTeam) == 1);
}

// Pattern: the time of day jumps on some machines and back.
TEST_CASE("a clock that steps on one node of three moves nothing") {
  WallClock clock;
  clock.OnPeer("a", seconds(5'000), kStart);
  clock.OnPeer("b", seconds(5'000) + milliseconds(3), kStart);
  clock.OnLocalTime(seconds(5'002), kStart);
  CHECK(clock.Now(kStart + seconds(1)) == seconds(5'001) + milliseconds(3));
  // Silent peers' clocks are forgotten.
  clock.OnLocalTime(seconds(5'020), kStart + seconds(10));
  CHECK(clock.Now(kStart + seconds(10)) == seconds(5'020));
}

}  // namespace qh
