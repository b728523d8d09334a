// Team limits over several nodes, retry budget, concurrency limit, Space-Saving
// counter and load estimates.

#include <catch2/catch.hpp>
#include <deque>

#include "qh_routing/qh_routing.h"

namespace qh {
namespace {

std::string Numbered(std::string prefix, int64_t number) {
  prefix += std::to_string(number);
  return prefix;
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr double kLimit = 20'000;  // Tokens per second.

Team LimitedTeam() {
  Team team;
  team.id = TeamId("t");
  team.tokens_per_minute = uint64_t(kLimit * 60);
  return team;
}

// Nodes that admit random requests of one team and exchange digests with a
// random delay.
class Cluster {
 public:
  Cluster(size_t nodes, uint64_t seed) : rng_(seed) {
    for (size_t i = 0; i < nodes; ++i) {
      Join();
    }
  }

  void Join() {
    nodes_.emplace_back(InstanceId(Numbered("n", next_++)), now_);
    nodes_.back().SetTeams({LimitedTeam()});
  }

  void Leave() { nodes_.pop_back(); }

  // Advances the time by `length`. Each node receives requests of 200 to 1,400
  // tokens that add up to `demand` tokens per second.
  void Run(Duration length, double demand) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += milliseconds(10)) {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (rng_.Chance(demand / 800 * 0.01)) {
          const double tokens = 200 + double(rng_.Below(1'200));
          if (!nodes_[i].Admit(TeamId("t"), tokens, now_)) {
            admitted_.emplace_back(now_, tokens);
          }
        }
        if (int64_t(i) == now_.time_since_epoch() / milliseconds(10) % 50) {
          digests_.emplace_back(
              now_ + rng_.Between(milliseconds(50), seconds(1)),
              nodes_[i].MakeDigest(now_));
        }
      }
      Deliver();
    }
  }

  // Returns the share by which the admitted tokens of any 10 s exceed the limit
  // at most.
  double LargestOvershoot() const {
    double largest = 0;
    double sum = 0;
    size_t first = 0;
    for (const auto& [at, tokens] : admitted_) {
      sum += tokens;
      while (at - admitted_[first].first >= seconds(10)) {
        sum -= admitted_[first++].second;
      }
      largest = std::max(largest, sum / (10 * kLimit) - 1);
    }
    return largest;
  }

  // Returns the tokens per second that were admitted in the last `length`.
  double RateOfLast(Duration length) const {
    double sum = 0;
    for (const auto& [at, tokens] : admitted_) {
      sum += at >= now_ - length ? tokens : 0;
    }
    return sum / ToSeconds(length);
  }

 private:
  void Deliver() {
    std::erase_if(digests_, [&](const auto& entry) {
      if (entry.first > now_) {
        return false;
      }
      for (TeamLimiter& node : nodes_) {
        node.OnDigest(entry.second, now_);
      }
      return true;
    });
  }

  Rng rng_;
  TimePoint now_ = kStart;
  int next_ = 0;
  std::deque<TeamLimiter> nodes_;
  std::vector<std::pair<TimePoint, DemandDigest>> digests_;
  std::vector<std::pair<TimePoint, double>> admitted_;
};

}  // namespace

TEST_CASE("a team's limit holds over all nodes in any 10 s") {
  for (const size_t nodes : {5, 25}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      Cluster cluster(nodes, seed);
      // Low demand, then three times the limit.
      cluster.Run(seconds(20), 0.1 * kLimit / double(nodes));
      cluster.Run(seconds(60), 3 * kLimit / double(nodes));
      INFO(nodes << " nodes, seed " << seed);
      CHECK(cluster.LargestOvershoot() < 0.05);
      CHECK(cluster.RateOfLast(seconds(30)) > 0.7 * kLimit);
    }
  }
}

TEST_CASE("shares adapt within seconds when nodes join or leave") {
  Cluster cluster(5, 4);
  cluster.Run(seconds(30), 3 * kLimit / 5);
  cluster.Join();
  cluster.Run(seconds(15), 3 * kLimit / 5);
  cluster.Leave();
  cluster.Leave();
  cluster.Run(seconds(12), 3 * kLimit / 5);
  CHECK(cluster.RateOfLast(seconds(4)) > 0.7 * kLimit);
  CHECK(cluster.LargestOvershoot() < 0.05);
}

TEST_CASE("a refused request gets the time until it could run") {
  TeamLimiter limiter(InstanceId("n"), kStart);
  limiter.SetTeams({LimitedTeam()});
  const TimePoint now = kStart + seconds(5);
  while (!limiter.Admit(TeamId("t"), 1'000, now)) {
  }
  const auto wait = limiter.Admit(TeamId("t"), 1'000, now);
  REQUIRE(wait);
  CHECK_FALSE(limiter.Admit(TeamId("t"), 1'000, now + *wait + milliseconds(1)));
}

TEST_CASE("a team without a limit is not limited") {
  TeamLimiter limiter(InstanceId("n"), kStart);
  CHECK_FALSE(limiter.Admit(TeamId("free"), 1e9, kStart));
}

TEST_CASE("retries do not multiply the load when all attempts fail") {
  RetryBudget budget(1);
  const PoolId pool("chat");
  uint64_t attempts = 0;
  uint64_t retries = 0;
  // 100 requests a second, every attempt fails, up to 4 attempts each.
  for (int i = 0; i < 6'000; ++i) {
    const TimePoint now = kStart + i * milliseconds(10);
    ++attempts;
    budget.OnFirstAttempt(pool, now);
    for (uint32_t attempt = 2; attempt <= 4; ++attempt) {
      const auto wait = budget.TakeRetry(pool, attempt, now);
      if (!wait) {
        break;
      }
      CHECK(*wait < milliseconds(500));
      ++retries;
    }
  }
  CHECK(retries > 0);
  CHECK(double(retries) < 0.15 * double(attempts));
}

TEST_CASE("the concurrency limit follows the latency of its server") {
  ConcurrencyLimit limit(16);
  for (int i = 0; i < 50; ++i) {
    limit.OnFirstByte(5, 16, kStart + i * seconds(1));
  }
  CHECK(limit.value() == Approx(4));
  for (int i = 0; i < 500; ++i) {
    limit.OnFirstByte(1, limit.value(), kStart + seconds(60));
  }
  CHECK(limit.value() > 16);
  CHECK(limit.value() <= 24);
}

TEST_CASE("Space-Saving finds the frequent keys in bounded memory") {
  SpaceSaving counts(32);
  Rng rng(1);
  for (uint64_t i = 0; i < 20'000; ++i) {
    counts.Add(i % 5 == 0 ? 7 : 1'000 + rng.Below(100'000));
  }
  CHECK(counts.size() <= 32);
  CHECK(counts.LowerBound(7) > 3'500);
  CHECK(counts.LowerBound(1'000) < 1'000);
  counts.Halve();
  CHECK(counts.LowerBound(7) < 2'001);
}

TEST_CASE(
    "reported load is corrected by own requests and loses weight with age") {
  ServerLoadView view;
  view.Resize(2);
  for (int i = 0; i < 5; ++i) {
    view.OnDispatched(0, 100, kStart);
  }
  view.OnReport(0, 12, 0, kStart + milliseconds(600));
  CHECK(view.InFlight(0, kStart + milliseconds(600)) == Approx(12));
  // Three requests end after the load was measured.
  for (int i = 0; i < 3; ++i) {
    view.OnEnded(0, kStart + seconds(1));
  }
  CHECK(view.InFlight(0, kStart + seconds(1)) < 9.1);
  CHECK(view.InFlight(0, kStart + seconds(60)) < 4);
  // An older report that arrives late changes nothing.
  view.OnReport(0, 50, 0, kStart);
  CHECK(view.InFlight(0, kStart + seconds(1)) < 9.1);
}

}  // namespace qh
