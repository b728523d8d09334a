// The faults of one run: kills, restarts, pauses, partitions, store outages,
// message loss, reclaim notices, a failure domain reclaimed at once.

#ifndef BENCHMARKS_CONTROL_CONTROL_FAULTS_H_
#define BENCHMARKS_CONTROL_CONTROL_FAULTS_H_

#include <functional>

#include "benchmarks/control/control_world.h"

namespace qh::control {

// Mean time between faults of a kind. Kinds of single nodes and servers are per
// 25 nodes.
struct FaultRates {
  Duration kill = FromSeconds(40);
  Duration restart = FromSeconds(40);
  Duration pause = FromSeconds(30);
  Duration node_notice = FromSeconds(60);
  Duration server_notice = FromSeconds(8);
  Duration partition = FromSeconds(90);
  Duration store_cut = FromSeconds(90);
  Duration store_outage = FromSeconds(80);
  Duration loss_burst = FromSeconds(60);
  Duration domain_reclaim = FromSeconds(200);
};

class ControlFaults {
 public:
  ControlFaults(ControlWorld& world, const FaultRates& rates);

  // Injects faults until `end`; each that lasts is over 60 s after.
  void Start(TimePoint end);

 private:
  void Repeat(Duration mean, std::function<void()> fault);
  Duration PerNode(Duration mean) const;
  InstanceId PickNode();
  FailureDomainId PickDomain();
  Duration Between(double low_s, double high_s);
  void After(Duration wait, std::function<void()> action);

  void KillAndReplace(const InstanceId& id);
  void PauseNode();
  void NoticeNode();
  void NoticeServer();
  void Partition();
  void CutStore();
  void StoreOutage();
  void LossBurst();
  void ReclaimDomain();

  ControlWorld& world_;
  const FaultRates rates_;
  TimePoint end_;
  uint64_t next_server_ = 0;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_FAULTS_H_
