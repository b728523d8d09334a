// Simulated control-plane scenarios whose log is compared line by line with a
// golden file. QH_REGENERATE_GOLDEN rewrites the files.

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "benchmarks/control/control_operators.h"
#include "benchmarks/control/control_world.h"

namespace qh::control {
namespace {

constexpr size_t kNodes = 8;

// A simulated world of eight gateway nodes with a log of their states.
class Session {
 public:
  explicit Session(uint64_t seed = 1)
      : world_({.seed = seed, .nodes = kNodes, .loss = 0}),
        operators_(world_, {.files = 3, .file_bytes = 40, .race_share = 0}) {
    operators_.Start(TimePoint());
    RunFor(5);
  }

  ControlWorld& world() { return world_; }
  ControlOperators& operators() { return operators_; }

  void RunFor(double seconds) {
    world_.RunUntil(world_.now() + FromSeconds(seconds));
  }

  // Adds a line with the current time to the log.
  void AddLine(const std::string& what) {
    std::array<char, 32> stamp{};
    std::snprintf(stamp.data(), stamp.size(), "%7.2f  ",
                  ToSeconds(world_.now().time_since_epoch()));
    log_ << stamp.data() << what << "\n";
  }

  // Logs for every node its view of the members and the configuration version
  // it has in force.
  void AddNodeStates() {
    for (const InstanceId& id : world_.live_ids()) {
      const ControlNode& node = *world_.Find(id);
      std::map<MemberState, std::ostringstream> by_state;
      for (const Member& member : node.membership().members()) {
        by_state[member.state] << ' ' << member.id.value().substr(5);
      }
      std::ostringstream line;
      line << "  " << id.value()
           << " ready=" << (node.is_ready() ? "yes" : "no")
           << " config=" << node.tracker().version();
      for (const auto& [state, ids] : by_state) {
        line << ' ' << ToName(state) << ':' << ids.str();
      }
      AddLine(line.str());
    }
  }

  // Checks that the log equals the golden file `name`.
  void CompareWithGolden(const std::string& name) const {
    const std::string path = std::string(QH_TEST_DATA) + "/golden/" + name;
    if (std::getenv("QH_REGENERATE_GOLDEN") != nullptr) {
      std::ofstream(path) << log_.str();
    }
    std::ifstream stream(path);
    std::stringstream golden;
    golden << stream.rdbuf();
    CHECK(log_.str() == golden.str());
  }

 private:
  ControlWorld world_;
  ControlOperators operators_;
  std::ostringstream log_;
};

const InstanceId kNode0("node-0");

}  // namespace

TEST_CASE("golden: a node joins") {
  Session session;
  session.AddLine("a node starts in domain-1");
  session.world().StartNode(session.world().DomainAt(1));
  session.RunFor(0.5);
  session.AddNodeStates();
  session.RunFor(3);
  session.AddNodeStates();
  session.CompareWithGolden("control_join.txt");
}

TEST_CASE("golden: a paused node is suspected and refutes it") {
  Session session;
  session.AddLine("node-0 is paused for 4 s");
  session.world().Pause(kNode0, FromSeconds(4));
  session.RunFor(3.5);
  session.AddNodeStates();
  session.RunFor(2.5);
  session.AddNodeStates();
  session.CompareWithGolden("control_suspicion_refuted.txt");
}

TEST_CASE("golden: a node is killed") {
  Session session;
  session.AddLine("node-0 is killed");
  session.world().Kill(kNode0);
  session.RunFor(3);
  session.AddNodeStates();
  session.RunFor(10);
  session.AddNodeStates();
  session.CompareWithGolden("control_kill.txt");
}

TEST_CASE("golden: a failure domain is reclaimed at once") {
  Session session;
  const auto ids = session.world().live_ids(session.world().DomainAt(0));
  session.AddLine("every node of domain-0 gets its notice");
  for (const InstanceId& id : ids) {
    session.world().NoticeNode(id);
  }
  session.RunFor(1);
  session.AddNodeStates();
  session.AddLine("they are reclaimed");
  for (const InstanceId& id : ids) {
    session.world().Kill(id);
  }
  session.RunFor(12);
  session.AddNodeStates();
  session.CompareWithGolden("control_domain_reclaimed.txt");
}

TEST_CASE("golden: a partition of an hour heals") {
  Session session;
  session.AddLine("domain-0 is cut off from its peers and the store");
  session.world().IsolateDomain(session.world().DomainAt(0), true);
  session.world().CutStore(session.world().DomainAt(0), true);
  session.RunFor(1'800);
  session.AddLine("the configuration changes");
  session.operators().Change();
  session.RunFor(1'800);
  session.AddNodeStates();
  session.AddLine("the partition ends");
  session.world().IsolateDomain(session.world().DomainAt(0), false);
  session.world().CutStore(session.world().DomainAt(0), false);
  session.RunFor(10);
  session.AddNodeStates();
  session.CompareWithGolden("control_partition_heals.txt");
}

TEST_CASE("golden: two operators race") {
  Session session;
  session.AddLine("two operators apply at the same moment");
  session.operators().Change();
  session.operators().Change();
  session.RunFor(2);
  session.AddLine(
      "accepted " + std::to_string(session.world().measures().accepted) +
      " refused " + std::to_string(session.operators().refused()) +
      " misjudged " + std::to_string(session.operators().misjudged()));
  session.AddNodeStates();
  session.CompareWithGolden("control_config_race.txt");
}

TEST_CASE("golden: a store outage, and a fresh node in it") {
  Session session;
  session.operators().Change();
  session.RunFor(1);
  session.AddLine("the store is down");
  session.world().SetStoreDown(true);
  session.RunFor(5);
  session.AddLine("a node starts in domain-2");
  session.world().StartNode(session.world().DomainAt(2));
  session.RunFor(10);
  session.AddNodeStates();
  session.AddLine("the store is back");
  session.world().SetStoreDown(false);
  session.RunFor(3);
  session.operators().Change();
  session.RunFor(3);
  session.AddNodeStates();
  session.CompareWithGolden("control_store_outage.txt");
}

TEST_CASE("golden: a fresh node without store and peers is not ready") {
  Session session;
  session.AddLine("the store is down, domain-0 is cut off and loses its nodes");
  session.world().SetStoreDown(true);
  session.world().IsolateDomain(session.world().DomainAt(0), true);
  for (const InstanceId& id :
       session.world().live_ids(session.world().DomainAt(0))) {
    session.world().Kill(id);
  }
  session.world().StartNode(session.world().DomainAt(0));
  session.RunFor(30);
  session.AddNodeStates();
  session.AddLine("domain-0 is back");
  session.world().IsolateDomain(session.world().DomainAt(0), false);
  session.RunFor(5);
  session.AddNodeStates();
  session.CompareWithGolden("control_fresh_not_ready.txt");
}

TEST_CASE("golden: watch answers come late and out of order") {
  Session session;
  session.world().store().set_late_watches(1.0);
  for (int i = 0; i < 5; ++i) {
    session.AddLine("the configuration changes");
    session.operators().Change();
    session.RunFor(1);
  }
  session.AddNodeStates();
  session.RunFor(10);
  session.AddLine("reverts " +
                  std::to_string(session.world().measures().reverts));
  session.AddNodeStates();
  session.CompareWithGolden("control_reordered_watch.txt");
}

}  // namespace qh::control
