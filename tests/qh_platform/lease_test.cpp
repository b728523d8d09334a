// Tests leases over the fake store: takeover, lost answers, pauses, release.

#include "qh_platform/lease/lease.h"

#include <catch2/catch.hpp>

#include "fakes/fake_platform.h"
#include "qh_platform/lease/shard_map.h"

namespace qh {
namespace {

using fakes::FakePlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

// How the store handles the next calls.
enum class StoreMode {
  // Calls are applied and answered.
  kNormal,
  // Writes are applied, but their answers are lost.
  kAnswersLost,
  // The store refuses all calls; none is applied.
  kUnavailable,
  // No call is applied, and none is answered.
  kUnresponsive,
};

class Node {
 public:
  Node(const std::string& name, FakePlatform& store)
      : store_(store),
        lease_(Lease::Create("servers-1",
                             name,
                             name + "-1",
                             LeaseSettings(),
                             Hash(name))) {}

  void Want(TimePoint now) { Send({.kind = LeaseEventKind::kWant}, now); }
  void Tick(TimePoint now) { Send({.kind = LeaseEventKind::kTick}, now); }
  void Release(TimePoint now) { Send({.kind = LeaseEventKind::kRelease}, now); }
  void set_store_mode(StoreMode mode) { store_mode_ = mode; }
  LeaseView View(TimePoint now) const { return lease_.View(now); }
  int acquired() const { return acquired_; }
  int lost() const { return lost_; }

 private:
  static uint64_t Hash(const std::string& name) {
    return static_cast<uint64_t>(name.back());
  }

  void Send(const LeaseEvent& event, TimePoint now) {
    for (const LeaseAction& action : lease_.Advance(event, now)) {
      acquired_ += action.kind == LeaseActionKind::kAcquired;
      lost_ += action.kind == LeaseActionKind::kLost;
      if (action.kind != LeaseActionKind::kStore) {
        continue;
      }
      Send({.kind = LeaseEventKind::kReply,
            .token = action.token,
            .reply = Reply(action.request)},
           now);
    }
  }

  StoreReply Reply(const StoreRequest& request) {
    if (store_mode_ == StoreMode::kUnavailable) {
      return {StoreStatus::kUnavailable};
    }
    if (store_mode_ == StoreMode::kUnresponsive) {
      return {StoreStatus::kAmbiguous};
    }
    const StoreReply reply = store_.Apply(request);
    return store_mode_ == StoreMode::kAnswersLost && request.op == StoreOp::kPut
               ? StoreReply{StoreStatus::kAmbiguous}
               : reply;
  }

  FakePlatform& store_;
  Lease lease_;
  StoreMode store_mode_ = StoreMode::kNormal;
  int acquired_ = 0;
  int lost_ = 0;
};

constexpr TimePoint kStart{seconds(1'000)};

// Ticks `node` every half second up to `end`, not including it.
void Run(Node& node, TimePoint from, TimePoint end) {
  for (TimePoint now = from; now < end; now += milliseconds(500)) {
    node.Tick(now);
  }
}

}  // namespace

TEST_CASE("a free lease is acquired, renewed and released") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  CHECK(a.View(kStart).held);
  CHECK(a.View(kStart).fencing == 1);
  Run(a, kStart, kStart + seconds(60));
  CHECK(a.View(kStart + seconds(60)).held);
  a.Release(kStart + seconds(60));
  CHECK_FALSE(a.View(kStart + seconds(60)).held);
  Node b("b", store);
  b.Want(kStart + seconds(61));
  CHECK(b.View(kStart + seconds(61)).held);
  CHECK(b.View(kStart + seconds(61)).fencing == 2);
}

TEST_CASE(
    "a second node takes over only after the full duration on its own clock") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  Node b("b", store);
  // The clocks of the two nodes differ by 500 hours. Only differences between
  // times of one clock matter.
  const TimePoint b_start = kStart + std::chrono::hours(500);
  b.Want(b_start);
  Run(b, b_start, b_start + LeaseSettings().duration);
  CHECK_FALSE(b.View(b_start + LeaseSettings().duration).held);
  Run(b, b_start + LeaseSettings().duration, b_start + seconds(15));
  CHECK(b.View(b_start + seconds(15)).held);
  CHECK(b.View(b_start + seconds(15)).fencing == 2);
}

TEST_CASE("a lease that is renewed is not taken over") {
  FakePlatform store;
  Node a("a", store);
  Node b("b", store);
  a.Want(kStart);
  b.Want(kStart);
  for (TimePoint now = kStart; now < kStart + seconds(120);
       now += milliseconds(500)) {
    a.Tick(now);
    b.Tick(now);
    REQUIRE(a.View(now).held);
    REQUIRE_FALSE(b.View(now).held);
  }
}

TEST_CASE("a holder cut off from the store stops before its lease ends") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  a.set_store_mode(StoreMode::kUnavailable);
  const LeaseSettings settings;
  const TimePoint end = kStart + settings.duration - settings.margin;
  Run(a, kStart, end);
  CHECK(a.View(end - milliseconds(1)).held);
  CHECK_FALSE(a.View(end).held);
  a.Tick(end);
  CHECK(a.lost() == 1);
}

TEST_CASE("renewals without an answer do not extend the lease") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  a.set_store_mode(StoreMode::kAnswersLost);
  const LeaseSettings settings;
  const TimePoint end = kStart + settings.duration - settings.margin;
  Run(a, kStart, end);
  CHECK_FALSE(a.View(end).held);
}

TEST_CASE("an acquisition without an answer is confirmed by reading it back") {
  FakePlatform store;
  Node a("a", store);
  a.set_store_mode(StoreMode::kAnswersLost);
  a.Want(kStart);
  CHECK(a.View(kStart).held);
  CHECK(a.View(kStart).fencing == 1);
}

// Incident menzaterv-quetzal inc-d716: all lease holders were killed, and the
// store was unavailable when their leases expired. The successors then waited
// for another full lease duration, and no node ran the lease-holder tasks.
TEST_CASE(
    "a node that waited through a store outage does not restart its wait") {
  FakePlatform store;
  Node holder("a", store);
  holder.Want(kStart);
  Node successor("b", store);
  successor.Want(kStart + seconds(1));
  Run(successor, kStart + seconds(1), kStart + seconds(8));
  successor.set_store_mode(StoreMode::kUnresponsive);
  Run(successor, kStart + seconds(8), kStart + seconds(16));
  CHECK(successor.acquired() == 0);
  successor.set_store_mode(StoreMode::kNormal);
  const TimePoint back = kStart + seconds(16);
  Run(successor, back, back + LeaseSettings().poll_every + seconds(1));
  CHECK(successor.acquired() == 1);
}

TEST_CASE("a holder that renews during another node's outage keeps its lease") {
  FakePlatform store;
  Node holder("a", store);
  holder.Want(kStart);
  Node successor("b", store);
  successor.Want(kStart + seconds(1));
  Run(successor, kStart + seconds(1), kStart + seconds(8));
  successor.set_store_mode(StoreMode::kUnresponsive);
  Run(successor, kStart + seconds(8), kStart + seconds(16));
  Run(holder, kStart + milliseconds(500), kStart + seconds(16));
  successor.set_store_mode(StoreMode::kNormal);
  Run(successor, kStart + seconds(16), kStart + seconds(22));
  CHECK(successor.acquired() == 0);
}

TEST_CASE("a paused process treats its lease as lost before it acts") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  Run(a, kStart, kStart + seconds(3));
  const TimePoint after = kStart + seconds(2) + milliseconds(500) +
                          LeaseSettings().pause_limit + milliseconds(1);
  CHECK_FALSE(a.View(after).held);
  a.Tick(after);
  CHECK(a.lost() == 1);
}

TEST_CASE("a restarted process does not inherit its predecessor's lease") {
  FakePlatform store;
  Node a("a", store);
  a.Want(kStart);
  Lease restarted = Lease::Create("servers-1", "a", "a-2", LeaseSettings(), 9);
  auto actions = restarted.Advance({.kind = LeaseEventKind::kWant}, kStart);
  REQUIRE(actions.size() == 1);
  actions = restarted.Advance({.kind = LeaseEventKind::kReply,
                               .token = actions[0].token,
                               .reply = store.Apply(actions[0].request)},
                              kStart);
  CHECK(actions.empty());
  CHECK(restarted.state() == LeaseState::kObserving);
}

TEST_CASE("a malformed record is replaced after its assumed duration") {
  FakePlatform store;
  store.Apply({.op = StoreOp::kPut,
               .key = LeaseKey("servers-1", 0),
               .body = R"({"holder":7,"fencing":"x"})"});
  Node a("a", store);
  a.Want(kStart);
  CHECK_FALSE(a.View(kStart).held);
  Run(a, kStart, kStart + seconds(20));
  CHECK(a.View(kStart + seconds(20)).held);
}

TEST_CASE("the fencing floor of a release reaches the next holder") {
  FakePlatform store;
  Lease a = Lease::Create("servers-1", "a", "a-1", LeaseSettings(), 1);
  const auto run = [&](LeaseEvent event) {
    auto actions = a.Advance(event, kStart);
    while (!actions.empty() && actions[0].kind != LeaseActionKind::kAcquired) {
      const LeaseAction call = actions.back();
      if (call.kind != LeaseActionKind::kStore) {
        break;
      }
      actions = a.Advance({.kind = LeaseEventKind::kReply,
                           .token = call.token,
                           .reply = store.Apply(call.request)},
                          kStart);
    }
  };
  run({.kind = LeaseEventKind::kWant});
  run({.kind = LeaseEventKind::kRelease, .fencing_floor = 40});
  Node b("b", store);
  b.Want(kStart);
  CHECK(b.View(kStart).fencing == 41);
}

TEST_CASE("a fleet's leases renew at most a hundred times a second") {
  for (const uint32_t leases : {1u, 25u, 200u, 1'200u, 5'000u}) {
    const LeaseSettings settings = LeaseSettings::ForFleet(leases);
    CHECK(leases / ToSeconds(settings.renew_every) <= 100.0);
    CHECK(settings.renew_every * 2 < settings.duration - settings.margin);
  }
}

TEST_CASE("a shard moves at once from a dead node, later to a new one") {
  auto map = ShardMap::Create({{"servers", 64}}, seconds(10)).value();
  std::vector<InstanceId> nodes = {InstanceId("a"), InstanceId("b")};
  map.Update(nodes, kStart);
  const auto of_a = map.ShardsOf(InstanceId("a"));
  REQUIRE_FALSE(of_a.empty());
  nodes.emplace_back("c");
  map.Update(nodes, kStart + seconds(1));
  CHECK(map.ShardsOf(InstanceId("c")).empty());
  map.Update(nodes, kStart + seconds(11));
  const auto of_c = map.ShardsOf(InstanceId("c"));
  CHECK_FALSE(of_c.empty());
  map.Update({InstanceId("a"), InstanceId("b")}, kStart + seconds(12));
  for (const std::string& shard : of_c) {
    CHECK(map.OwnerOf(shard) != InstanceId("c"));
  }
  CHECK_FALSE(ShardMap::Create({{"a", 0}}, seconds(1)));
  CHECK_FALSE(ShardMap::Create({{"a", 1}, {"a", 1}}, seconds(1)));
}

}  // namespace qh
