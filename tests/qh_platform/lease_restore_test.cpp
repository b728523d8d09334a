// Leases in a store that is restored from an older copy: at most one holder at
// any time, and fencing numbers that never fall. Includes a seeded search over
// restores at random times, with nodes that are cut off meanwhile.

#include <catch2/catch.hpp>

#include "fakes/fake_platform.h"
#include "qh_core/random/rng.h"
#include "qh_platform/lease/lease.h"

namespace qh {
namespace {

using fakes::FakePlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
constexpr Duration kStep = milliseconds(250);

// A store that counts its restores.
struct Store {
  void Restore(const FakePlatform& copy) {
    objects = copy;
    ++epoch;
  }
  FakePlatform objects;
  uint64_t epoch = 1;
};

class Node {
 public:
  Node(const std::string& name, Store& store)
      : store_(store),
        seen_epoch_(store.epoch),
        lease_(Lease::Create("duties",
                             name,
                             name + "-process",
                             LeaseSettings(),
                             std::hash<std::string>()(name))) {
    lease_.SetStoreEpoch(seen_epoch_);
  }

  void Want(TimePoint now) { Send({.kind = LeaseEventKind::kWant}, now); }
  void Tick(TimePoint now) { Send({.kind = LeaseEventKind::kTick}, now); }
  LeaseView View(TimePoint now) const { return lease_.View(now); }
  void BarClaims(TimePoint now) {
    lease_.BarClaims(now + LeaseSettings().duration);
  }
  // While cut off, no call reaches the store.
  void set_cut_off(bool cut_off) { cut_off_ = cut_off; }

 private:
  void Send(const LeaseEvent& event, TimePoint now) {
    for (const LeaseAction& action : lease_.Advance(event, now)) {
      if (action.kind == LeaseActionKind::kStore) {
        Call(action, now);
      }
    }
  }

  void Call(const LeaseAction& action, TimePoint now) {
    if (cut_off_) {
      Send({.kind = LeaseEventKind::kReply,
            .token = action.token,
            .reply = {StoreStatus::kAmbiguous}},
           now);
      return;
    }
    const StoreReply reply = store_.objects.Apply(action.request);
    if (store_.epoch > seen_epoch_) {
      seen_epoch_ = store_.epoch;
      Send({.kind = LeaseEventKind::kStoreRestored, .store_epoch = seen_epoch_},
           now);
      return;
    }
    Send(
        {.kind = LeaseEventKind::kReply, .token = action.token, .reply = reply},
        now);
  }

  Store& store_;
  uint64_t seen_epoch_;
  Lease lease_;
  bool cut_off_ = false;
};

// Steps all nodes and checks that at most one holds the lease, and that no one
// acts under a lower number than any before, nor under another node's number.
struct Cluster {
  explicit Cluster(size_t size) {
    for (size_t i = 0; i < size; ++i) {
      nodes.push_back(std::make_unique<Node>(
          std::string(1, static_cast<char>('a' + i)), store));
      nodes.back()->Want(now);
    }
  }

  void Step() {
    now += kStep;
    for (const auto& node : nodes) {
      node->Tick(now);
    }
    size_t holders = 0;
    for (size_t i = 0; i < nodes.size(); ++i) {
      const LeaseView view = nodes[i]->View(now);
      if (!view.held) {
        continue;
      }
      ++holders;
      const bool valid = view.fencing > last_fencing ||
                         (view.fencing == last_fencing && last_holder == i);
      broken = broken || !valid;
      last_fencing = view.fencing;
      last_holder = i;
    }
    broken = broken || holders > 1;
    held = holders == 1;
  }
  void RunFor(Duration duration) {
    for (Duration run{}; run < duration; run += kStep) {
      Step();
    }
  }

  Store store;
  TimePoint now = kStart;
  std::vector<std::unique_ptr<Node>> nodes;
  bool broken = false;
  bool held = false;
  uint64_t last_fencing = 0;
  size_t last_holder = 0;
};

}  // namespace

TEST_CASE("the holder writes its lease again after a restore of the store") {
  Cluster cluster(3);
  // The copy has no lease at all.
  const FakePlatform copy = cluster.store.objects;
  cluster.RunFor(seconds(20));
  REQUIRE(cluster.held);
  const size_t holder = cluster.last_holder;
  const uint64_t fencing = cluster.last_fencing;
  cluster.store.Restore(FakePlatform());
  cluster.RunFor(LeaseSettings().renew_every + seconds(1));
  CHECK(cluster.held);
  CHECK(cluster.last_holder == holder);
  CHECK(cluster.last_fencing / Lease::kFencingPerEpoch ==
        fencing / Lease::kFencingPerEpoch + 1);
  CHECK_FALSE(cluster.broken);
}

TEST_CASE("no node takes a lease that a restored store has lost") {
  Cluster cluster(1);
  cluster.RunFor(seconds(2));
  REQUIRE(cluster.held);
  cluster.store.Restore(FakePlatform());
  // The holder doesn't learn of the restore.
  cluster.nodes[0]->set_cut_off(true);
  // A process that starts only now, and knows of no restore.
  cluster.nodes.push_back(std::make_unique<Node>("b", cluster.store));
  cluster.nodes[1]->BarClaims(cluster.now);
  cluster.nodes[1]->Want(cluster.now);
  cluster.RunFor(seconds(60));
  CHECK(cluster.last_holder == 1);
  CHECK_FALSE(cluster.broken);
}

TEST_CASE("a record from an older copy is no proof of the lease") {
  Cluster cluster(2);
  cluster.RunFor(seconds(5));
  REQUIRE(cluster.held);
  const size_t first = cluster.last_holder;
  const FakePlatform copy = cluster.store.objects;
  cluster.nodes[first]->set_cut_off(true);
  cluster.RunFor(seconds(40));
  REQUIRE(cluster.last_holder != first);
  const size_t second = cluster.last_holder;
  cluster.nodes[first]->set_cut_off(false);
  cluster.RunFor(seconds(10));
  cluster.nodes[second]->set_cut_off(true);
  cluster.store.Restore(copy);
  cluster.RunFor(seconds(60));
  CHECK_FALSE(cluster.broken);
}

TEST_CASE("restores at random times leave at most one holder") {
  const uint64_t seed = GENERATE(range(1, 60));
  CAPTURE(seed);
  Rng rng(seed);
  Cluster cluster(4);
  std::vector<FakePlatform> copies{cluster.store.objects};
  size_t held_steps = 0;
  constexpr size_t kSteps = 1'200;
  for (size_t step = 0; step < kSteps; ++step) {
    if (rng.Uniform() < 0.02) {
      copies.push_back(cluster.store.objects);
    }
    if (rng.Uniform() < 0.01) {
      // One of the last copies; twice in a row now and then.
      const size_t age = rng.Below(std::min<size_t>(copies.size(), 3));
      cluster.store.Restore(copies[copies.size() - 1 - age]);
    }
    if (rng.Uniform() < 0.05) {
      cluster.nodes[rng.Below(4)]->set_cut_off(rng.Uniform() < 0.5);
    }
    cluster.Step();
    REQUIRE_FALSE(cluster.broken);
    held_steps += cluster.held ? 1 : 0;
  }
  CHECK(held_steps > 0);
}

}  // namespace qh
