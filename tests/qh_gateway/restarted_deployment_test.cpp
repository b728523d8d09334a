// All nodes of a deployment start at the same time, in the middle of the load.
// Guards against two failures: requests of teams below their limit are refused
// until the nodes know each other, and teams get more than their limit because
// the nodes have forgotten what was used.

#include <catch2/catch.hpp>
#include <vector>

#include "qh_gateway/decisions/limits/team_rate_limiter.h"
#include "qh_gateway/decisions/nodes/deployment_size.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const TeamId kTeam("t");
constexpr TeamRateLimiter::Allowance kAllowance{.window = seconds(8),
                                                .share = 0.1,
                                                .units = 140'000};
constexpr double kRate = 800'000;
constexpr double kBurst = 800'000;
constexpr double kUnits = 4'000;
constexpr Duration kStep = milliseconds(5);

// One team's requests before and after a restart of all nodes.
class RestartedDeployment {
 public:
  // Offers `rate` units a second for `length` to one limiter that knows all
  // use, as the nodes together do before the restart.
  void RunBefore(Duration length, double rate) {
    Offer(length, rate, {&before_});
  }
  // A node writes the record.
  void Record() {
    history_ = before_.History(now_);
    recorded_at_ = now_;
  }
  // All nodes are down for `length`, then start without knowing each other, and
  // read the record if `with_record`.
  void Restart(Duration length, size_t nodes, bool with_record) {
    now_ += length;
    const size_t peers =
        DeploymentSize::Assumed(with_record ? std::optional(nodes)
                                            : std::nullopt) -
        1;
    for (size_t i = 0; i < nodes; ++i) {
      TeamRateLimiter& node = nodes_.emplace_back(kAllowance, now_);
      node.SetPeers(peers, peers, now_);
      node.SetTeams({limit_}, now_);
      if (with_record) {
        node.OnRecordedUse(history_, now_ - recorded_at_, now_);
      }
    }
  }
  // Offers `rate` units a second for `length` to the nodes in turn. Returns the
  // share of the requests that is refused.
  double RunAfter(Duration length, double rate) {
    std::vector<TeamRateLimiter*> nodes;
    for (TeamRateLimiter& node : nodes_) {
      nodes.push_back(&node);
    }
    return Offer(length, rate, nodes);
  }
  // Most units admitted in any window.
  double MostInWindow() const {
    double most = 0;
    double sum = 0;
    size_t first = 0;
    for (size_t i = 0; i < admitted_.size(); ++i) {
      sum += kUnits;
      while (admitted_[first] + kAllowance.window < admitted_[i]) {
        sum -= kUnits;
        ++first;
      }
      most = std::max(most, sum);
    }
    return most;
  }

 private:
  double Offer(Duration length,
               double rate,
               const std::vector<TeamRateLimiter*>& nodes) {
    size_t offered = 0;
    size_t refused = 0;
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kStep) {
      due_ += rate * ToSeconds(kStep);
      const auto requests = static_cast<size_t>(due_ / kUnits);
      due_ -= static_cast<double>(requests) * kUnits;
      for (size_t i = 0; i < requests; ++i) {
        const bool admitted =
            !nodes[offered % nodes.size()]->Admit(kTeam, kUnits, now_);
        if (admitted) {
          admitted_.push_back(now_);
        }
        refused += admitted ? 0 : 1;
        ++offered;
      }
    }
    return static_cast<double>(refused) / static_cast<double>(offered);
  }

  const TeamRule limit_{.id = kTeam, .rate = kRate, .burst = kBurst};
  TimePoint now_ = kStart;
  TeamRateLimiter before_ = [this] {
    TeamRateLimiter limiter(kAllowance, kStart);
    limiter.SetTeams({limit_}, kStart);
    return limiter;
  }();
  std::vector<TeamRateLimiter> nodes_;
  std::vector<TimePoint> admitted_;
  TeamUseHistory history_;
  TimePoint recorded_at_;
  // Units that are due and not offered yet.
  double due_ = 0;
};

}  // namespace

TEST_CASE("nodes that restart together serve teams below their limit") {
  constexpr size_t kNodes = 34;
  constexpr double kUsualRate = kRate / 1.8;
  for (const bool with_record : {true, false}) {
    RestartedDeployment deployment;
    deployment.RunBefore(seconds(20), kUsualRate);
    deployment.Record();
    deployment.RunBefore(milliseconds(900), kUsualRate);
    deployment.Restart(milliseconds(600), kNodes, with_record);
    const double refused = deployment.RunAfter(milliseconds(1'000), kUsualRate);
    if (with_record) {
      CHECK(refused == 0);
    } else {
      CHECK(refused > 0.5);
    }
  }
}

TEST_CASE("a restart of all nodes doesn't raise a team's limit") {
  // The team sends far more than its limit from the moment of the record on,
  // which is the most that the record can miss.
  constexpr double kBound =
      (kRate * 8 + kBurst) * (1 + kAllowance.share) + kAllowance.units;
  for (const size_t nodes : {5U, 34U, 118U}) {
    RestartedDeployment deployment;
    deployment.RunBefore(seconds(20), kRate / 1.8);
    deployment.Record();
    deployment.RunBefore(milliseconds(1'000), 6 * kRate);
    deployment.Restart(milliseconds(300), nodes, true);
    deployment.RunAfter(milliseconds(1'200), 6 * kRate);
    CHECK(deployment.MostInWindow() <= kBound);
  }
}

TEST_CASE("an outdated record of use is ignored") {
  // Units that a record of an unused limit leaves a node that starts.
  const auto available = [](std::optional<Duration> age) {
    TeamRateLimiter node(kAllowance, kStart);
    node.SetTeams({{.id = kTeam, .rate = kRate, .burst = kBurst}}, kStart);
    if (age) {
      node.OnRecordedUse({{kTeam, {0, 0, 0, 0}}}, *age, kStart);
    }
    return node.Available(kTeam, kStart);
  };
  CHECK(available(seconds(9)) == available(std::nullopt));
  CHECK(available(seconds(1)) > available(std::nullopt));
}

TEST_CASE("a deployment of recorded size is known when its nodes are heard") {
  for (const bool with_record : {true, false}) {
    DeploymentSize size;
    if (with_record) {
      size.SetRecorded(34);
    }
    size.OnAdded(kStart);
    size.OnHeard(20, kStart + milliseconds(200));
    CHECK_FALSE(size.is_known());
    size.OnHeard(31, kStart + milliseconds(300));
    CHECK(size.is_known() == with_record);
  }
}

}  // namespace qh
