// Snapshots of the servers that nodes send to each other: a snapshot that
// arrives late reverts no change.

#include "qh_gateway/decisions/server_snapshot.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

StoredObject Object(const std::string& name, const std::string& content) {
  return {.name = name, .content = content};
}

ServerSnapshot MakeSnapshot(uint64_t revision,
                            const std::vector<StoredObject>& objects) {
  ServerSnapshot snapshot;
  snapshot.OnList(objects);
  snapshot.OnConfirmed({.epoch = 1, .revision = revision});
  return snapshot;
}

}  // namespace

TEST_CASE("a node that can't reach the store accepts a peer's newer snapshot") {
  const ServerSnapshot node = MakeSnapshot(5, {Object("a", "ready")});
  const ServerSnapshot peer =
      MakeSnapshot(9, {Object("a", "draining"), Object("b", "ready")});
  const auto page = node.ReadNewer(peer.Encode());
  REQUIRE(page);
  REQUIRE(page.value());
  CHECK(page.value()->version.revision == 9);
  REQUIRE(page.value()->objects.size() == 2);
  CHECK(page.value()->objects[0].name == "a");
  CHECK(page.value()->objects[0].content == "draining");
}

// Guards against reverting a server's drain: the store refused a node's calls
// and answered them again while a peer's snapshot was in flight. The outdated
// snapshot reverted the drain, and the watch did not report it again. Seen on
// rsa-kursnetz-grown, scale-1 with seed 11342284408.
TEST_CASE("a peer's snapshot older than the store's answer is ignored") {
  ServerSnapshot node = MakeSnapshot(5, {Object("a", "ready")});
  const std::string in_flight =
      MakeSnapshot(9, {Object("a", "ready")}).Encode();
  node.OnList({Object("a", "draining")});
  node.OnConfirmed({.epoch = 1, .revision = 12});
  const auto page = node.ReadNewer(in_flight);
  REQUIRE(page);
  CHECK_FALSE(page.value());
  CHECK_FALSE(node.ReadNewer(MakeSnapshot(12, {}).Encode()).value());
}

TEST_CASE("a snapshot includes the changes reported by the watch") {
  ServerSnapshot node =
      MakeSnapshot(5, {Object("a", "ready"), Object("b", "ready")});
  node.OnObject(Object("a", "draining"));
  node.OnRemoved("b");
  node.OnConfirmed({.epoch = 1, .revision = 7});
  // A list that was read before the changes does not lower the revision.
  node.OnConfirmed({.epoch = 1, .revision = 6});
  CHECK(node.version().revision == 7);
  const auto page = ServerSnapshot().ReadNewer(node.Encode());
  REQUIRE(page);
  REQUIRE(page.value());
  REQUIRE(page.value()->objects.size() == 1);
  CHECK(page.value()->objects[0].content == "draining");
}

TEST_CASE("a malformed snapshot is refused") {
  const std::string text = GENERATE(
      "", "[]", "{\"epoch\":1,\"revision\":3}", "{\"epoch\":1,\"servers\":{}}",
      "{\"revision\":3,\"servers\":{}}",
      "{\"epoch\":1,\"revision\":3,\"servers\":[]}",
      "{\"epoch\":1,\"revision\":3,\"servers\":{\"a\":1}}",
      "{\"epoch\":1,\"revision\":\"3\",\"servers\":{}}",
      "{\"epoch\":-1,\"revision\":3,\"servers\":{}}");
  CAPTURE(text);
  CHECK(ServerSnapshot().ReadNewer(text).error().kind() ==
        ErrorKind::kPeerMalformed);
}

}  // namespace qh
