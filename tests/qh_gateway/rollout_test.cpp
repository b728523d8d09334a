// Decisions on rollouts: the exposure budget, the canary analysis, the switch,
// and the conditional write of the status, for each load pattern of the design
// page. Without a network.

#include <catch2/catch.hpp>

#include "platform/platform_codec.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "tests/qh_gateway/rollout_simulation.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

std::string Describe(const RolloutScenario& scenario,
                     const RolloutOutcome& outcome) {
  std::string text = "nodes " + std::to_string(scenario.nodes) + ", seed " +
                     std::to_string(scenario.seed) + ": " + outcome.state +
                     " (" + outcome.reason + ")";
  for (const std::string& violation : outcome.violations) {
    text += "; " + violation;
  }
  return text;
}

// Runs the version at all sizes of a deployment, and expects `state`.
void ExpectEnd(VersionKind kind, const std::string& state) {
  for (const size_t nodes : {1, 5, 34, 118}) {
    const RolloutScenario scenario{
        .nodes = nodes, .kind = kind, .seed = 11 + nodes};
    const RolloutOutcome outcome = Simulate(scenario);
    INFO(Describe(scenario, outcome));
    CHECK(outcome.state == state);
    CHECK(outcome.violations.empty());
  }
}

RolloutOrder OrderOf(const std::string& to, uint64_t revision) {
  return {.service = "svc",
          .to = to,
          .duration = seconds(12),
          .version = {1, revision}};
}

StoredRollout Stored(const RolloutOrder& order) {
  return {.name = order.service,
          .revision = order.version.revision,
          .order = order,
          .status = std::nullopt,
          .mistake = {}};
}

// A book with one server of each version.
struct BookFixture {
  BookFixture() {
    for (const char* version : {"v1", "v2"}) {
      ServerRecord server;
      server.id = ServerId(version);
      server.service = "svc";
      server.version = version;
      directory.OnServer(server, kStart);
      book.OnServer(server, true, kStart);
    }
    book.OnList({}, kStart);
  }
  // The versions that a new request may go to, the preferred ones first.
  std::vector<std::string> Versions(TimePoint now) {
    std::vector<std::string> versions;
    for (const ServerFilter& eligible :
         book.Eligible("svc", "a", std::nullopt, false, now)) {
      for (const char* version : {"v1", "v2"}) {
        const ServerRecord* server = directory.Find(ServerId(version));
        if (!eligible || eligible(*server)) {
          versions.emplace_back(version);
        }
      }
    }
    return versions;
  }

  ServerDirectory directory{[](ServerChange, const ServerRecord&) {},
                            seconds(5)};
  RolloutBook book{RolloutBounds(), directory, 1};
};

using Versions = std::vector<std::string>;

}  // namespace

// Guards against a rollout that never takes effect.
TEST_CASE("a good version is completed at every size of a deployment") {
  ExpectEnd(VersionKind::kGood, "completed");
}

// Guards against the rollback of a good version because its servers start cold.
TEST_CASE("a version that is only cold is completed") {
  ExpectEnd(VersionKind::kCold, "completed");
}

TEST_CASE("a version that is bad at once is rolled back") {
  ExpectEnd(VersionKind::kBadAtOnce, "rolled_back");
}

// Guards against a sound start that hides later failures.
TEST_CASE("a version that turns bad later is rolled back") {
  ExpectEnd(VersionKind::kBadLate, "rolled_back");
}

// Guards against a canary share spread so thin that no server carries load.
TEST_CASE("a version that is bad under load is rolled back") {
  ExpectEnd(VersionKind::kBadUnderLoad, "rolled_back");
}

// Guards against a route with so few canary requests that its fault is missed.
TEST_CASE("a version that is bad on one route is rolled back") {
  ExpectEnd(VersionKind::kBadOnOneRoute, "rolled_back");
  ExpectEnd(VersionKind::kSlowOnOneRoute, "rolled_back");
}

TEST_CASE("a version that is bad now and then is rolled back") {
  ExpectEnd(VersionKind::kFlapping, "rolled_back");
}

TEST_CASE("a version that takes several times as long is rolled back") {
  ExpectEnd(VersionKind::kSlow, "rolled_back");
}

// Guards against nodes that each round up their part: the sum would exceed the
// bound at many nodes with few requests.
TEST_CASE("the exposure budgets of all nodes keep the bound together") {
  const RolloutBounds bounds;
  for (const size_t nodes : {1, 5, 34, 118, 1'200}) {
    Rng rng(nodes);
    std::vector<ExposureBudget> budgets(nodes, ExposureBudget(bounds));
    for (ExposureBudget& budget : budgets) {
      budget.SetNodes(nodes);
    }
    uint64_t exposed = 0;
    constexpr uint64_t kRequests = 3'000;
    for (uint64_t sent = 1; sent <= kRequests; ++sent) {
      ExposureBudget& budget = budgets[rng.Below(nodes)];
      const bool allowed = budget.Allows();
      budget.OnRequest();
      if (allowed) {
        budget.OnExposed();
        ++exposed;
      }
      REQUIRE(static_cast<double>(exposed) <=
              bounds.exposure_share * static_cast<double>(sent) +
                  bounds.exposure_tolerance);
    }
  }
}

// Guards against restarts that each add to the tolerance in use.
TEST_CASE(
    "a process that started after the order has no part of the tolerance") {
  ExposureBudget budget{RolloutBounds()};
  CHECK_FALSE(budget.Allows());
  for (int request = 0; request < 10; ++request) {
    budget.OnRequest();
  }
  CHECK(budget.Allows());
}

// Guards against a write of an earlier lease holder that arrives late and
// replaces the verdict of its successor.
TEST_CASE("a late write of an earlier lease holder has no effect") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const RolloutScenario scenario{.nodes = 5,
                                   .kind = VersionKind::kBadAtOnce,
                                   .seed = seed,
                                   .disrupted = true,
                                   .late_writes = true};
    const RolloutOutcome outcome = Simulate(scenario);
    INFO(Describe(scenario, outcome));
    CHECK(outcome.violations.empty());
  }
}

// Guards against a service without an order that is served otherwise than
// before.
TEST_CASE("without an order every server is eligible") {
  BookFixture fixture;
  CHECK(fixture.Versions(kStart + RolloutBook::kOrderDelay) ==
        Versions{"v1", "v2"});
  RolloutBook off(std::nullopt, fixture.directory, 1);
  off.OnObject(Stored(OrderOf("v2", 7)), kStart);
  const auto filters = off.Eligible("svc", "a", std::nullopt, false, kStart);
  REQUIRE(filters.size() == 1);
  CHECK_FALSE(filters[0]);
}

// Guards against requests to the new version before the order is known, when
// its servers are listed first.
TEST_CASE("a version that appears without an order waits for one") {
  BookFixture fixture;
  CHECK(fixture.Versions(kStart + milliseconds(10)) == Versions{"v1"});
}

// Guards against a canary that takes more than its share, which would be
// missing for the switch.
TEST_CASE("the canary takes a small share of the requests") {
  BookFixture fixture;
  StoredRollout object = Stored(OrderOf("v2", 7));
  fixture.book.OnObject(object, kStart);
  object.status = RolloutStatus{.state = StoredRolloutState::kActive,
                                .to = "v2",
                                .order_revision = 7,
                                .reason = {}};
  fixture.book.OnObject(object, kStart);
  for (int i = 0; i < 4'000; ++i) {
    const TimePoint now = kStart + i * milliseconds(2);
    fixture.book.OnTick(1, true, seconds(60), now);
    fixture.book.OnRequest("svc", "a", now);
    fixture.book.TakeSend("svc", fixture.Versions(now).front(), "a", true, now);
  }
  const ExposureBudget& budget = fixture.book.rollouts().at("svc").budget();
  CHECK(budget.requests() == 4'000);
  CHECK(budget.exposed() > 40);
  CHECK(budget.exposed() < 180);
}

// Guards against a fault on one route that the many sound responses of another
// hide.
TEST_CASE("the canary analysis judges each route by itself") {
  CanaryAnalysis analysis(seconds(5));
  VersionCounts counts;
  counts.old_version["a"].requests = 20'000;
  counts.old_version["c"].requests = 400;
  counts.new_version["a"].requests = 1'000;
  counts.new_version["c"].requests = 20;
  counts.new_version["c"].failures = 6;
  analysis.Update(counts, kStart);
  REQUIRE(analysis.FindFault());
  CHECK(analysis.FindFault()->starts_with("route c"));
  counts.new_version["c"].failures = 0;
  CanaryAnalysis sound(seconds(5));
  sound.Update(counts, kStart);
  CHECK_FALSE(sound.FindFault());
}

// Guards against orders that take effect in the wrong order.
TEST_CASE("a newer order replaces an older one and not the reverse") {
  BookFixture fixture;
  fixture.book.OnObject(Stored(OrderOf("v2", 7)), kStart);
  RolloutReports older;
  older["svc"] = {.order = OrderOf("v3", 5), .counts = {}};
  fixture.book.OnPeer("n1", false, "p", older, kStart);
  CHECK(fixture.book.rollouts().at("svc").order().to == "v2");
  fixture.book.OnObject(Stored(OrderOf("v1", 9)), kStart);
  CHECK(fixture.book.rollouts().at("svc").order().to == "v1");
  // The version that was given up takes nothing meanwhile.
  fixture.book.OnTick(1, false, seconds(60), kStart);
  CHECK(fixture.Versions(kStart + seconds(1)) == Versions{"v1"});
}

TEST_CASE("a withdrawn order returns the traffic to the old version") {
  BookFixture fixture;
  fixture.book.OnObject(Stored(OrderOf("v2", 7)), kStart);
  fixture.book.OnTick(1, false, seconds(60), kStart);
  fixture.book.OnRemoved("svc", kStart);
  CHECK(fixture.book.rollouts().at("svc").phase() == RolloutPhase::kWithdrawn);
  CHECK(fixture.Versions(kStart + seconds(60)) == Versions{"v1"});
}

// Guards against a store that was restored from an older copy and no longer
// holds the verdict.
TEST_CASE("a verdict outlives the store's restore and is written again") {
  BookFixture fixture;
  StoredRollout object = Stored(OrderOf("v2", 7));
  object.revision = 9;
  object.status = RolloutStatus{.state = StoredRolloutState::kRolledBack,
                                .to = "v2",
                                .order_revision = 7,
                                .reason = {}};
  fixture.book.OnObject(object, kStart);
  CHECK_FALSE(fixture.book.NextWrite(kStart));
  StoredRollout restored = Stored(OrderOf("v2", 7));
  restored.order.version.epoch = 2;
  fixture.book.OnList({restored}, kStart);
  const auto write = fixture.book.NextWrite(kStart);
  REQUIRE(write);
  CHECK(write->status.state == StoredRolloutState::kRolledBack);
  CHECK(write->revision == 7);
  CHECK(fixture.Versions(kStart) == Versions{"v1"});
}

// Guards against `completed` while requests sent before the order still run.
TEST_CASE("attempts from before the order count as open at old servers") {
  BookFixture fixture;
  auto attempt = fixture.book.TakeSend("svc", "v1", "a", true, kStart);
  REQUIRE(attempt);
  fixture.book.OnObject(Stored(OrderOf("v2", 7)), kStart);
  CHECK(fixture.book.Report(kStart).at("svc").open_at_old == 1);
  fixture.book.OnEnded(*attempt, AttemptOutcome::kAnswered, {});
  CHECK(fixture.book.Report(kStart).at("svc").open_at_old == 0);
}

// Guards against a request that fails at the new version twice, and against a
// stream that goes on at another version.
TEST_CASE("nothing is repeated at the new version or resumed at another one") {
  BookFixture fixture;
  fixture.book.OnObject(Stored(OrderOf("v2", 7)), kStart);
  fixture.book.OnTick(1, false, seconds(60), kStart);
  RolloutAttempt last;
  last.service = "svc";
  last.version = "v2";
  const auto repeated = fixture.book.Eligible("svc", "a", last, false, kStart);
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0](*fixture.directory.Find(ServerId("v1"))));
  CHECK_FALSE(repeated[0](*fixture.directory.Find(ServerId("v2"))));
  CHECK(fixture.book.Eligible("svc", "a", last, true, kStart).empty());
}

// Guards against a node that goes on sending to the new version without being
// able to learn of a verdict.
TEST_CASE("a node without recent reports sends nothing to the new version") {
  BookFixture fixture;
  StoredRollout object = Stored(OrderOf("v2", 7));
  fixture.book.OnObject(object, kStart);
  object.status = RolloutStatus{.state = StoredRolloutState::kActive,
                                .to = "v2",
                                .order_revision = 7,
                                .reason = {}};
  fixture.book.OnObject(object, kStart);
  const auto exposed_after = [&](bool hears_peer) {
    for (int i = 0; i < 400; ++i) {
      const TimePoint now = kStart + i * milliseconds(5);
      if (hears_peer) {
        RolloutReports reports;
        reports["svc"] = {.order = OrderOf("v2", 7), .counts = {}};
        fixture.book.OnPeer("n1", false, "p", reports, now);
      }
      fixture.book.OnTick(2, true, seconds(60), now);
      fixture.book.OnRequest("svc", "a", now);
      if (fixture.Versions(now).front() == "v2") {
        fixture.book.TakeSend("svc", "v2", "a", true, now);
      } else {
        fixture.book.TakeSend("svc", "v1", "a", true, now);
      }
    }
    return fixture.book.rollouts().at("svc").budget().exposed();
  };
  CHECK(exposed_after(false) == 0);
  CHECK(exposed_after(true) > 0);
}

// Guards against a lease holder that starts anew and judges a version by the
// responses since then, when the 50th bad one came long before.
TEST_CASE("a rollout whose counts are lost is rolled back") {
  BookFixture fixture;
  StoredRollout object = Stored(OrderOf("v2", 7));
  object.status = RolloutStatus{.state = StoredRolloutState::kActive,
                                .to = "v2",
                                .order_revision = 7,
                                .reason = {}};
  fixture.book.OnObject(object, kStart);
  fixture.book.OnTick(1, true, seconds(60), kStart);
  CHECK(fixture.book.rollouts().at("svc").phase() == RolloutPhase::kPending);
  fixture.book.OnTick(1, true, seconds(60),
                      kStart + ServiceRollout::kPeerReportLifetime);
  CHECK(fixture.book.rollouts().at("svc").phase() == RolloutPhase::kRolledBack);
}

// Guards against orders that can't be followed but have an effect.
TEST_CASE("an order that can't be read gets a status and has no effect") {
  const WireCodec codec = platform::MakeCodec();
  const auto read = [&](const std::string& content) {
    return codec.read_rollout({.name = "svc", .content = content});
  };
  CHECK_FALSE(read("[]"));
  CHECK_FALSE(read(R"({"service":"svc","to":"v2"})"));
  CHECK_FALSE(read(R"({"service":"svc","to":"v2","durationS":-3})"));
  CHECK_FALSE(read(R"({"service":"svc","to":"v2","durationS":1e300})"));
  CHECK_FALSE(read(R"({"service":7,"to":"v2","durationS":12})"));
  const auto order = read(R"({"service":"svc","to":"v2","durationS":12})");
  REQUIRE(order);
  CHECK(order.value().duration == seconds(12));

  BookFixture fixture;
  fixture.book.OnObject({.name = "svc",
                         .revision = 4,
                         .order = {},
                         .status = std::nullopt,
                         .mistake = "no duration"},
                        kStart);
  const auto write = fixture.book.NextWrite(kStart);
  REQUIRE(write);
  CHECK(write->status.state == StoredRolloutState::kRolledBack);
  CHECK(write->status.reason == "no duration");
  CHECK(fixture.book.rollouts().empty());
}

TEST_CASE("an order without servers of its version ends as rolled back") {
  BookFixture fixture;
  StoredRollout object = Stored(OrderOf("v9", 7));
  fixture.book.OnObject(object, kStart);
  fixture.book.OnTick(1, true, seconds(60), kStart);
  CHECK(fixture.book.NextWrite(kStart)->status.state ==
        StoredRolloutState::kActive);
  const TimePoint late = kStart + seconds(15);
  fixture.book.OnTick(1, true, seconds(60), late);
  CHECK(fixture.book.NextWrite(late)->status.state ==
        StoredRolloutState::kRolledBack);
}

// Guards against fields that only one side of a heartbeat knows, and against
// reports that can't be true.
TEST_CASE("heartbeats carry the reports on rollouts") {
  RolloutReport report{.order = OrderOf("v2", 7),
                       .phase = RolloutPhase::kSwitching,
                       .age = seconds(3),
                       .counts = {},
                       .nodes = 3,
                       .drained_nodes = 2,
                       .open_at_old = 4};
  report.counts.new_version["a"].requests = 9;
  report.counts.new_version["a"].failures = 2;
  PeerHeartbeat heartbeat;
  heartbeat.rollouts["svc"] = report;
  const auto decoded = PeerHeartbeat::Decode(heartbeat.Encode());
  REQUIRE(decoded);
  const RolloutReport& read = decoded.value().rollouts.at("svc");
  CHECK(read.order.IsSameAs(report.order));
  CHECK(read.phase == RolloutPhase::kSwitching);
  CHECK(read.age == report.age);
  CHECK(read.drained_nodes == 2);
  CHECK(read.counts.new_version.at("a").failures == 2);

  heartbeat.rollouts["svc"].counts.new_version["a"].failures = 10;
  const auto impossible = PeerHeartbeat::Decode(heartbeat.Encode());
  REQUIRE(impossible);
  CHECK(impossible.value().rollouts.empty());
}

TEST_CASE("a deployment without the bounds has no rollouts") {
  const std::string text =
      R"({"node":"n","failure_domain":"d","region":"r","callers":"127.0.0.1:1",
      "readiness":"127.0.0.1:2","locate":"127.0.0.1:3","peers":"127.0.0.1:4",
      "store":"127.0.0.1:5")";
  const auto without = GatewaySettings::Parse(text + "}", "f");
  REQUIRE(without);
  CHECK_FALSE(without.value().rollout_bounds);
  const auto with = GatewaySettings::Parse(
      text + R"(,"rollout_exposure_share":0.2,"rollout_rollback_ms":4000})",
      "f");
  REQUIRE(with);
  REQUIRE(with.value().rollout_bounds);
  CHECK(with.value().rollout_bounds->exposure_share == 0.2);
  CHECK(with.value().rollout_bounds->rollback_time == seconds(4));
}

}  // namespace qh
