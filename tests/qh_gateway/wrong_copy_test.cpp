// A node whose copy of the servers is wrong for whatever reason: peers that
// hold another copy of the same version show it, and it is read anew.

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

constexpr size_t kServers = 4;
// The server that the wrong list leaves out.
constexpr size_t kOmitted = 0;
constexpr Duration kRepairLimit = std::chrono::seconds(20);
constexpr Duration kQuietTime = std::chrono::seconds(10);

struct WrongCopyFixture : DeploymentFixture {
  // The next list of servers that one of `nodes` asks for is wrong; until then
  // the store refuses their watches, so that they ask.
  void GiveWrongList(std::set<size_t> nodes) {
    store.SetFault([this, nodes](const ObjectStoreCall& call) {
      if (call.kind != "servers") {
        return ObjectStoreFault::kNone;
      }
      if (!call.is_watch) {
        ++lists;
      }
      if (wrong_given || !nodes.contains(call.client)) {
        return ObjectStoreFault::kNone;
      }
      refused = refused || call.is_watch;
      wrong_given = !call.is_watch;
      return call.is_watch ? ObjectStoreFault::kRefuse
                           : ObjectStoreFault::kOmitFirst;
    });
  }
  bool Knows(size_t node) const {
    return StateOf(node).directory.Find(ServerId("s0")) != nullptr;
  }
  size_t NodesWithout() const {
    size_t without = 0;
    AllOf([&](size_t node) {
      without += Knows(node) ? 0 : 1;
      return true;
    });
    return without;
  }
  bool IsRepaired() {
    return TimeUntil([&] { return NodesWithout() == 0; }, kRepairLimit)
        .has_value();
  }

  // Whether the store has refused a watch, and has given the wrong list.
  bool refused = false;
  bool wrong_given = false;
  size_t lists = 0;
};

}  // namespace

// Guards against a copy that stays wrong for good: each watch goes on from the
// version that the copy claims.
TEST_CASE_METHOD(WrongCopyFixture,
                 "a node whose copy is wrong reads it anew, and no other does "
                 "again and again") {
  StartNodes(4, 4, kServers);
  GiveWrongList({2});
  PutServer(kServers, false);
  REQUIRE(TimeUntil([&] { return !Knows(2); }, kRepairLimit));
  CHECK(IsRepaired());
  // One list was the wrong one; each node may have listed once more.
  CHECK(lists <= 1 + 4);
  const size_t lists_until_repair = lists;
  CHECK_FALSE(
      TimeUntil([&] { return lists > lists_until_repair; }, kQuietTime));
}

// A relay's wrong copy becomes that of its failure domain.
TEST_CASE_METHOD(WrongCopyFixture,
                 "a failure domain whose relay's copy is wrong gets a right "
                 "one") {
  StartNodes(18, 3, kServers);
  const std::set<size_t> followers = FollowersOf(0, "servers");
  REQUIRE_FALSE(followers.empty());
  GiveWrongList(followers);
  PutServer(kServers, false);
  // The wrong list is of a later version than the domain knows.
  REQUIRE(TimeUntil([&] { return refused; }, kRepairLimit));
  PutServer(kServers + 1, false);
  REQUIRE(TimeUntil([&] { return NodesWithout() > 1; }, kRepairLimit));
  CHECK(IsRepaired());
  // Only the nodes that follow the store list.
  CHECK(lists <= 1 + 3 + 2);
}

}  // namespace qh
