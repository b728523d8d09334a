// Copies of one version that differ: who reads anew, when, and how often.

#include "qh_gateway/decisions/store/copy_check.h"

#include <catch2/catch.hpp>
#include <vector>

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr Duration kStep = milliseconds(150);

MirrorState State(uint64_t revision, uint64_t digest) {
  return {.version = {1, revision}, .digest = digest};
}

// One node that hears its peers every kStep.
struct Node {
  // Returns how often the node reads its copy within `length`. Peers with
  // `digests` tell the same version as this node, which has digest 1.
  int ReadingsIn(Duration length, const std::vector<uint64_t>& digests) {
    int readings = 0;
    for (const TimePoint end = now + length; now < end; now += kStep) {
      for (size_t peer = 0; peer < digests.size(); ++peer) {
        check.OnPeer(std::to_string(peer), State(7, digests[peer]), State(7, 1),
                     now);
      }
      if (check.TakeDue(follows, now)) {
        ++readings;
        last_reading = now;
      }
    }
    return readings;
  }

  CopyCheck check{1};
  bool follows = true;
  TimePoint now = kStart;
  TimePoint last_reading;
};

}  // namespace

TEST_CASE("a node whose copy no peer has reads it anew before the others") {
  Node wrong;
  CHECK(wrong.ReadingsIn(seconds(2), {2, 2, 2}) == 1);
  Node right;
  CHECK(right.ReadingsIn(seconds(2), {1, 1, 2}) == 0);
  CHECK(right.ReadingsIn(seconds(3), {1, 1, 2}) == 1);
  Node copying{.follows = false};
  CHECK(copying.ReadingsIn(CopyCheck::kCopyingDelay, {2}) == 0);
  CHECK(copying.ReadingsIn(seconds(2), {2}) == 1);
}

TEST_CASE("equal copies and those of other versions give no reason to read") {
  Node node;
  CHECK(node.ReadingsIn(seconds(20), {1, 1, 1}) == 0);
  CHECK(node.ReadingsIn(seconds(20), {}) == 0);
  for (int step = 0; step < 100; ++step, node.now += kStep) {
    node.check.OnPeer("later", State(8, 2), State(7, 1), node.now);
    node.check.OnPeer("empty", State(0, 2), State(0, 1), node.now);
    node.check.OnPeer("old", {.version = {1, 7}}, State(7, 1), node.now);
    CHECK_FALSE(node.check.TakeDue(true, node.now));
  }
}

// A peer whose copy can't be the same, such as one of a version that reads
// objects differently, must not make the nodes read for ever.
TEST_CASE("a difference that stays is read for more and more rarely") {
  Node node;
  const int in_first_minute = node.ReadingsIn(std::chrono::minutes(1), {2});
  CHECK(in_first_minute >= 2);
  CHECK(in_first_minute <= 4);
  node.ReadingsIn(std::chrono::minutes(60), {2});
  CHECK(node.ReadingsIn(std::chrono::minutes(60), {2}) <= 7);
  SECTION("and as often as at first once it has ended") {
    node.ReadingsIn(std::chrono::minutes(20), {1});
    CHECK(node.ReadingsIn(seconds(2), {2}) == 1);
  }
}

// All nodes see the one whose copy is wrong.
TEST_CASE("the readings of 1,200 nodes are spread out") {
  constexpr size_t kNodes = 1'200;
  std::vector<CopyCheck> nodes;
  for (size_t node = 0; node < kNodes; ++node) {
    nodes.emplace_back(node);
  }
  std::map<int64_t, int> readings_per_step;
  int readings = 0;
  for (TimePoint now = kStart; now < kStart + seconds(9); now += kStep) {
    for (CopyCheck& node : nodes) {
      node.OnPeer("agrees", State(7, 1), State(7, 1), now);
      node.OnPeer("differs", State(7, 2), State(7, 1), now);
      if (node.TakeDue(true, now)) {
        ++readings;
        ++readings_per_step[(now - kStart) / kStep];
      }
    }
  }
  CHECK(readings == kNodes);
  for (const auto& [step, count] : readings_per_step) {
    CHECK(count < static_cast<int>(kNodes) / 4);
  }
}

}  // namespace qh
