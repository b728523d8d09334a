// A node learns of a server's coming and going in one answer, so that nothing
// has changed for it. Peers that know the server learn of its end all the same.

#include <catch2/catch.hpp>
#include <set>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

using std::chrono::seconds;

constexpr size_t kServers = 4;
// The server that comes and goes.
constexpr size_t kShortLived = kServers;
constexpr Duration kLimit = seconds(10);
const GatewaySettings kSettings;

struct SkippedChangeFixture : DeploymentFixture {
  // The store does not answer these nodes' calls for the servers.
  void Hold(std::set<size_t> nodes) {
    store.SetFault([nodes = std::move(nodes)](const ObjectStoreCall& call) {
      return call.kind == "servers" && nodes.contains(call.client)
                 ? ObjectStoreFault::kHang
                 : ObjectStoreFault::kNone;
    });
  }
  bool Watches(size_t node) const {
    return store.HasOpenWatch(node, "servers");
  }
  // A server comes, which `others` learn of and `skipping` does not, and then
  // goes, which the store tells `skipping` alone. Returns whether all of
  // `others` know its end within the time that a server drains.
  bool OthersLearnOfEnd(size_t skipping, const std::set<size_t>& others) {
    std::set<size_t> not_told = others;
    not_told.insert(skipping);
    Hold({skipping});
    PutServer(kShortLived, false);
    // One of them knows the server, and its next watch is yet to begin: the
    // store won't answer that one.
    REQUIRE(TimeUntil(
        [&] {
          return std::any_of(others.begin(), others.end(), [&](size_t node) {
            return !KnowsGone(node, kShortLived) && !Watches(node);
          });
        },
        kLimit));
    REQUIRE(KnowsGone(skipping, kShortLived));
    not_told.erase(skipping);
    Hold(not_told);
    RemoveServer(kShortLived);
    return TimeUntil(
               [&] {
                 return std::all_of(
                     others.begin(), others.end(),
                     [&](size_t node) { return KnowsGone(node, kShortLived); });
               },
               kSettings.server_drain)
        .has_value();
  }
};

}  // namespace

// Guards against requests to a server that is gone (DRAIN): a node told its
// peers nothing of a removal that made no difference to itself, and they went
// on to its version with the server still in their copies.
TEST_CASE_METHOD(SkippedChangeFixture,
                 "the end of a server that a peer never knew is learned from "
                 "the peer") {
  StartNodes(4, 4, kServers);
  REQUIRE(TimeUntil([&] { return Watches(0); }, kLimit));
  CHECK(OthersLearnOfEnd(0, {1, 2, 3}));
}

// The same behind relays: the node reads the store for its failure domain.
TEST_CASE_METHOD(
    SkippedChangeFixture,
    "the end of a server that a relay never knew is learned in its "
    "failure domain") {
  StartNodes(18, 3, kServers);
  REQUIRE(
      TimeUntil([&] { return !FollowersOf(0, "servers").empty(); }, kLimit));
  const size_t reader = *FollowersOf(0, "servers").begin();
  // A second node begins to read, and goes on for a while after the first one
  // is answered again.
  store.SetFault([&](const ObjectStoreCall& call) {
    return call.client == reader ? ObjectStoreFault::kRefuse
                                 : ObjectStoreFault::kNone;
  });
  PutServer(0, false);
  REQUIRE(TimeUntil(
      [&] {
        const auto followers = FollowersOf(0, "servers");
        return !followers.empty() && !followers.contains(reader);
      },
      kLimit));
  store.SetFault({});
  REQUIRE(TimeUntil([&] { return Watches(reader); }, kLimit));
  std::set<size_t> others;
  for (size_t node = 0; node < 18; ++node) {
    if (DomainOf(node) == 0 && node != reader) {
      others.insert(node);
    }
  }
  CHECK(OthersLearnOfEnd(reader, others));
}

}  // namespace qh
