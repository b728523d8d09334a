// Configuration tracker of one node: which version is in force, and when the
// node may serve.

#include "qh_config/distribution/config_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace qh {
namespace {

const InstanceId kSelf("n0");
const FailureDomainId kDomainA("a");
const FailureDomainId kDomainB("b");

std::vector<ConfigFile> Files(int n) {
  return {{"10.json", "{\"n\":" + std::to_string(n) + "}"}};
}

TimePoint At(double seconds) {
  return TimePoint(FromSeconds(seconds));
}

ConfigEvent Read(uint64_t version) {
  ConfigEvent event;
  event.kind = ConfigEventKind::kManifestRead;
  if (version > 0) {
    event.manifest = MakeManifest(version, Files(static_cast<int>(version)));
  }
  return event;
}

ConfigEvent ObjectOf(int n) {
  ConfigEvent event;
  event.kind = ConfigEventKind::kObjectRead;
  event.object = {ObjectKeyOf(Files(n)[0].text), Files(n)[0].text};
  return event;
}

ConfigEvent Failed() {
  ConfigEvent event;
  event.kind = ConfigEventKind::kManifestFailed;
  return event;
}

ConfigEvent Tick(std::vector<ConfigPeer> peers) {
  ConfigEvent event;
  event.peers = std::move(peers);
  return event;
}

bool Has(const ConfigActions& actions, ConfigActionKind kind) {
  return std::any_of(
      actions.begin(), actions.end(),
      [&](const ConfigAction& action) { return action.kind == kind; });
}

ConfigTracker Tracker() {
  return ConfigTracker(kSelf, kDomainA, {}, 1);
}

// Delivers the manifest and the file of `version` to the tracker.
void DeliverVersion(ConfigTracker& tracker, int version, double at) {
  tracker.Advance(Read(static_cast<uint64_t>(version)), At(at));
  tracker.Advance(ObjectOf(version), At(at));
}

}  // namespace

TEST_CASE("a version is in force only with all of its files") {
  ConfigTracker tracker = Tracker();
  CHECK(Has(tracker.Advance(Read(1), At(0)), ConfigActionKind::kReadObject));
  CHECK(tracker.version() == 0);
  CHECK_FALSE(tracker.is_ready());
  const auto actions = tracker.Advance(ObjectOf(1), At(0));
  CHECK(Has(actions, ConfigActionKind::kInForce));
  CHECK(Has(actions, ConfigActionKind::kReady));
  CHECK(tracker.version() == 1);
}

TEST_CASE("an object whose text does not match its key is dropped") {
  ConfigTracker tracker = Tracker();
  tracker.Advance(Read(1), At(0));
  ConfigEvent altered = ObjectOf(1);
  altered.object.text += " ";
  tracker.Advance(altered, At(0));
  CHECK(tracker.version() == 0);
}

TEST_CASE("late answers never put an older version in force") {
  ConfigTracker tracker = Tracker();
  DeliverVersion(tracker, 5, 0);
  for (int version = 1; version < 5; ++version) {
    DeliverVersion(tracker, version, 1);
    CHECK(tracker.version() == 5);
  }
  tracker.Advance(Read(7), At(2));
  tracker.Advance(Read(6), At(2));
  tracker.Advance(ObjectOf(6), At(2));
  CHECK(tracker.version() == 5);
  tracker.Advance(ObjectOf(7), At(2));
  CHECK(tracker.version() == 7);
}

TEST_CASE("a new node waits for the highest version reported to it") {
  ConfigTracker tracker = Tracker();
  tracker.Advance(Tick({{InstanceId("n1"), kDomainB, 4, true}}), At(0));
  DeliverVersion(tracker, 3, 0);
  CHECK(tracker.version() == 3);
  CHECK_FALSE(tracker.is_ready());
  DeliverVersion(tracker, 4, 1);
  CHECK(tracker.is_ready());
}

TEST_CASE(
    "without the store each reachable failure domain needs a ready node") {
  ConfigTracker source = Tracker();
  DeliverVersion(source, 3, 0);
  ConfigTracker tracker = Tracker();
  const ConfigPeer same_domain{InstanceId("n1"), kDomainA, 3, true};
  ConfigPeer other_domain{InstanceId("n2"), kDomainB, 0, false};
  tracker.Advance(Tick({same_domain, other_domain}), At(0));
  ConfigEvent reply;
  reply.kind = ConfigEventKind::kPeerReplied;
  reply.reply = source.Answer({});
  tracker.Advance(reply, At(0));
  reply.reply = source.Answer({3, {reply.reply.changed[0].object_key}});
  tracker.Advance(reply, At(0));
  CHECK(tracker.version() == 3);
  CHECK_FALSE(tracker.is_ready());
  tracker.Advance(Failed(), At(1));
  CHECK_FALSE(tracker.is_ready());
  other_domain.ready = true;
  other_domain.version = 3;
  tracker.Advance(Tick({same_domain, other_domain}), At(1.1));
  CHECK(tracker.is_ready());
}

TEST_CASE("without the store and without peers a new node never serves") {
  ConfigTracker tracker = Tracker();
  for (int i = 0; i < 600; ++i) {
    tracker.Advance(Tick({}), At(i * 0.1));
    tracker.Advance(Failed(), At(i * 0.1));
  }
  CHECK_FALSE(tracker.is_ready());
}

TEST_CASE("a peer is updated with the changed files only") {
  ConfigTracker source = Tracker();
  for (int version = 1; version <= 4; ++version) {
    DeliverVersion(source, version, version);
  }
  const ConfigPullReply delta = source.Answer({2, {}});
  CHECK(delta.base_version == 2);
  REQUIRE(delta.changed.size() == 1);
  REQUIRE(delta.objects.size() == 1);
  CHECK(delta.objects[0].text == Files(4)[0].text);
  const auto read = ConfigPullReply::Decode(delta.Encode());
  REQUIRE(read);
  ConfigTracker behind = Tracker();
  DeliverVersion(behind, 2, 0);
  ConfigEvent reply;
  reply.kind = ConfigEventKind::kPeerReplied;
  reply.reply = read.value();
  behind.Advance(reply, At(1));
  CHECK(behind.version() == 4);
  CHECK(source.Answer({4, {}}).version == 0);
  CHECK_FALSE(ConfigPullReply::Decode("x"));
  CHECK_FALSE(ConfigPullRequest::Decode(""));
}

TEST_CASE("all nodes agree on the two watchers of a failure domain") {
  std::vector<ConfigPeer> all;
  for (int i = 0; i < 25; ++i) {
    all.push_back({InstanceId("n" + std::to_string(i)),
                   i % 4 == 0 ? kDomainB : kDomainA, 1, true});
  }
  std::map<FailureDomainId, int> watchers;
  for (const ConfigPeer& self : all) {
    std::vector<ConfigPeer> others;
    std::copy_if(all.begin(), all.end(), std::back_inserter(others),
                 [&](const ConfigPeer& peer) { return peer.id != self.id; });
    watchers[self.failure_domain] +=
        IsConfigWatcher(self.id, self.failure_domain, others, 2);
  }
  CHECK(watchers[kDomainA] == 2);
  CHECK(watchers[kDomainB] == 2);
}

}  // namespace qh
