// The nodes of a region in virtual time, and what is measured of them. Faults
// come from ControlFaults, operators from ControlOperators.

#ifndef BENCHMARKS_CONTROL_CONTROL_WORLD_H_
#define BENCHMARKS_CONTROL_CONTROL_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/control/control_node.h"
#include "benchmarks/control/control_part.h"
#include "qh_membership/cell_plan.h"

namespace qh::control {

struct WorldOptions {
  uint64_t seed = 1;
  size_t nodes = 25;
  size_t domains = 4;
  double loss = 0.01;
  ControlNodeOptions node;
  // Parts of other modules that run on the same nodes.
  std::vector<ControlPart> parts;
};

// What the search judges.
struct ControlMeasures {
  // Seconds from acceptance, or from the end of what kept the node from
  // hearing, until a version was in force on a node.
  std::vector<double> config_in_force_s;
  // Seconds from a kill until a member saw it.
  std::vector<double> death_detect_s;
  // Longest time that a node sent work to a server, or named a node, after its
  // first notice.
  double work_after_leaving_s = 0;
  uint64_t reverts = 0;
  uint64_t false_deaths = 0;
  // Pairs of live nodes of a cell of which one takes the other for dead.
  uint64_t unhealed = 0;
  uint64_t accepted = 0;
  // Nodes that were not ready at the end.
  uint64_t not_ready = 0;
};

class ControlWorld {
 public:
  explicit ControlWorld(const WorldOptions& options);

  FakeNetwork& network() { return network_; }
  ControlStore& store() { return store_; }
  Rng& rng() { return rng_; }
  const ControlMeasures& measures() const { return measures_; }
  const WorldOptions& options() const { return options_; }
  TimePoint now() const { return network_.now(); }

  // Faults.
  InstanceId StartNode(const FailureDomainId& domain);
  void Kill(const InstanceId& id);
  void Restart(const InstanceId& id);
  void Pause(const InstanceId& id, Duration length);
  void IsolateDomain(const FailureDomainId& domain, bool isolated);
  void CutStore(const FailureDomainId& domain, bool cut);
  void SetStoreDown(bool down);
  // Tells `id` that it will be reclaimed.
  void NoticeNode(const InstanceId& id);
  // Tells two nodes of `cell` that `server` leaves, or stays after all.
  void NoticeServer(uint32_t cell, const ServerId& server, bool leaving);

  // Runs until `end`, sampling on the way.
  void RunUntil(TimePoint end);
  // Closes the measures.
  void Finish();
  // Starts the counters of cost anew.
  void ResetCosts();

  std::vector<InstanceId> live_ids() const;
  std::vector<InstanceId> live_ids(const FailureDomainId& domain) const;
  FailureDomainId DomainAt(size_t index) const;
  const ControlNode* Find(const InstanceId& id) const;
  std::vector<uint32_t> cells() const;
  double cpu_us() const;
  size_t state_bytes() const;

 private:
  struct Place {
    std::shared_ptr<ControlNode> node;
    Member member;
    // Since when nothing keeps it from its peers, and from any configuration.
    TimePoint peers_since;
    TimePoint config_since;
    // Since when its failure domain is not cut off from the others.
    TimePoint uncut_since;
    // When its present version came into force.
    TimePoint version_since;
  };
  struct Notice {
    // Id of a server or of a node.
    std::string id;
    bool is_node = false;
    uint32_t cell = 0;
    TimePoint at;
    std::vector<InstanceId> told;
  };

  void Launch(const Member& member);
  ControlHooks MakeHooks();
  void OnInForce(const ControlNode& node, uint64_t before, uint64_t after);
  void OnReady(const ControlNode& node);
  void OnMember(const ControlNode& node, const Member& member);
  void SampleNotices();
  void SampleNotice(const Notice& notice);
  void SendList();
  std::vector<Member> ListFor(const Member& self) const;
  bool IsClear(const Place& place, Duration since) const;
  bool IsSettledObserver(const Place& place) const;
  void MarkPeers(Place& place);
  double LagOf(const Place& place, uint64_t version) const;

  const WorldOptions options_;
  Rng rng_;
  FakeNetwork network_;
  ControlStore store_;
  CellPlan plan_;
  std::map<InstanceId, Place> places_;
  std::set<FailureDomainId> store_cut_;
  std::map<InstanceId, TimePoint> kills_;
  std::vector<Notice> notices_;
  std::vector<Member> listed_;
  // When each version was accepted.
  std::map<uint64_t, TimePoint> accepted_;
  TimePoint store_up_since_;
  TimePoint next_list_;
  uint64_t next_node_ = 0;
  double cpu_of_ended_us_ = 0;
  ControlMeasures measures_;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_WORLD_H_
