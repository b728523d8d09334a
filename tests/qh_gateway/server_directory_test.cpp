// Servers through the store's outages: what lapsed is kept while the store is
// away and for a while after; what left while only this node was cut off is
// gone.

#include "qh_gateway/decisions/server_directory.h"

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/store_reachability.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

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
      }};
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a draining or removed server gets nothing new") {
  directory.OnList({Server("a"), Server("b")}, false);
  CHECK(directory.Usable("chat").size() == 2);
  directory.OnServer(Server("a", true));
  CHECK(directory.Usable("chat").size() == 1);
  CHECK(directory.Find(ServerId("a")) != nullptr);
  directory.OnRemoved(ServerId("b"), false);
  CHECK(directory.Usable("chat").empty());
  CHECK(changes.back() == std::pair(ServerChange::kGone, std::string("b")));
}

TEST_CASE_METHOD(Fixture, "a registration that lapsed is used until its time") {
  directory.OnList({Server("a"), Server("b", true)}, false);
  directory.OnList({}, true);
  CHECK(directory.Usable("chat").size() == 1);
  // One that was leaving anyway is gone at once.
  CHECK(directory.Find(ServerId("b")) == nullptr);
  directory.OnTick(true);
  CHECK(directory.Usable("chat").size() == 1);
  SECTION("it comes back") {
    directory.OnServer(Server("a"));
    directory.OnTick(false);
    CHECK(directory.Usable("chat").size() == 1);
    CHECK(changes.back().first == ServerChange::kReturned);
  }
  SECTION("it does not") {
    directory.OnTick(false);
    CHECK(directory.Usable("chat").empty());
  }
}

TEST_CASE_METHOD(Fixture, "a server that starts again is another process") {
  ServerRecord server = Server("a");
  directory.OnServer(server);
  server.started_ms = 5;
  directory.OnServer(server);
  CHECK(changes.back().first == ServerChange::kRestarted);
}

TEST_CASE("after an outage of the store missing servers are kept a while") {
  StoreReachability contact;
  contact.OnAnswer(kStart);
  CHECK_FALSE(contact.KeepsMissingServers(kStart));
  contact.OnFailure(kStart + seconds(1));
  contact.OnFailure(kStart + seconds(2));
  CHECK(contact.is_unreachable());
  CHECK(contact.KeepsMissingServers(kStart + seconds(2)));
  contact.OnAnswer(kStart + seconds(5));
  CHECK(contact.KeepsMissingServers(kStart + seconds(7)));
  CHECK_FALSE(contact.KeepsMissingServers(
      kStart + seconds(5) + StoreReachability::kReregistrationGrace));
}

// Pattern: a node cut off from the store for seconds while servers are
// reclaimed, as hunted on menzaterv-quetzal scale-2, seed 237656597479.
TEST_CASE("a node that was cut off alone keeps no missing server") {
  StoreReachability contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + seconds(1));
  contact.OnFailure(kStart + seconds(2));
  contact.OnPeer("peer", {.answered_ago = milliseconds(100)},
                 kStart + seconds(3));
  CHECK_FALSE(contact.KeepsMissingServers(kStart + seconds(3)));
  contact.OnAnswer(kStart + seconds(4));
  CHECK_FALSE(contact.KeepsMissingServers(kStart + seconds(4)));
}

TEST_CASE(
    "a peer that was first to see the store return is no proof of a cut") {
  StoreReachability contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + seconds(1));
  contact.OnFailure(kStart + seconds(2));
  contact.OnPeer(
      "peer",
      {.answered_ago = milliseconds(50), .recovered_ago = milliseconds(50)},
      kStart + seconds(6));
  CHECK(contact.KeepsMissingServers(kStart + seconds(6)));
  contact.OnAnswer(kStart + seconds(6) + milliseconds(200));
  CHECK(contact.KeepsMissingServers(kStart + seconds(8)));
}

TEST_CASE("one failed call is no loss of contact") {
  StoreReachability contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + seconds(1));
  CHECK_FALSE(contact.is_unreachable());
  CHECK_FALSE(contact.KeepsMissingServers(kStart + seconds(1)));
}

}  // namespace qh
