// A deployment in which the store leaves nodes without news: every node must
// know each change within its bound all the same.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

// More than the heartbeats of all relays together tell of.
constexpr size_t kLeavingServers = 100;
constexpr size_t kServers = 104;
const GatewaySettings kSettings;

// The watches of `kind` of the clients for which `affects` is true hang: their
// calls are accepted and never answered.
FakeObjectStore::Fault HangingWatch(std::string kind,
                                    std::function<bool(size_t)> affects) {
  return [kind = std::move(kind),
          affects = std::move(affects)](const ObjectStoreCall& call) {
    return call.is_watch && call.kind == kind && affects(call.client)
               ? ObjectStoreFault::kHang
               : ObjectStoreFault::kNone;
  };
}

struct StaleStateFixture : DeploymentFixture {
  // Servers leave: some begin to drain, of others the registration is removed.
  // Returns whether all nodes know it in time.
  bool DrainIsKnownInTime() {
    for (size_t server = 0; server < kLeavingServers; server += 2) {
      PutServer(server, true);
      RemoveServer(server + 1);
    }
    return TimeUntil(
               [&] {
                 return AllOf([&](size_t node) {
                   return KnowsDrained(node, kLeavingServers);
                 });
               },
               kSettings.server_drain)
        .has_value();
  }
  // A configuration is accepted. Returns whether all nodes use it in time.
  bool ConfigIsInForceInTime() {
    PutConfig(2);
    return TimeUntil(
               [&] {
                 return AllOf([&](size_t node) {
                   return StateOf(node).config->version() == 2;
                 });
               },
               kSettings.config_apply)
        .has_value();
  }
};

}  // namespace

// The readers of a failure domain hear nothing from the store, whose other
// calls they get answered. Users saw requests reach servers that had left
// (DRAIN).
TEST_CASE_METHOD(StaleStateFixture,
                 "a failure domain whose relay's server watch hangs knows "
                 "leaving servers in time") {
  StartNodes(18, 3, kServers);
  const auto followers = FollowersOf(0, "servers");
  REQUIRE_FALSE(followers.empty());
  store.SetFault(HangingWatch(
      "servers", [&](size_t node) { return followers.contains(node); }));
  CHECK(DrainIsKnownInTime());
}

// The same for the configuration (CONFIG).
TEST_CASE_METHOD(StaleStateFixture,
                 "a failure domain whose relay's configuration watch hangs has "
                 "a new one in force in time") {
  StartNodes(18, 3, kServers);
  const auto followers = FollowersOf(0, "config");
  REQUIRE_FALSE(followers.empty());
  store.SetFault(HangingWatch(
      "config", [&](size_t node) { return followers.contains(node); }));
  CHECK(ConfigIsInForceInTime());
}

// The store turns the relay away and leaves its open watches without news,
// while it serves the other nodes.
TEST_CASE_METHOD(StaleStateFixture,
                 "a failure domain whose relay the store refuses knows leaving "
                 "servers in time") {
  StartNodes(18, 3, kServers);
  const auto followers = FollowersOf(0, "servers");
  REQUIRE_FALSE(followers.empty());
  store.SetFault([&, start = MonotonicNow()](const ObjectStoreCall& call) {
    if (!followers.contains(call.client)) {
      return ObjectStoreFault::kNone;
    }
    return call.received < start ? ObjectStoreFault::kHang
                                 : ObjectStoreFault::kRefuse;
  });
  CHECK(DrainIsKnownInTime());
}

// The relays are cut off from the store: neither open calls nor new ones are
// answered. No node of the domain can take over in time, but other domains
// know.
TEST_CASE_METHOD(StaleStateFixture,
                 "a failure domain whose relays are cut off from the store is "
                 "current") {
  StartNodes(18, 3, kServers);
  const std::string kind = GENERATE("servers", "config");
  CAPTURE(kind);
  const auto followers = FollowersOf(0, kind);
  REQUIRE_FALSE(followers.empty());
  store.SetFault([&](const ObjectStoreCall& call) {
    return followers.contains(call.client) ? ObjectStoreFault::kHang
                                           : ObjectStoreFault::kNone;
  });
  CHECK((kind == "servers" ? DrainIsKnownInTime() : ConfigIsInForceInTime()));
}

// The store leaves a whole failure domain without answers.
TEST_CASE_METHOD(StaleStateFixture,
                 "a failure domain that is cut off from the store is current") {
  StartNodes(18, 3, kServers);
  const std::string kind = GENERATE("servers", "config");
  CAPTURE(kind);
  store.SetFault([&](const ObjectStoreCall& call) {
    return DomainOf(call.client) == 0 ? ObjectStoreFault::kHang
                                      : ObjectStoreFault::kNone;
  });
  CHECK((kind == "servers" ? DrainIsKnownInTime() : ConfigIsInForceInTime()));
}

// Without relays every node follows the store. One whose watches hang learns
// from its peers.
TEST_CASE_METHOD(StaleStateFixture,
                 "a node of a small deployment whose watches hang is current") {
  StartNodes(5, 4, kServers);
  const std::string kind = GENERATE("servers", "config");
  CAPTURE(kind);
  store.SetFault(HangingWatch(kind, [](size_t node) { return node == 2; }));
  CHECK((kind == "servers" ? DrainIsKnownInTime() : ConfigIsInForceInTime()));
}

// Connections may fall silent for all nodes together while new ones work. No
// peer has news then.
TEST_CASE_METHOD(StaleStateFixture,
                 "nodes whose open watches all hang are current") {
  const size_t nodes = GENERATE(5, 18);
  StartNodes(nodes, 3, kServers);
  const std::string kind = GENERATE("servers", "config");
  CAPTURE(nodes, kind);
  store.SetFault([start = MonotonicNow()](const ObjectStoreCall& call) {
    return call.is_watch && call.received < start ? ObjectStoreFault::kHang
                                                  : ObjectStoreFault::kNone;
  });
  CHECK((kind == "servers" ? DrainIsKnownInTime() : ConfigIsInForceInTime()));
}

// An older copy of the store may hold the registration of an earlier process of
// the node, under another address.
TEST_CASE_METHOD(StaleStateFixture,
                 "a node that is listed with another address registers anew") {
  StartNodes(3, 1, 1);
  const std::string kind = GatewayNode::kGatewayNodeKind;
  const std::string registered = store.Contents(kind)["n0"];
  store.Put(kind, "n0", R"({"peers":"127.0.0.9:1"})");
  // A failed watch makes the node list the kind anew.
  store.SetFault([&, start = MonotonicNow()](const ObjectStoreCall& call) {
    const bool refuse = call.is_watch && call.kind == kind &&
                        MonotonicNow() - start < std::chrono::milliseconds(500);
    return refuse ? ObjectStoreFault::kRefuse : ObjectStoreFault::kNone;
  });
  store.Put(kind, "other", R"({"peers":"127.0.0.9:2"})");
  CHECK(TimeUntil([&] { return store.Contents(kind)["n0"] == registered; },
                  std::chrono::seconds(5)));
}

}  // namespace qh
