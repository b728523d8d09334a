// Tests of StoreWatcher: lists, watches and recovery from failed calls.

#include "qh_gateway/control/store_watcher.h"

#include <catch2/catch.hpp>

#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;

std::string Reply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Said\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string List(int as_of, int revision) {
  return Reply(200, R"({"items":[{"metadata":{"name":"main","revision":)" +
                        std::to_string(revision) +
                        R"(},"spec":{}}],"hasMore":false,"asOf":)" +
                        std::to_string(as_of) + "}");
}

// Watches the kind "k" in a scripted store and records what is reported.
struct Fixture : GatewayFixture {
  void Watch(ScriptedServer::Script script) {
    store = std::make_unique<ScriptedServer>(io, std::move(script));
    watcher = std::make_unique<StoreWatcher>(
        io, store->address(), codec.store, state.store_epoch, "k", 1,
        StoreWatcher::Hooks{
            .on_update =
                [this](const StoreUpdate& update) {
                  for (const StoredObject& object : update.objects) {
                    revisions.push_back(object.revision);
                  }
                  versions.push_back(update.version);
                  return known.value_or(update.version);
                },
            .on_confirmed = [](TimePoint) {},
            .on_call = [](bool) {},
            .on_lost = [this](const std::string&) { ++lost; },
            .on_regained = [this] { ++regained; },
            .watch_wait = [] { return std::chrono::milliseconds(200); },
            .list_may_be_old = true,
            .batch_delay = [this] { return batch_delay; }});
    watcher->Start();
  }

  Duration batch_delay = std::chrono::milliseconds(20);
  std::unique_ptr<ScriptedServer> store;
  std::unique_ptr<StoreWatcher> watcher;
  // What the owner claims to know after each update, if not the update itself.
  std::optional<StoreVersion> known;
  // Version of each update, and revision of each reported object, in order.
  std::vector<StoreVersion> versions;
  std::vector<uint64_t> revisions;
  int lost = 0;
  int regained = 0;
};

bool IsWatch(const HttpHead& head) {
  return head.target.find("watch=") != std::string::npos;
}

}  // namespace

TEST_CASE_METHOD(Fixture, "a change is reported as soon as it happens") {
  Watch([](size_t call, const HttpHead& head) {
    if (!IsWatch(head)) {
      return ScriptedReply{.bytes = List(5, 3)};
    }
    return call == 1
               ? ScriptedReply{.later = Reply(
                                   200,
                                   R"({"events":[{"removed":false,"object":{"metadata":
                {"name":"main","revision":7},"spec":{}}}],"asOf":7})")}
               : ScriptedReply{.then = Then::kStall};
  });
  REQUIRE(RunUntil([&] { return revisions.size() == 2; }));
  CHECK(revisions == std::vector<uint64_t>{3, 7});
  REQUIRE(RunUntil([&] { return store->requests().size() == 3; }));
  CHECK(store->requests()[2].target.find("watch=7") != std::string::npos);
}

// With many nodes and servers that come and go all the time, one watch call for
// each change would exceed the read rate of the store.
TEST_CASE_METHOD(Fixture, "changes within the batch delay share one call") {
  batch_delay = std::chrono::milliseconds(100);
  Watch([](size_t call, const HttpHead& head) {
    const std::string revision = std::to_string(5 + call);
    return IsWatch(head)
               ? ScriptedReply{.bytes = Reply(200, R"({"events":[],"asOf":)" +
                                                       revision + "}")}
               : ScriptedReply{.bytes = List(5, 3)};
  });
  const TimePoint start = MonotonicNow();
  REQUIRE(RunUntil([&] { return store->requests().size() == 5; }));
  // One list and four watches.
  CHECK(MonotonicNow() - start >= 3 * batch_delay);
}

// Guards against a watch that never returns. It happens when a watch misses
// changes, the store drops them from its history and then closes the watch: a
// new watch from the old revision would wait forever.
TEST_CASE_METHOD(Fixture, "the kind is listed again after a failed watch") {
  const auto cut = GENERATE(ScriptedReply{.then = Then::kHalfClose},
                            ScriptedReply{.then = Then::kReset},
                            ScriptedReply{.bytes = Reply(410, "{}")},
                            ScriptedReply{.bytes = Reply(503, "{}")});
  Watch([&](size_t call, const HttpHead& head) {
    if (!IsWatch(head)) {
      return call == 0 ? ScriptedReply{.bytes = List(5, 3)}
                       : ScriptedReply{.bytes = List(9, 8)};
    }
    return call == 1 ? cut : ScriptedReply{.then = Then::kStall};
  });
  REQUIRE(RunUntil([&] { return revisions.size() == 2; }));
  CHECK(revisions == std::vector<uint64_t>{3, 8});
  CHECK(lost == 0);
}

// The store drops its history, and old lists are older than what is left of it.
// Seen on rsa-kursnetz-large scale-1: 28,782 calls in a loop of old lists and
// expired watches.
TEST_CASE_METHOD(Fixture, "only the first list may be old") {
  const auto failure = GENERATE(ScriptedReply{.bytes = Reply(410, "{}")},
                                ScriptedReply{.bytes = Reply(503, "{}")});
  Watch([&](size_t call, const HttpHead& head) {
    if (!IsWatch(head)) {
      return ScriptedReply{.bytes = call == 0 ? List(5, 3) : List(9, 8)};
    }
    return call == 1 ? failure : ScriptedReply{.then = Then::kStall};
  });
  REQUIRE(RunUntil([&] { return revisions.size() == 2; }));
  CHECK(store->requests()[0].target.find("allowStale") != std::string::npos);
  CHECK(store->requests()[2].target.find("allowStale") == std::string::npos);
}

// The owner has learned of a later state from peers while the list was read.
TEST_CASE_METHOD(Fixture, "the next watch begins where the owner is already") {
  known = StoreVersion{0, 7};
  Watch([](size_t call, const HttpHead&) {
    return call == 0 ? ScriptedReply{.bytes = List(5, 3)}
                     : ScriptedReply{.then = Then::kStall};
  });
  REQUIRE(RunUntil([&] { return store->requests().size() == 2; }));
  CHECK(store->requests()[1].target.find("watch=7") != std::string::npos);
  CHECK(watcher->revision() == 7);
}

// The pages of a list are read one after the other, and the store changes in
// between. The list has the objects of its first page's revision or later ones.
TEST_CASE_METHOD(Fixture, "a list of several pages is as old as its first") {
  Watch([](size_t call, const HttpHead& head) {
    if (IsWatch(head)) {
      return ScriptedReply{.then = Then::kStall};
    }
    std::string page = call == 0 ? List(5, 3) : List(9, 8);
    if (call == 0) {
      const std::string last = "\"hasMore\":false";
      const std::string more = "\"hasMore\": true";
      page.replace(page.find(last), last.size(), more);
    }
    return ScriptedReply{.bytes = page};
  });
  REQUIRE(RunUntil([&] { return store->requests().size() == 3; }));
  CHECK(revisions == std::vector<uint64_t>{3, 8});
  CHECK(versions == std::vector<StoreVersion>{{0, 5}});
  CHECK(store->requests()[2].target.find("watch=5") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "failing calls report the store as lost only once") {
  bool failing = true;
  Watch([&](size_t, const HttpHead&) {
    return failing ? ScriptedReply{.bytes = Reply(503, "busy")}
                   : ScriptedReply{.bytes = List(5, 3)};
  });
  REQUIRE(RunUntil([&] { return store->requests().size() >= 4; }));
  CHECK(lost == 1);
  failing = false;
  REQUIRE(RunUntil([&] { return regained == 1; }));
  CHECK(revisions.front() == 3);
}

}  // namespace qh
