// Answers of the store that arrive late, for a kind that is read and written on
// several connections.

#include "qh_gateway/decisions/store/latest_objects.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

StoredObject Object(uint64_t revision, const std::string& content) {
  return {.name = "a", .revision = revision, .content = content};
}

LatestObjects Knowing(const StoredObject& object) {
  LatestObjects objects;
  REQUIRE(objects.TakeObject(object, 1));
  return objects;
}

}  // namespace

// Guards against a roll-out whose verdict is written and then forgotten: the
// list that was asked for before the write arrived after it.
TEST_CASE("an answer older than what is known of an object changes nothing") {
  LatestObjects objects = Knowing(Object(9, "rolled back"));
  SECTION("a list") {
    objects.TakeList({Object(7, "active")}, {1, 8});
  }
  SECTION("a change that the watch reports") {
    CHECK_FALSE(objects.TakeObject(Object(7, "active"), 1));
  }
  SECTION("a list from before the object was created") {
    objects.TakeList({}, {1, 8});
  }
  SECTION("an earlier removal under the same name") {
    CHECK_FALSE(objects.TakeRemoval("a", {1, 8}));
  }
  REQUIRE(objects.Find("a") != nullptr);
  CHECK(objects.Find("a")->content == "rolled back");
  CHECK(objects.VersionOf("a") == StoreVersion{1, 9});
}

TEST_CASE("a removed object does not come back from an older answer") {
  LatestObjects objects = Knowing(Object(7, "active"));
  SECTION("found missing, at the version last known") {
    REQUIRE(objects.TakeRemoval("a", {1, 7}));
  }
  SECTION("reported by the watch") {
    REQUIRE(objects.TakeRemoval("a", {1, 8}));
  }
  SECTION("left out of a list") {
    objects.TakeList({}, {1, 8});
  }
  CHECK(objects.All().empty());
  objects.TakeList({Object(7, "active")}, {1, 7});
  CHECK(objects.All().empty());
  CHECK_FALSE(objects.TakeObject(Object(7, "active"), 1));
  CHECK_FALSE(objects.TakeRemoval("a", {1, 9}));
  // The operator created it anew.
  CHECK(objects.TakeObject(Object(9, "anew"), 1));
  CHECK(objects.All().size() == 1);
}

TEST_CASE("a restored store's objects replace those of the earlier epoch") {
  LatestObjects objects = Knowing(Object(90, "lost"));
  objects.TakeList({Object(7, "kept")}, {2, 10});
  CHECK(objects.Find("a")->content == "kept");
  objects = Knowing(Object(90, "lost"));
  objects.TakeList({}, {2, 10});
  CHECK(objects.Find("a") == nullptr);
}

TEST_CASE("removals do not fill the memory") {
  LatestObjects objects;
  for (uint64_t i = 1; i <= 2 * LatestObjects::kMaxRemovals; ++i) {
    StoredObject object = Object(2 * i, "x");
    object.name = std::to_string(i);
    REQUIRE(objects.TakeObject(object, 1));
    REQUIRE(objects.TakeRemoval(object.name, {1, 2 * i + 1}));
  }
  CHECK(objects.VersionOf("1") == StoreVersion());
  CHECK(objects.VersionOf(std::to_string(2 * LatestObjects::kMaxRemovals)) !=
        StoreVersion());
}

}  // namespace qh
