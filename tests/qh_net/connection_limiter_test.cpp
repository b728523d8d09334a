// Which of a listener's connections are closed when there are too many, or when
// they hold too much.

#include "qh_net/connection_limiter.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

using std::chrono::seconds;

constexpr uint64_t kLimit = 100 * ByteBudget::kSmallHolding;

TimePoint At(int second) {
  return TimePoint(seconds(second));
}

// A connection that notes whether it was closed.
struct Client {
  Client(const std::shared_ptr<ConnectionLimiter>& limiter,
         const std::shared_ptr<ByteBudget>& budget,
         int second)
      : held(budget, HoldPurpose::kTraffic), slot(limiter, At(second), [this] {
          closed = true;
          held.Set(0);
        }) {}

  void Hold(uint64_t bytes) {
    held.Set(bytes);
    slot.SetHeld(bytes);
  }
  // Has a request answered that ended at `second`.
  void Serve(int second) {
    slot.SetPhase(ConnectionPhase::kReceiving, At(second));
    slot.SetPhase(ConnectionPhase::kRunning, At(second));
    slot.SetPhase(ConnectionPhase::kSending, At(second));
    slot.SetPhase(ConnectionPhase::kIdle, At(second));
  }

  bool closed = false;
  HeldBytes held;
  ConnectionSlot slot;
};

struct Fixture {
  std::unique_ptr<Client> Open(int second) {
    return std::make_unique<Client>(limiter, budget, second);
  }

  std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(kLimit);
  std::shared_ptr<ConnectionLimiter> limiter =
      std::make_shared<ConnectionLimiter>("test", 4);
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a new connection takes the place of a stopped one") {
  const auto idle = Open(0);
  const auto stopped = Open(2);
  const auto served = Open(1);
  const auto running = Open(0);
  idle->Serve(0);
  served->Serve(5);
  stopped->slot.SetPhase(ConnectionPhase::kReceiving, At(6));
  running->slot.SetPhase(ConnectionPhase::kRunning, At(1));
  CHECK(limiter->MakeRoom(At(10)));
  CHECK(stopped->closed);
  CHECK(limiter->open_connections() == 3);
  const auto newer = Open(10);
  newer->slot.SetPhase(ConnectionPhase::kRunning, At(10));
  CHECK(limiter->MakeRoom(At(11)));
  CHECK(idle->closed);
  CHECK_FALSE(served->closed);
  CHECK_FALSE(running->closed);
}

// Guards against a request that was forwarded to a server and is lost.
TEST_CASE_METHOD(Fixture, "a connection whose request runs is never closed") {
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(Open(i));
    clients.back()->slot.SetPhase(ConnectionPhase::kRunning, At(i));
    clients.back()->Hold(kLimit / 8);
  }
  size_t refused = 0;
  limiter->on_limited = [&](const LimitedConnection& limited) {
    refused += limited.refused ? 1 : 0;
  };
  CHECK_FALSE(limiter->MakeRoom(At(100)));
  HeldBytes more(budget, HoldPurpose::kTraffic);
  CHECK_FALSE(limiter->TryHold(more, kLimit / 2, nullptr, At(100)));
  CHECK(refused == 2);
  for (const auto& client : clients) {
    CHECK_FALSE(client->closed);
  }
}

TEST_CASE_METHOD(Fixture, "memory is taken from who held most for longest") {
  const auto large_old = Open(0);
  const auto small_old = Open(0);
  const auto large_new = Open(0);
  for (Client* client : {large_old.get(), small_old.get()}) {
    client->slot.SetPhase(ConnectionPhase::kReceiving, At(0));
  }
  large_new->slot.SetPhase(ConnectionPhase::kReceiving, At(9));
  large_old->Hold(kLimit / 4);
  small_old->Hold(kLimit / 100);
  large_new->Hold(kLimit / 5);
  const auto owner = Open(0);
  owner->slot.SetPhase(ConnectionPhase::kReceiving, At(9));
  CHECK(limiter->TryHold(owner->held, kLimit / 10, &owner->slot, At(10)));
  CHECK(large_old->closed);
  CHECK_FALSE(small_old->closed);
  CHECK_FALSE(large_new->closed);
}

// Guards against clients that take each other's place without end: the one that
// asks has held most itself.
TEST_CASE_METHOD(Fixture, "who has held most itself is refused") {
  const auto owner = Open(0);
  owner->slot.SetPhase(ConnectionPhase::kReceiving, At(0));
  owner->Hold(kLimit / 4);
  const auto other = Open(0);
  other->slot.SetPhase(ConnectionPhase::kReceiving, At(9));
  other->Hold(kLimit / 4);
  CHECK_FALSE(limiter->TryHold(owner->held, kLimit / 3, &owner->slot, At(10)));
  CHECK_FALSE(other->closed);
  CHECK(budget->held() == kLimit / 2);
}

TEST_CASE_METHOD(Fixture, "a request that runs takes memory from any other") {
  const auto other = Open(0);
  other->slot.SetPhase(ConnectionPhase::kReceiving, At(9));
  other->Hold(kLimit / 2);
  HeldBytes running(budget, HoldPurpose::kTraffic);
  CHECK(limiter->TryHold(running, kLimit / 10, nullptr, At(9)));
  CHECK(other->closed);
}

TEST_CASE_METHOD(Fixture, "a connection that ends makes room") {
  auto first = Open(0);
  const auto second = Open(0);
  first.reset();
  second->slot.Release();
  CHECK(limiter->open_connections() == 0);
}

}  // namespace qh
