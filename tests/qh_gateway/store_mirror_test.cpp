// Objects of the store that nodes send to each other: what arrives late reverts
// no change, whoever sent it, and changes are as good as a whole list.

#include "qh_gateway/decisions/store/store_mirror.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

StoredObject Object(const std::string& name, const std::string& content) {
  return {.name = name, .content = content};
}

StoredObject Removed(const std::string& name) {
  return {.name = name, .removed = true};
}

StoreUpdate List(const StoreVersion& version,
                 const std::vector<StoredObject>& objects) {
  return {.objects = objects, .version = version};
}

StoreUpdate Changes(const StoreVersion& since,
                    const StoreVersion& version,
                    const std::vector<StoredObject>& objects) {
  return {.objects = objects, .version = version, .since = since};
}

StoreMirror MakeMirror(uint64_t revision,
                       const std::vector<StoredObject>& objects) {
  StoreMirror mirror;
  REQUIRE(mirror.Take(List({1, revision}, objects)));
  return mirror;
}

// What `node` takes of what `peer` tells it; nullopt if nothing.
std::optional<StoreUpdate> TakeFrom(StoreMirror& node,
                                    const StoreMirror& peer,
                                    const StoreVersion& since) {
  const auto update = StoreMirror::Decode(peer.EncodeSince(since), since);
  REQUIRE(update);
  return node.Take(update.value());
}

uint64_t DigestOf(const StoreMirror& mirror) {
  return *mirror.state().digest;
}

}  // namespace

TEST_CASE("a node that can't reach the store accepts a peer's newer snapshot") {
  StoreMirror node = MakeMirror(5, {Object("a", "ready")});
  const StoreMirror peer =
      MakeMirror(9, {Object("a", "draining"), Object("b", "ready")});
  const auto taken = TakeFrom(node, peer, {});
  REQUIRE(taken);
  CHECK(node.version() == StoreVersion{1, 9});
  REQUIRE(taken->objects.size() == 2);
  CHECK(taken->objects[0].name == "a");
  CHECK(taken->objects[0].content == "draining");
}

// Guards against reverting a server's drain: the store refused a node's calls
// and answered them again while a peer's snapshot was in flight. The outdated
// snapshot reverted the drain, and the watch did not report it again. Seen on
// rsa-kursnetz-grown, scale-1 with seed 11342284408.
TEST_CASE("a peer's snapshot older than the store's answer is ignored") {
  StoreMirror node = MakeMirror(5, {Object("a", "ready")});
  const StoreMirror in_flight = MakeMirror(9, {Object("a", "ready")});
  REQUIRE(node.Take(List({1, 12}, {Object("a", "draining")})));
  const uint64_t digest = DigestOf(node);
  CHECK_FALSE(TakeFrom(node, in_flight, {}));
  CHECK_FALSE(TakeFrom(node, MakeMirror(12, {}), {}));
  CHECK(DigestOf(node) == digest);
  CHECK(node.version() == StoreVersion{1, 12});
}

// Guards against requests to a server that is gone (DRAIN): a list of the store
// that a cut held up replaced the objects of a peer's later copy, and the
// mirror went on to claim the later version.
TEST_CASE("a list that is older than the mirror changes nothing") {
  StoreMirror node = MakeMirror(9, {Object("a", "ready")});
  const uint64_t digest = DigestOf(node);
  CHECK_FALSE(
      node.Take(List({1, 8}, {Object("a", "ready"), Object("b", "ready")})));
  CHECK(node.version() == StoreVersion{1, 9});
  CHECK(DigestOf(node) == digest);
  SECTION("what peers are told is the later state too") {
    StoreMirror peer;
    REQUIRE(TakeFrom(peer, node, {}));
    CHECK(DigestOf(peer) == digest);
  }
  SECTION("nor does a later epoch's mirror go back to an earlier one") {
    node.Discard(2);
    CHECK_FALSE(node.Take(List({1, 900}, {Object("b", "ready")})));
    CHECK(node.version() == StoreVersion{2, 0});
    CHECK(node.Take(List({2, 3}, {Object("b", "ready")})));
  }
}

TEST_CASE("changes are taken only if they lead on from the mirror's version") {
  StoreMirror node = MakeMirror(9, {Object("a", "1")});
  const uint64_t digest = DigestOf(node);
  const std::vector<StoredObject> objects{Object("b", "1")};
  const auto [since, version] = GENERATE(table<StoreVersion, StoreVersion>({
      {{1, 5}, {1, 8}},    // known already
      {{1, 5}, {1, 9}},    // likewise
      {{1, 10}, {1, 12}},  // what changed between 9 and 10 is missing
      {{0, 5}, {1, 12}},   // across epochs
      {{2, 5}, {2, 12}},   // of another epoch
  }));
  CAPTURE(since.epoch, since.revision, version.epoch, version.revision);
  CHECK_FALSE(node.Take(Changes(since, version, objects)));
  CHECK(node.version() == StoreVersion{1, 9});
  CHECK(DigestOf(node) == digest);
  CHECK(node.Take(Changes({1, 5}, {1, 10}, objects)));
  CHECK(node.version() == StoreVersion{1, 10});
}

// A list has the version of its first page. What a peer tells while the others
// are read is later, also where a later page shows more.
TEST_CASE("an update that arrives between two pages of a list counts") {
  StoreMirror node = MakeMirror(4, {Object("a", "ready")});
  const StoreMirror peer = MakeMirror(6, {Object("b", "ready")});
  REQUIRE(TakeFrom(node, peer, {}));
  CHECK_FALSE(node.Take(
      List({1, 5}, {Object("a", "ready"), Object("b", "of revision 7")})));
  CHECK(DigestOf(node) == DigestOf(peer));
  REQUIRE(node.Take(Changes({1, 6}, {1, 7}, {Object("b", "of revision 7")})));
}

TEST_CASE("changes mean nothing to a mirror that knows no objects") {
  StoreMirror node;
  CHECK_FALSE(node.Take(Changes({}, {0, 5}, {Object("a", "1")})));
  CHECK(node.version() == StoreVersion());
}

// A watch may go back to before what peers have told: an object that was
// changed and then removed must not come back in between.
TEST_CASE("of several changes of an object only the last one counts") {
  StoreMirror node = MakeMirror(9, {Object("b", "1")});
  const auto taken = node.Take(
      Changes({1, 5}, {1, 12},
              {Object("a", "1"), Removed("a"), Object("b", "0"),
               Object("b", "1"), Object("c", "1"), Object("c", "2")}));
  REQUIRE(taken);
  REQUIRE(taken->objects.size() == 1);
  CHECK(taken->objects[0].name == "c");
  CHECK(taken->objects[0].content == "2");
}

TEST_CASE("a list of the store replaces objects of its own version") {
  StoreMirror node = MakeMirror(9, {Object("a", "wrong")});
  const StoreMirror right = MakeMirror(9, {Object("a", "right")});
  REQUIRE(node.Take(List({1, 9}, {Object("a", "right")})));
  CHECK(DigestOf(node) == DigestOf(right));
}

TEST_CASE("a mirror in doubt takes a list, even a peer's of its own version") {
  StoreMirror node = MakeMirror(9, {Object("a", "wrong")});
  const StoreMirror peer = MakeMirror(9, {Object("a", "right")});
  CHECK_FALSE(node.IsBehind(peer.state()));
  node.Doubt();
  CHECK(node.IsBehind(peer.state()));
  CHECK_FALSE(node.IsBehind(MakeMirror(8, {Object("a", "old")}).state()));
  CHECK_FALSE(TakeFrom(node, MakeMirror(8, {Object("a", "old")}), {}));
  CHECK_FALSE(node.Take(Changes({1, 9}, {1, 10}, {Object("b", "1")})));
  CHECK(node.base() == StoreVersion());
  REQUIRE(TakeFrom(node, peer, node.base()));
  CHECK(DigestOf(node) == DigestOf(peer));
  CHECK(node.base() == StoreVersion{1, 9});
  CHECK_FALSE(node.IsBehind(MakeMirror(9, {}).state()));
}

TEST_CASE("a snapshot includes the changes reported by the watch") {
  StoreMirror node =
      MakeMirror(5, {Object("a", "ready"), Object("b", "ready")});
  REQUIRE(node.Take(
      Changes({1, 5}, {1, 7}, {Object("a", "draining"), Removed("b")})));
  StoreMirror peer;
  const auto taken = TakeFrom(peer, node, {});
  REQUIRE(taken);
  REQUIRE(taken->objects.size() == 1);
  CHECK(taken->objects[0].content == "draining");
}

TEST_CASE("a peer that asks for changes gets only these") {
  StoreMirror relay =
      MakeMirror(5, {Object("a", "ready"), Object("b", "ready")});
  StoreMirror node;
  const auto read = [&] {
    const auto taken = TakeFrom(node, relay, node.version());
    REQUIRE(taken);
    return *taken;
  };
  CHECK_FALSE(read().since);

  REQUIRE(relay.Take(
      Changes({1, 5}, {1, 7}, {Object("a", "draining"), Removed("b")})));
  const auto second = read();
  CHECK(second.since);
  REQUIRE(second.objects.size() == 2);
  CHECK(second.objects[0].content == "draining");
  CHECK(second.objects[1].removed);
  CHECK_FALSE(TakeFrom(node, relay, node.version()));

  SECTION("a version without a change is no reason to ask") {
    REQUIRE(relay.Take(Changes({1, 7}, {1, 90}, {})));
    CHECK(relay.state().changed == StoreVersion{1, 7});
    CHECK_FALSE(node.IsBehind(relay.state()));
    node.ConfirmBy(relay.state());
    CHECK(node.version() == StoreVersion{1, 90});
  }
  SECTION("nor is a new list of the same objects") {
    REQUIRE(relay.Take(List({1, 90}, {Object("a", "draining")})));
    CHECK_FALSE(node.IsBehind(relay.state()));
    CHECK(read().since);
  }
  SECTION("it gets all objects when the changes are no longer known") {
    for (size_t i = 0; i <= StoreMirror::kMaxChanges; ++i) {
      REQUIRE(relay.Take(Changes(relay.version(), {1, 10 + i},
                                 {Object("a", std::to_string(i))})));
    }
    CHECK_FALSE(read().since);
  }
  SECTION("it gets all objects of a restored store") {
    relay.Discard(2);
    CHECK_FALSE(node.IsBehind(relay.state()));
    REQUIRE(relay.Take(List({2, 1}, {Object("c", "ready")})));
    CHECK(node.IsBehind(relay.state()));
    const auto update = read();
    CHECK_FALSE(update.since);
    CHECK(update.objects.size() == 1);
  }
}

// The versions of two epochs don't compare, and a node that discarded its
// objects has none to compare.
TEST_CASE("only the same objects confirm a mirror, and only in its epoch") {
  StoreMirror node = MakeMirror(5, {Object("a", "1")});
  MirrorState peer = node.state();
  const StoreVersion before = node.version();
  SECTION("other objects") {
    peer.version = {1, 9};
    peer.digest = *peer.digest + 1;
  }
  SECTION("a later epoch") {
    peer.version = {2, 9};
  }
  SECTION("an earlier version") {
    peer.version = {1, 3};
  }
  node.ConfirmBy(peer);
  CHECK(node.version() == before);
  node.Discard(2);
  node.ConfirmBy({.version = {2, 9}, .digest = DigestOf(node)});
  CHECK(node.version() == StoreVersion{2, 0});
  CHECK(node.IsBehind({.version = {2, 9}, .digest = DigestOf(node)}));
}

TEST_CASE("a malformed update is refused") {
  const std::string text = GENERATE(
      "", "[]", R"({"epoch":1,"revision":3,"complete":true})",
      R"({"epoch":1,"objects":{},"complete":true})",
      R"({"revision":3,"objects":{},"complete":true})",
      R"({"epoch":1,"revision":3,"objects":{}})",
      R"({"epoch":1,"revision":3,"objects":[],"complete":true})",
      R"({"epoch":1,"revision":3,"objects":{"a":1},"complete":true})",
      R"({"epoch":1,"revision":3,"objects":{"a":null},"complete":true})",
      R"({"epoch":1,"revision":"3","objects":{},"complete":true})",
      R"({"epoch":-1,"revision":3,"objects":{},"complete":true})");
  CAPTURE(text);
  CHECK(StoreMirror::Decode(text, {}).error().kind() ==
        ErrorKind::kPeerMalformed);
}

// Nodes that were told of the same changes in other batches have other
// versions.
TEST_CASE("mirrors with the same objects have the same digest") {
  StoreMirror listed = MakeMirror(9, {Object("a", "2"), Object("c", "1")});
  StoreMirror watched = MakeMirror(5, {Object("a", "1"), Object("b", "1")});
  CHECK(DigestOf(listed) != DigestOf(watched));
  REQUIRE(watched.Take(
      Changes({1, 5}, {1, 6}, {Object("a", "2"), Removed("b"), Removed("b")})));
  CHECK(DigestOf(listed) != DigestOf(watched));
  REQUIRE(watched.Take(
      Changes({1, 6}, {1, 7}, {Object("c", "1"), Object("c", "1")})));
  CHECK(DigestOf(listed) == DigestOf(watched));
}

TEST_CASE("changes that a mirror holds already are left out of an update") {
  StoreMirror peer = MakeMirror(5, {Object("a", "1"), Object("b", "1")});
  StoreMirror node = peer;
  REQUIRE(peer.Take(Changes({1, 5}, {1, 9}, {Object("a", "2"), Removed("b")})));
  REQUIRE(node.Take(Changes({1, 5}, {1, 7}, {Object("a", "2")})));
  const auto taken = TakeFrom(node, peer, {1, 5});
  REQUIRE(taken);
  REQUIRE(taken->objects.size() == 1);
  CHECK(taken->objects[0].name == "b");
}

// Guards against requests to a server that is gone (DRAIN): a copy that was
// wrong went on to each later version, until its digest was compared.
TEST_CASE(
    "changes that lead to other objects than the sender's put a copy in "
    "doubt") {
  StoreMirror node = MakeMirror(9, {Object("a", "1"), Object("gone", "1")});
  StoreMirror peer = MakeMirror(9, {Object("a", "1")});
  REQUIRE(peer.Take(Changes({1, 9}, {1, 10}, {Object("a", "2")})));
  const uint64_t digest = DigestOf(node);
  CHECK_FALSE(TakeFrom(node, peer, node.base()));
  CHECK(node.is_in_doubt());
  CHECK(DigestOf(node) == digest);
  CHECK(node.version() == StoreVersion{1, 9});
  CHECK(node.IsBehind(peer.state()));
  REQUIRE(TakeFrom(node, peer, node.base()));
  CHECK_FALSE(node.is_in_doubt());
  CHECK(DigestOf(node) == DigestOf(peer));
}

// The peer's version lies between two of the sender's, which has not seen all
// that happened between them.
TEST_CASE("a version that the sender has skipped gets all objects") {
  const std::vector<StoredObject> objects{Object("a", "1")};
  StoreMirror sender = MakeMirror(5, objects);
  StoreMirror reader = MakeMirror(5, objects);
  StoreMirror between = MakeMirror(5, objects);
  REQUIRE(between.Take(Changes({1, 5}, {1, 6}, {Object("b", "1")})));
  REQUIRE(
      reader.Take(Changes({1, 5}, {1, 9}, {Object("b", "1"), Removed("b")})));
  SECTION("as it was told that nothing differs") {
    sender.ConfirmBy(reader.state());
  }
  SECTION("as it has listed anew") {
    REQUIRE(sender.Take(List({1, 9}, objects)));
  }
  SECTION("as a peer has told it the difference alone") {
    StoreMirror lister = MakeMirror(5, objects);
    REQUIRE(lister.Take(List({1, 9}, {Object("a", "2")})));
    REQUIRE(TakeFrom(sender, lister, {1, 5}));
  }
  REQUIRE(sender.version() == StoreVersion{1, 9});
  const auto taken = TakeFrom(between, sender, between.base());
  REQUIRE(taken);
  CHECK_FALSE(taken->since);
  CHECK(DigestOf(between) == DigestOf(sender));
  // One that was where the sender was gets changes.
  StoreMirror before = MakeMirror(5, objects);
  const auto changes = TakeFrom(before, sender, before.base());
  REQUIRE(changes);
  CHECK(changes->since);
}

}  // namespace qh
