// Servers as nodes hand them on: a peer's snapshot that arrives late takes
// nothing back.

#include "qh_gateway/decisions/server_snapshot.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

StoredObject Object(const std::string& name, const std::string& content) {
  return {.name = name, .content = content};
}

ServerSnapshot Known(uint64_t revision,
                     const std::vector<StoredObject>& objects) {
  ServerSnapshot snapshot;
  snapshot.OnList(objects);
  snapshot.OnConfirmed(revision);
  return snapshot;
}

}  // namespace

TEST_CASE("a node that the store turned away takes what a peer knows") {
  const ServerSnapshot blind = Known(5, {Object("a", "ready")});
  const ServerSnapshot peer =
      Known(9, {Object("a", "draining"), Object("b", "ready")});
  const auto page = blind.ReadNewer(peer.Encode());
  REQUIRE(page);
  REQUIRE(page.value());
  CHECK(page.value()->revision == 9);
  REQUIRE(page.value()->objects.size() == 2);
  CHECK(page.value()->objects[0].name == "a");
  CHECK(page.value()->objects[0].content == "draining");
}

// Seen on rsa-kursnetz-grown, scale-1 with seed 11342284408: the store turned
// a node away and served it again while a peer's answer was under way; the
// answer undid a server's drain, and the watch did not tell it again.
TEST_CASE("a peer's answer that the store has overtaken takes nothing back") {
  ServerSnapshot node = Known(5, {Object("a", "ready")});
  const std::string under_way = Known(9, {Object("a", "ready")}).Encode();
  node.OnList({Object("a", "draining")});
  node.OnConfirmed(12);
  const auto page = node.ReadNewer(under_way);
  REQUIRE(page);
  CHECK_FALSE(page.value());
  CHECK_FALSE(node.ReadNewer(Known(12, {}).Encode()).value());
}

TEST_CASE("what a peer tells follows the changes of the watch") {
  ServerSnapshot node = Known(5, {Object("a", "ready"), Object("b", "ready")});
  node.OnObject(Object("a", "draining"));
  node.OnRemoved("b");
  node.OnConfirmed(7);
  // A list that was read before the changes came.
  node.OnConfirmed(6);
  CHECK(node.revision() == 7);
  const auto page = ServerSnapshot().ReadNewer(node.Encode());
  REQUIRE(page);
  REQUIRE(page.value());
  REQUIRE(page.value()->objects.size() == 1);
  CHECK(page.value()->objects[0].content == "draining");
}

TEST_CASE("a peer's answer that is no snapshot is refused") {
  const std::string text =
      GENERATE("", "[]", "{\"revision\":3}", "{\"servers\":{}}",
               "{\"revision\":3,\"servers\":[]}",
               "{\"revision\":3,\"servers\":{\"a\":1}}",
               "{\"revision\":\"3\",\"servers\":{}}");
  CAPTURE(text);
  CHECK(ServerSnapshot().ReadNewer(text).error().kind() ==
        ErrorKind::kPeerMalformed);
}

}  // namespace qh
