// Several nodes that call the store and tell each other how well they reach it:
// an outage of the store is told from one node's partition on every node.

#include "qh_gateway/decisions/store/store_reachability.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr Duration kStep = milliseconds(150);
constexpr Duration kCallInterval = milliseconds(750);
const TimePoint kCutFrom = kStart + 16 * kCallInterval;
// The node that was cut off is answered before it hears its peers.
const TimePoint kCutUntil = kCutFrom + 5 * kCallInterval;

// Nodes that send each other a heartbeat in every step.
struct Deployment {
  // `callers` of the nodes call the store every kCallInterval.
  Deployment(size_t size, std::vector<size_t> callers)
      : nodes(size), callers(std::move(callers)) {}

  void RunUntil(TimePoint end) {
    for (; now < end; now += kStep) {
      CallStore();
      SendHeartbeats();
    }
  }
  void CallStore() {
    if ((now - kStart) % kCallInterval != Duration::zero()) {
      return;
    }
    for (const size_t caller : callers) {
      const bool fails = IsCutOff(caller) || (store_is_down && IsCutTime());
      if (fails) {
        nodes[caller].OnFailure(now);
      } else {
        nodes[caller].OnAnswer(now);
      }
    }
  }
  void SendHeartbeats() {
    for (size_t from = 0; from < nodes.size(); ++from) {
      for (size_t to = 0; to < nodes.size(); ++to) {
        if (from != to && !IsCutOff(from) && !IsCutOff(to)) {
          nodes[to].OnPeer(std::to_string(from), nodes[from].Report(now), now);
        }
      }
    }
  }
  bool IsCutTime() const { return now >= kCutFrom && now < kCutUntil; }
  bool IsCutOff(size_t node) const { return IsCutTime() && node == cut_off; }
  size_t KeepingMissing() const {
    return static_cast<size_t>(std::count_if(
        nodes.begin(), nodes.end(),
        [&](const auto& node) { return node.KeepsMissingServers(now); }));
  }

  std::vector<StoreReachability> nodes;
  std::vector<size_t> callers;
  // Reaches neither the store nor other nodes during the cut.
  std::optional<size_t> cut_off;
  bool store_is_down = false;
  TimePoint now = kStart;
};

}  // namespace

// Guards against requests to servers that left (DRAIN): a node that was cut off
// from all others took that for an outage of the store, and all nodes that it
// told kept the servers that had left meanwhile.
TEST_CASE("a node's partition is no outage of the store for its peers") {
  const std::vector<size_t> callers =
      GENERATE(std::vector<size_t>{0, 1, 2, 3}, std::vector<size_t>{0, 3});
  Deployment deployment(4, callers);
  deployment.cut_off = 3;
  deployment.RunUntil(kCutUntil);
  while (deployment.now < kCutUntil + StoreReachability::kReregistrationGrace) {
    deployment.RunUntil(deployment.now + kStep);
    const bool first_beat = deployment.now <= kCutUntil + 2 * kStep;
    CAPTURE(ToMilliseconds(deployment.now - kCutUntil));
    CHECK(deployment.KeepingMissing() <= (first_beat ? 1 : 0));
  }
}

TEST_CASE("after an outage of the store all nodes keep missing servers") {
  Deployment deployment(4, {0, 1, 2});
  deployment.store_is_down = true;
  deployment.RunUntil(kCutUntil + 2 * kCallInterval);
  CHECK(deployment.KeepingMissing() == 4);
  deployment.RunUntil(kCutUntil + StoreReachability::kReregistrationGrace +
                      kCallInterval + kStep);
  CHECK(deployment.KeepingMissing() == 0);
}

// What a heartbeat tells may be incomplete.
TEST_CASE("a peer that tells of no answer contradicts no outage") {
  StoreReachability node;
  node.OnPeer("peer", {.steady_ago = seconds(60)}, kStart);
  node.OnPeer("returned",
              {.answered_ago = Duration::zero(),
               .recovered_ago = Duration::zero(),
               .failing_ago = seconds(5)},
              kStart);
  CHECK(node.KeepsMissingServers(kStart));
}

}  // namespace qh
