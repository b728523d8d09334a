// Verdicts on what crashes servers, kept in the store beside the nodes.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/deployment_fixture.h"

namespace qh {
namespace {

constexpr const char* kKind = GatewayNode::kGatewayNodeKind;
constexpr size_t kNodes = 3;
constexpr Duration kLimit = std::chrono::seconds(10);

struct ArchiveFixture : DeploymentFixture {
  // Names of the stored verdicts.
  std::set<std::string> Stored() const {
    std::set<std::string> names;
    for (const auto& [name, content] : store.Contents(kKind)) {
      if (StoredVerdicts::IsName(name)) {
        names.insert(name);
      }
    }
    return names;
  }
  bool AllHold(size_t verdicts) const {
    return AllOf([&](size_t node) {
      return StateOf(node).crash_tracker.verdicts().size() == verdicts;
    });
  }
};

CrashVerdict VerdictOn(std::vector<Feature> features) {
  const TimePoint now = MonotonicNow();
  return {.features = std::move(features),
          .crashed = now,
          .decided = now,
          .refused = now,
          .trials = 1,
          .crashes = 3};
}

}  // namespace

// Guards against verdicts that are lost when all nodes end at once: the servers
// would crash once more until each part is found out again.
TEST_CASE("a verdict outlives all nodes of the deployment") {
  // More than a number of the store may hold.
  const std::vector<Feature> features{0xfffffffffffffff0, 0xfffffffffffffff2};
  std::map<std::string, std::string> stored;
  {
    ArchiveFixture before;
    before.StartNodes(kNodes, 1, 1);
    before.TellVerdict(0, VerdictOn(features));
    REQUIRE(
        before.TimeUntil([&] { return before.Stored().size() == 1; }, kLimit));
    stored = before.store.Contents(kKind);
  }
  ArchiveFixture after;
  for (const auto& [name, content] : stored) {
    after.store.Put(kKind, name, content);
  }
  after.StartNodes(kNodes, 1, 1);
  REQUIRE(after.TimeUntil([&] { return after.AllHold(1); }, kLimit));
  const CrashVerdict& verdict =
      after.StateOf(0).crash_tracker.verdicts().front();
  CHECK(verdict.features == features);
  CHECK(verdict.trials == 1);
  CHECK(verdict.crashes == 3);
}

// Guards against a wrong verdict that comes back from the store.
TEST_CASE("nodes drop a verdict that is removed from the store") {
  ArchiveFixture nodes;
  nodes.StartNodes(kNodes, 1, 1);
  nodes.TellVerdict(0, VerdictOn({2}));
  REQUIRE(nodes.TimeUntil(
      [&] { return nodes.Stored().size() == 1 && nodes.AllHold(1); }, kLimit));
  nodes.store.Remove(kKind, *nodes.Stored().begin());
  CHECK(nodes.TimeUntil([&] { return nodes.AllHold(0); }, kLimit));
}

TEST_CASE("an unreadable stored verdict is passed over") {
  ArchiveFixture nodes;
  const std::string name = StoredVerdicts::NameOf({2});
  const std::string content =
      GENERATE(R"({"features":["x"]})", R"({"features":[]})", "7",
               R"({"features":["2"],"crashed_ms":"soon"})");
  nodes.store.Put(kKind, name, content);
  nodes.store.Put(kKind, "crash-verdict-of-nobody", content);
  nodes.StartNodes(kNodes, 1, 1);
  nodes.TellVerdict(0, VerdictOn({2}));
  CHECK(nodes.TimeUntil([&] { return nodes.AllHold(1); }, kLimit));
}

}  // namespace qh
