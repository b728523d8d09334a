// Rate limits of servers over many nodes: what they send together, and what
// they know in whatever order answers and reports arrive.

#include <catch2/catch.hpp>
#include <deque>

#include "qh_core/random/rng.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/admission/server_urgency.h"
#include "qh_gateway/decisions/limits/server_rate_limits.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const ServerId kServer("s");
const ServerProcess kProcess{kServer, 7};
// The users' bound: in any kWindow, so many times the limit and some more.
constexpr Duration kWindow = seconds(4);
constexpr double kBoundFactor = 1.5;
constexpr double kBoundExtra = 5;
// After the first word of the limit; nothing is bound before.
constexpr Duration kContact = seconds(3);
constexpr Duration kStep = milliseconds(5);

std::string NodeName(size_t node) {
  return "n" + std::to_string(node);
}

std::vector<std::string> PeersOf(size_t node, size_t nodes) {
  std::vector<std::string> peers;
  for (size_t peer = 0; peer < nodes; ++peer) {
    if (peer != node) {
      peers.push_back(NodeName(peer));
    }
  }
  return peers;
}

// Nodes that send one server as much as their limits let them.
class LimitedTraffic {
 public:
  LimitedTraffic(size_t nodes, double rate) : nodes_(nodes), rate_(rate) {
    for (size_t node = 0; node < nodes; ++node) {
      Start(node);
    }
  }

  // Every `interval` each node has a request; all have theirs at the same time.
  // Reports take `report_delay`.
  void Run(Duration length, Duration interval, Duration report_delay) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      for (size_t node = 0; node < nodes_.size(); ++node) {
        if (now_.time_since_epoch() % interval < kStep) {
          Request(node);
        }
        if (now_.time_since_epoch() % milliseconds(150) < kStep) {
          reports_.push_back(
              {now_ + report_delay, node, nodes_[node].TakeReport(now_)});
        }
      }
    }
  }
  // The process of `node` starts anew.
  void Start(size_t node) {
    nodes_[node] = ServerRateLimits();
    nodes_[node].SetNodes(NodeName(node), PeersOf(node, nodes_.size()));
  }
  void SetRate(double rate) { rate_ = rate; }
  // Most requests within kWindow, from `since` after the limit was first named.
  size_t MostWithinWindow(Duration since) const {
    size_t most = 0;
    size_t first = 0;
    for (size_t i = 0; i < sent_.size(); ++i) {
      while (sent_[first] < sent_.front() + since ||
             sent_[first] + kWindow <= sent_[i]) {
        if (++first > i) {
          break;
        }
      }
      most = std::max(most, i + 1 - std::min(first, i + 1));
    }
    return most;
  }
  size_t sent() const { return sent_.size(); }

 private:
  struct Report {
    TimePoint arrives;
    size_t from = 0;
    std::vector<ServerRateLimit> limits;
  };

  void Request(size_t node) {
    if (!nodes_[node].TakePermit(kServer, now_)) {
      return;
    }
    sent_.push_back(now_);
    nodes_[node].OnAnswer(kProcess, rate_, now_);
  }
  void Deliver() {
    for (; !reports_.empty() && reports_.front().arrives <= now_;
         reports_.pop_front()) {
      for (size_t node = 0; node < nodes_.size(); ++node) {
        if (node != reports_.front().from) {
          nodes_[node].OnPeer(reports_.front().limits, now_);
        }
      }
    }
  }

  std::vector<ServerRateLimits> nodes_;
  double rate_;
  TimePoint now_ = kStart;
  std::deque<Report> reports_;
  std::vector<TimePoint> sent_;
};

size_t Allowed(double rate) {
  return static_cast<size_t>(kBoundFactor * rate * ToSeconds(kWindow) +
                             kBoundExtra);
}

// Hands all reports of `from` to `to`.
void Tell(ServerRateLimits& from, ServerRateLimits& to, TimePoint now) {
  to.OnPeer(from.TakeReport(now), now);
}

std::optional<double> RateAt(const ServerRateLimits& node, TimePoint now) {
  const auto limit = node.Find(kServer, now);
  return limit ? limit->rate : std::nullopt;
}

}  // namespace

// Guards against nodes that each keep to a limit and exceed it together.
TEST_CASE("all nodes together keep to a server's limit") {
  const size_t nodes = GENERATE(1, 5, 30, 118);
  const double rate = GENERATE(0.0, 0.07, 0.3, 1.0, 1.4, 10.0, 200.0, 3'000.0);
  const Duration report_delay = GENERATE(milliseconds(5), milliseconds(600));
  CAPTURE(nodes, rate, ToMilliseconds(report_delay));
  LimitedTraffic traffic(nodes, rate);
  const double demand = std::max(20.0, 3 * rate);
  const Duration interval = std::max<Duration>(
      kStep, FromSeconds(static_cast<double>(nodes) / demand));
  traffic.Run(seconds(25), interval, report_delay);
  CHECK(traffic.MostWithinWindow(kContact) <= Allowed(rate));
  // What the limit allows is used, as far as the requests come often enough.
  const double possible =
      std::min(rate, static_cast<double>(nodes) / ToSeconds(kStep));
  CHECK(static_cast<double>(traffic.sent()) >= 0.7 * possible * 20);
}

TEST_CASE("nodes that start again keep to a server's limit") {
  const size_t nodes = GENERATE(5, 118);
  CAPTURE(nodes);
  LimitedTraffic traffic(nodes, 1.0);
  traffic.Run(seconds(8), milliseconds(200), milliseconds(50));
  for (size_t round = 0; round < 6; ++round) {
    traffic.Start(round % nodes);
    traffic.Run(seconds(3), milliseconds(200), milliseconds(50));
  }
  // Each process may send one request before it hears of the limit.
  CHECK(traffic.MostWithinWindow(kContact) <= Allowed(1.0) + 2);
}

TEST_CASE("a limit that changes with each answer is kept") {
  LimitedTraffic traffic(5, 8.0);
  traffic.Run(seconds(6), milliseconds(50), milliseconds(50));
  for (int i = 0; i < 40; ++i) {
    traffic.SetRate(i % 2 == 0 ? 2.0 : 2.5);
    traffic.Run(milliseconds(300), milliseconds(50), milliseconds(50));
  }
  // The first seconds after the fall hold requests of the higher limit.
  CHECK(traffic.MostWithinWindow(seconds(11)) <= Allowed(2.5));
}

TEST_CASE("an older word of a limit undoes no newer one") {
  ServerRateLimits a;
  ServerRateLimits b;
  const TimePoint now = kStart;
  REQUIRE(a.OnAnswer(kProcess, 2.0, now));
  const auto older = a.TakeReport(now);
  Tell(a, b, now);
  REQUIRE(RateAt(b, now) == 2.0);
  SECTION("limited after free") {
    REQUIRE(b.OnAnswer(kProcess, std::nullopt, now));
    b.OnPeer(older, now + seconds(2));
    CHECK_FALSE(b.IsLimited(kServer));
    Tell(b, a, now + seconds(2));
    CHECK_FALSE(a.IsLimited(kServer));
  }
  SECTION("free after limited") {
    REQUIRE(b.OnAnswer(kProcess, std::nullopt, now));
    const auto free = b.TakeReport(now);
    REQUIRE(b.OnAnswer(kProcess, 3.0, now));
    b.OnPeer(free, now + seconds(2));
    a.OnPeer(b.TakeReport(now), now);
    a.OnPeer(free, now + seconds(2));
    CHECK(RateAt(a, now) == 3.0);
    CHECK(RateAt(b, now) == 3.0);
  }
  SECTION("two nodes that hear different words agree") {
    a.OnAnswer(kProcess, std::nullopt, now);
    b.OnAnswer(kProcess, 5.0, now);
    Tell(a, b, now);
    Tell(b, a, now);
    CHECK(RateAt(a, now) == RateAt(b, now));
  }
}

TEST_CASE("a limit belongs to one process of a server") {
  ServerRateLimits node;
  node.OnAnswer(kProcess, 2.0, kStart);
  const auto older = node.TakeReport(kStart);
  const ServerProcess next{kServer, kProcess.started_ms + 1};
  node.OnAnswer(next, std::nullopt, kStart);
  CHECK_FALSE(node.IsLimited(kServer));
  // The peers are told, and one that has not heard of the new process doesn't
  // undo it.
  ServerRateLimits peer;
  peer.OnPeer(older, kStart);
  Tell(node, peer, kStart);
  CHECK_FALSE(peer.IsLimited(kServer));
  node.OnPeer(older, kStart);
  CHECK_FALSE(node.IsLimited(kServer));
  node.OnAnswer(next, 4.0, kStart);
  node.OnPeer(older, kStart);
  CHECK(RateAt(node, kStart) == 4.0);
  node.OnAnswer(kProcess, 1.0, kStart);
  CHECK(RateAt(node, kStart) == 4.0);
}

TEST_CASE("a server that starts again is not kept to the limit before") {
  ServerRateLimits node;
  node.OnAnswer(kProcess, 2.0, kStart);
  node.OnStarted(kProcess, kStart);
  CHECK(RateAt(node, kStart) == 2.0);
  node.OnStarted({kServer, kProcess.started_ms + 1}, kStart);
  CHECK_FALSE(node.IsLimited(kServer));
}

TEST_CASE("a limit of zero is tried seldom, and its end is heard") {
  LimitedTraffic traffic(5, 0.0);
  traffic.Run(seconds(60), milliseconds(50), milliseconds(50));
  const size_t tried = traffic.sent();
  CHECK(tried >= 5);
  CHECK(tried <= 5 + 15);
}

TEST_CASE(
    "a node that doesn't know the others sends a limited server nothing") {
  ServerRateLimits node;
  node.OnAnswer(kProcess, 50.0, kStart);
  node.SetNodesUnknown();
  CHECK_FALSE(node.TakePermit(kServer, kStart + seconds(5)));
  node.SetNodes("n0", {"n1"});
  CHECK_FALSE(node.TakePermit(kServer, kStart + seconds(5)));
  CHECK(node.TakePermit(kServer, kStart + seconds(6)));
}

TEST_CASE("what no node can use is told: when the next permit comes") {
  ServerRateLimits node;
  node.OnAnswer(kProcess, 2.0, kStart);
  while (node.TakePermit(kServer, kStart + seconds(3))) {
  }
  const auto wait = node.TimeToPermit(kServer, kStart + seconds(3));
  REQUIRE(wait);
  CHECK(*wait <= milliseconds(501));
  CHECK(
      node.TakePermit(kServer, kStart + seconds(3) + *wait + milliseconds(1)));
}

TEST_CASE("every limit is reported, however many there are") {
  constexpr size_t kServers = 400;
  ServerRateLimits a;
  ServerRateLimits b;
  for (size_t i = 0; i < kServers; ++i) {
    a.OnAnswer({ServerId("s" + std::to_string(i)), 1}, 1.0, kStart);
  }
  for (size_t i = 0; i < 40; ++i) {
    Tell(a, b, kStart);
  }
  CHECK(b.limited_servers() == kServers);
}

TEST_CASE("a heartbeat carries the limits of servers") {
  const PeerHeartbeat sent{
      .node = "n",
      .incarnation = "i",
      .rate_limits = {{.process = kProcess,
                       .version = 3,
                       .rate = 1.5,
                       .heard_ago = milliseconds(20)},
                      {.process = {ServerId("t"), 2}, .version = 1}}};
  const auto got = PeerHeartbeat::Decode(sent.Encode());
  REQUIRE(got);
  REQUIRE(got.value().rate_limits.size() == 2);
  CHECK(got.value().rate_limits[0].process == kProcess);
  CHECK(got.value().rate_limits[0].version == 3);
  CHECK(got.value().rate_limits[0].rate == 1.5);
  CHECK(got.value().rate_limits[0].heard_ago == milliseconds(20));
  CHECK_FALSE(got.value().rate_limits[1].rate);
}

TEST_CASE("less urgent requests yield after a more urgent one was refused") {
  ServerUrgency urgency;
  urgency.OnRefused("s", 1, kStart);
  CHECK(urgency.TimeToYield("s", 2, kStart) == ServerUrgency::kYieldTime);
  CHECK_FALSE(urgency.TimeToYield("s", 1, kStart));
  CHECK_FALSE(urgency.TimeToYield("s", 0, kStart));
  CHECK_FALSE(urgency.TimeToYield("other", 2, kStart));
  CHECK_FALSE(urgency.TimeToYield("s", 2, kStart + ServerUrgency::kYieldTime));
}

TEST_CASE("limits withhold the capacity that they don't grant") {
  ServerRateLimits node;
  node.OnAnswer({ServerId("a"), 1}, 1.0, kStart);
  node.OnAnswer({ServerId("b"), 1}, 9.0, kStart);
  const std::vector<ServerId> servers{ServerId("a"), ServerId("b"),
                                      ServerId("c")};
  CHECK(node.WithheldServers(servers, 4.0) == 0.75);
  CHECK(node.WithheldServers(servers, 0.0) == 0.0);
}

}  // namespace qh
