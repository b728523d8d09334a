// Known servers during outages of the store: registrations that lapse are kept
// during the outage and a grace period. If only this node was partitioned from
// the store, missing servers are gone.

#include "qh_gateway/decisions/servers/server_directory.h"

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/store/store_reachability.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
// How long the store keeps a registration that is not renewed.
constexpr Duration kExpiry = seconds(5);

ServerRecord Server(const std::string& id, bool draining = false) {
  return {.id = ServerId(id),
          .service = "chat",
          .address = {"10.0.0.1", 80},
          .draining = draining};
}

struct Fixture {
  std::vector<std::pair<ServerChange, std::string>> changes;
  ServerDirectory directory{
      [this](ServerChange change, const ServerRecord& server) {
        changes.emplace_back(change, server.id.value());
      },
      kExpiry};
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a draining or removed server gets no new requests") {
  directory.OnList({Server("a"), Server("b")}, false, kStart);
  CHECK(directory.Usable("chat").size() == 2);
  directory.OnServer(Server("a", true), kStart);
  CHECK(directory.Usable("chat").size() == 1);
  CHECK(directory.Find(ServerId("a")) != nullptr);
  directory.OnRemoved(ServerId("b"), false, kStart);
  CHECK(directory.Usable("chat").empty());
  CHECK(changes.back() == std::pair(ServerChange::kGone, std::string("b")));
}

TEST_CASE_METHOD(Fixture,
                 "a lapsed server is used until the grace period ends") {
  directory.OnList({Server("a"), Server("b", true)}, false, kStart);
  directory.OnList({}, true, kStart);
  CHECK(directory.Usable("chat").size() == 1);
  // A draining server is removed at once.
  CHECK(directory.Find(ServerId("b")) == nullptr);
  directory.OnTick(true, kStart);
  CHECK(directory.Usable("chat").size() == 1);
  SECTION("its registration comes back") {
    directory.OnServer(Server("a"), kStart);
    directory.OnTick(false, kStart);
    CHECK(directory.Usable("chat").size() == 1);
    CHECK(changes.back().first == ServerChange::kReturned);
  }
  SECTION("its registration does not come back") {
    directory.OnTick(false, kStart);
    CHECK(directory.Usable("chat").empty());
  }
}

TEST_CASE_METHOD(Fixture,
                 "a server with a new start time counts as restarted") {
  ServerRecord server = Server("a");
  directory.OnServer(server, kStart);
  server.started_ms = 5;
  directory.OnServer(server, kStart);
  CHECK(changes.back().first == ServerChange::kRestarted);
}

TEST_CASE("missing servers are kept for a grace period after a store outage") {
  StoreReachability store;
  store.OnAnswer(kStart);
  CHECK_FALSE(store.KeepsMissingServers(kStart));
  store.OnFailure(kStart + seconds(1));
  store.OnFailure(kStart + seconds(2));
  CHECK(store.is_unreachable());
  CHECK(store.KeepsMissingServers(kStart + seconds(2)));
  store.OnAnswer(kStart + seconds(5));
  CHECK(store.KeepsMissingServers(kStart + seconds(7)));
  CHECK_FALSE(store.KeepsMissingServers(
      kStart + seconds(5) + StoreReachability::kReregistrationGrace));
}

// Guards against using reclaimed servers: the node was partitioned from the
// store for seconds while servers were reclaimed, and kept them as if the store
// had had an outage. Seen on menzaterv-quetzal scale-2, seed 237656597479.
TEST_CASE("a node that alone was partitioned keeps no missing server") {
  StoreReachability store;
  store.OnAnswer(kStart);
  store.OnFailure(kStart + seconds(1));
  store.OnFailure(kStart + seconds(2));
  store.OnPeer("peer", {.answered_ago = milliseconds(100)},
               kStart + seconds(3));
  CHECK_FALSE(store.KeepsMissingServers(kStart + seconds(3)));
  store.OnAnswer(kStart + seconds(4));
  CHECK_FALSE(store.KeepsMissingServers(kStart + seconds(4)));
}

TEST_CASE(
    "a peer that saw the store recover first does not prove a partition") {
  StoreReachability store;
  store.OnAnswer(kStart);
  store.OnFailure(kStart + seconds(1));
  store.OnFailure(kStart + seconds(2));
  store.OnPeer(
      "peer",
      {.answered_ago = milliseconds(50), .recovered_ago = milliseconds(50)},
      kStart + seconds(6));
  CHECK(store.KeepsMissingServers(kStart + seconds(6)));
  store.OnAnswer(kStart + seconds(6) + milliseconds(200));
  CHECK(store.KeepsMissingServers(kStart + seconds(8)));
}

// Guards against requests to servers that left (DRAIN): a node that stopped to
// follow the store during an outage asks it no more, and took the outage for
// one that goes on. Seen on rsa-kursnetz-grown scale-2, seed 254512542681.
TEST_CASE("a node that no longer asks learns of an outage's end from peers") {
  StoreReachability store;
  store.OnAnswer(kStart);
  store.OnFailure(kStart + seconds(1));
  store.OnFailure(kStart + seconds(2));
  store.OnPeer("peer", {.answered_ago = seconds(3)}, kStart + seconds(3));
  CHECK(store.KeepsMissingServers(kStart + seconds(3)));
  const TimePoint recovered = kStart + seconds(5);
  store.OnPeer("peer",
               {.answered_ago = seconds(0), .recovered_ago = seconds(1)},
               recovered + seconds(1));
  CHECK(store.KeepsMissingServers(recovered + seconds(2)));
  CHECK_FALSE(store.KeepsMissingServers(
      recovered + StoreReachability::kReregistrationGrace));
  // The first answer after that is no end of an outage either.
  const TimePoint answered = recovered + seconds(30);
  store.OnAnswer(answered);
  CHECK_FALSE(store.KeepsMissingServers(answered));
  CHECK(store.Report(answered).recovered_ago == seconds(30));
}

TEST_CASE("the store is not unreachable after one failed call") {
  StoreReachability store;
  store.OnAnswer(kStart);
  store.OnFailure(kStart + seconds(1));
  CHECK_FALSE(store.is_unreachable());
  CHECK_FALSE(store.KeepsMissingServers(kStart + seconds(1)));
}

}  // namespace qh
