// A store that comes back from an older copy: its revisions are given out
// again, and what was written since the copy is gone.

#include <catch2/catch.hpp>

#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/control/store_watcher.h"
#include "qh_gateway/decisions/servers/server_directory.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Then = ScriptedReply::Then;

const TimePoint kStart{seconds(100)};
constexpr Duration kExpiry = seconds(5);

std::string Reply(const std::string& epoch,
                  const std::string& body,
                  int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " Said\r\nStore-Era: " + epoch +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string List(const std::string& epoch, int as_of, int revision) {
  return Reply(epoch, R"({"items":[{"metadata":{"name":"main","revision":)" +
                          std::to_string(revision) +
                          R"(},"spec":{}}],"hasMore":false,"asOf":)" +
                          std::to_string(as_of) + "}");
}

bool IsWatch(const HttpHead& head) {
  return head.target.find("watch=") != std::string::npos;
}

// Watches the kind "k" in a scripted store.
struct WatchFixture : GatewayFixture {
  void Watch(ScriptedServer::Script script) {
    state.on_store_epoch = [this](uint64_t, bool restored) {
      if (restored) {
        ++restores;
        watcher->ListAnew();
      }
    };
    store = std::make_unique<ScriptedServer>(io, std::move(script));
    watcher = std::make_unique<StoreWatcher>(
        io, store->address(), codec.store, state.store_epoch, "k", 1,
        StoreWatcher::Hooks{.on_update =
                                [this](const StoreUpdate& update) {
                                  for (const StoredObject& object :
                                       update.objects) {
                                    revisions.push_back(object.revision);
                                  }
                                  return update.version;
                                },
                            .on_confirmed = [](TimePoint) {},
                            .on_call = [](bool) {},
                            .on_lost = [](const std::string&) {},
                            .on_regained = [] {},
                            .watch_wait = [] { return milliseconds(200); },
                            .batch_delay = [] { return milliseconds(20); }});
    watcher->Start();
  }

  std::unique_ptr<ScriptedServer> store;
  std::unique_ptr<StoreWatcher> watcher;
  std::vector<uint64_t> revisions;
  int restores = 0;
};

ServerRecord Server(const std::string& id,
                    int64_t started_ms,
                    bool draining = false) {
  return {.id = ServerId(id),
          .service = "chat",
          .address = {"10.0.0.1", 80},
          .draining = draining,
          .started_ms = started_ms};
}

struct DirectoryFixture {
  size_t usable() const { return directory.Usable("chat").size(); }

  ServerDirectory directory{[](ServerChange, const ServerRecord&) {}, kExpiry};
};

}  // namespace

TEST_CASE("an epoch is newer, current or outdated") {
  std::vector<std::pair<uint64_t, bool>> known;
  StoreEpoch epoch([&](uint64_t value, bool restored) {
    known.emplace_back(value, restored);
  });
  CHECK(epoch.Observe(4) == EpochVerdict::kCurrent);
  CHECK(epoch.Observe(4) == EpochVerdict::kCurrent);
  CHECK(epoch.Observe(6) == EpochVerdict::kRestored);
  CHECK(epoch.Observe(5) == EpochVerdict::kOutdated);
  CHECK(epoch.current() == 6);
  CHECK(known == std::vector<std::pair<uint64_t, bool>>{{4, false}, {6, true}});
}

// The restored store has given out revision 5 again, so it answers the watch
// from there without an error. The changes since the copy would be missed.
TEST_CASE_METHOD(WatchFixture,
                 "a watch whose revision was given out again lists anew") {
  Watch([](size_t call, const HttpHead& head) {
    if (!IsWatch(head)) {
      return ScriptedReply{.bytes =
                               call == 0 ? List("1", 5, 3) : List("2", 7, 2)};
    }
    return call == 1
               ? ScriptedReply{.bytes = Reply("2", R"({"events":[],"asOf":7})")}
               : ScriptedReply{.then = Then::kStall};
  });
  REQUIRE(RunUntil([&] { return revisions.size() == 2; }));
  CHECK(revisions == std::vector<uint64_t>{3, 2});
  CHECK(restores == 1);
  REQUIRE(RunUntil([&] { return store->requests().size() == 4; }));
  CHECK(store->requests()[3].target.find("watch=7") != std::string::npos);
}

TEST_CASE_METHOD(WatchFixture,
                 "a list with a bad or earlier epoch isn't used") {
  const std::string bad = GENERATE("1", "x", "", "-3", "3.5", "2x");
  CAPTURE(bad);
  Watch([&](size_t call, const HttpHead& head) {
    if (IsWatch(head)) {
      return call == 1 ? ScriptedReply{.bytes = Reply("2", "{}", 410)}
                       : ScriptedReply{.then = Then::kStall};
    }
    return ScriptedReply{.bytes = call == 0   ? List("2", 5, 3)
                                  : call == 2 ? List(bad, 90, 80)
                                              : List("2", 9, 8)};
  });
  REQUIRE(RunUntil([&] { return revisions.size() == 2; }));
  CHECK(revisions == std::vector<uint64_t>{3, 8});
  CHECK(restores == 0);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a server that left doesn't return from an older copy") {
  directory.OnList({Server("a", 1), Server("b", 1)}, false, kStart);
  directory.OnRemoved(ServerId("b"), false, kStart);
  const TimePoint restored = kStart + seconds(1);
  directory.OnStoreRestored(restored);
  directory.OnList({Server("a", 1), Server("b", 1)}, true, restored);
  CHECK(usable() == 1);
  SECTION("its registration expires") {
    directory.OnRemoved(ServerId("b"), false, restored + seconds(3));
    directory.OnTick(false, restored + kExpiry);
    CHECK(usable() == 1);
  }
  SECTION("it is still registered when it would have expired") {
    directory.OnTick(false, restored + kExpiry);
    CHECK(usable() == 2);
  }
  SECTION("another process with its id registers") {
    directory.OnServer(Server("b", 2), restored + seconds(1));
    CHECK(usable() == 2);
  }
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a draining server is draining in an older copy too") {
  directory.OnList({Server("a", 1), Server("b", 1)}, false, kStart);
  directory.OnServer(Server("a", 1, true), kStart);
  directory.OnStoreRestored(kStart + seconds(1));
  directory.OnList({Server("a", 1), Server("b", 1)}, true, kStart + seconds(1));
  CHECK(usable() == 1);
  SECTION("another process under its id takes requests") {
    directory.OnServer(Server("a", 2), kStart + seconds(2));
    CHECK(usable() == 2);
  }
}

TEST_CASE_METHOD(DirectoryFixture,
                 "an older copy doesn't take a restarted server back in time") {
  directory.OnList({Server("a", 7)}, false, kStart);
  directory.OnStoreRestored(kStart);
  directory.OnList({Server("a", 3)}, true, kStart);
  CHECK(directory.Find(ServerId("a"))->started_ms == 7);
  CHECK(usable() == 1);
}

TEST_CASE("a snapshot of a later epoch is newer than any of an earlier one") {
  const auto list = [](const StoreVersion& version) {
    return StoreUpdate{.version = version};
  };
  StoreMirror node;
  REQUIRE(node.Take(list({1, 900})));
  StoreMirror restored;
  REQUIRE(restored.Take(list({2, 10})));
  const std::string of_node = node.EncodeSince({});
  const std::string of_restored = restored.EncodeSince({});
  CHECK_FALSE(restored.Take(StoreMirror::Decode(of_node, {}).value()));
  CHECK(node.Take(StoreMirror::Decode(of_restored, {}).value()));
}

}  // namespace qh
