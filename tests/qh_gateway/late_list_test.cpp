// A list of the store that arrives late: nodes have learned of later changes by
// then, which the list must not undo on any of them.

#include <catch2/catch.hpp>
#include <set>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kServers = 4;
constexpr size_t kGone = 1;
// Long enough for a node to ask a peer, and for the watch that follows a list.
constexpr Duration kSettleTime = milliseconds(1'200);
constexpr Duration kLimit = seconds(4);
const GatewaySettings kSettings;

struct LateListFixture : DeploymentFixture {
  // The store answers the lists of servers that these nodes ask for, but the
  // answers are held up. Other faults are those of `other`.
  void DelayLists(std::set<size_t> nodes, FakeObjectStore::Fault other = {}) {
    store.SetFault([nodes = std::move(nodes),
                    other = std::move(other)](const ObjectStoreCall& call) {
      const bool is_list = call.kind == "servers" && !call.is_watch;
      if (is_list && nodes.contains(call.client)) {
        return ObjectStoreFault::kDelay;
      }
      return other ? other(call) : ObjectStoreFault::kNone;
    });
  }
  // A server leaves while a list that still has it is held up. Returns whether
  // all nodes learn of it, those that wait for the list from their peers.
  bool AllLearnOfRemoval() {
    if (!TimeUntil([&] { return store.has_delayed(); }, kLimit)) {
      return false;
    }
    RemoveServer(kGone);
    return TimeUntil(
               [&] {
                 return AllOf([&](size_t node) {
                   return StateOf(node).servers_listed &&
                          KnowsGone(node, kGone);
                 });
               },
               kLimit)
        .has_value();
  }
  // The list arrives. Returns whether a node then uses the server again.
  bool ServerReturns() {
    store.SetFault({});
    store.SendDelayed();
    return TimeUntil(
               [&] {
                 return !AllOf(
                     [&](size_t node) { return KnowsGone(node, kGone); });
               },
               kSettleTime)
        .has_value();
  }
  // Another server leaves. Returns whether all nodes know it in time.
  bool NextChangeIsKnown() {
    RemoveServer(kGone + 1);
    return TimeUntil(
               [&] {
                 return AllOf(
                     [&](size_t node) { return KnowsGone(node, kGone + 1); });
               },
               kSettings.server_drain)
        .has_value();
  }
};

}  // namespace

// Guards against requests to a server that is gone (DRAIN): the store's answer
// to a new node was held up by a cut, and undid what a peer had told the node.
TEST_CASE_METHOD(LateListFixture,
                 "a late list does not bring a server back on a new node") {
  StartNodes(4, 4, kServers);
  const size_t added = 4;
  DelayLists({added});
  AddNode();
  REQUIRE(AllLearnOfRemoval());
  CHECK_FALSE(ServerReturns());
  CHECK(NextChangeIsKnown());
}

// The same on a node that has run for long: it lists again after its watch has
// failed, or after the store has dropped the history that the watch needs.
TEST_CASE_METHOD(LateListFixture,
                 "a late list does not bring a server back on a node that "
                 "lists again") {
  StartNodes(4, 4, kServers);
  const size_t node = 2;
  const ObjectStoreFault fault =
      GENERATE(ObjectStoreFault::kRefuse, ObjectStoreFault::kExpire);
  CAPTURE(fault == ObjectStoreFault::kRefuse);
  DelayLists({node}, [fault](const ObjectStoreCall& call) {
    return call.client == node && call.is_watch && call.kind == "servers"
               ? fault
               : ObjectStoreFault::kNone;
  });
  // The node's open watch is answered, and the next one fails.
  PutServer(kServers, false);
  REQUIRE(AllLearnOfRemoval());
  CHECK_FALSE(ServerReturns());
  CHECK(NextChangeIsKnown());
}

// Guards against a copy that counts as current because an answer arrived,
// though the answer was on its way for long: the next check would come too
// late.
TEST_CASE_METHOD(LateListFixture,
                 "a late list confirms the copy as of when it was asked for") {
  const Duration delay = seconds(1);
  StartNodes(1, 1, kServers);
  DelayLists({0}, [](const ObjectStoreCall& call) {
    return call.is_watch && call.kind == "servers" ? ObjectStoreFault::kRefuse
                                                   : ObjectStoreFault::kNone;
  });
  PutServer(kServers, false);
  REQUIRE(TimeUntil([&] { return store.has_delayed(); }, kLimit));
  TimeUntil([] { return false; }, delay);
  const StateFreshness& freshness = StateOf(0).freshness;
  const int64_t number = freshness.Last(StateKind::kServers)->number;
  store.SendDelayed();
  REQUIRE(TimeUntil(
      [&] { return freshness.Last(StateKind::kServers)->number != number; },
      kLimit));
  CHECK(*freshness.Age(StateKind::kServers, BootNow()) >= delay);
}

// A relay's copy becomes that of its whole failure domain. The relay is cut off
// from the store, and the lists of those that take over are held up.
TEST_CASE_METHOD(LateListFixture,
                 "a late list of a relay does not bring a server back in its "
                 "failure domain") {
  StartNodes(18, 3, kServers);
  const std::set<size_t> relays = FollowersOf(0, "servers");
  REQUIRE_FALSE(relays.empty());
  std::set<size_t> others;
  for (size_t node = 0; node < 18; ++node) {
    if (DomainOf(node) == 0 && !relays.contains(node)) {
      others.insert(node);
    }
  }
  DelayLists(others, [&relays](const ObjectStoreCall& call) {
    return relays.contains(call.client) ? ObjectStoreFault::kRefuse
                                        : ObjectStoreFault::kNone;
  });
  PutServer(kServers, false);
  REQUIRE(AllLearnOfRemoval());
  CHECK_FALSE(ServerReturns());
  CHECK(NextChangeIsKnown());
}

}  // namespace qh
