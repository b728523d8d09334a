// Whether a node knows how many nodes share the deployment's limits. A node
// that has just started, or that starts together with all others, finds some of
// them in the store's list only later. Until the list has settled it must not
// take itself to be alone: each node would then use a whole limit.

#ifndef QH_GATEWAY_DECISIONS_NODES_DEPLOYMENT_SIZE_H_
#define QH_GATEWAY_DECISIONS_NODES_DEPLOYMENT_SIZE_H_

#include <cstddef>
#include <optional>

#include "qh_core/time/time.h"

namespace qh {

class DeploymentSize {
 public:
  // The list has settled when no node was added for this time and a peer was
  // heard.
  static constexpr Duration kQuietTime = std::chrono::seconds(1);
  // A node that hears no peer waits this long after the first list.
  static constexpr Duration kAloneAfter = std::chrono::seconds(5);
  // The same when this share of the nodes that a record counted is heard.
  static constexpr double kHeardShare = 0.9;
  // A deployment may have grown by this factor since it was recorded.
  static constexpr double kGrowth = 1.25;
  // Nodes assumed without a record, more than a deployment has, so that the
  // shares of all nodes together stay within a limit.
  static constexpr size_t kAssumedNodes = 1'200;

  // Returns how many nodes to assume as long as they are not known, if
  // `recorded` counted them shortly before.
  static size_t Assumed(std::optional<size_t> recorded);

  // The deployment had this many nodes shortly before this process started.
  void SetRecorded(size_t nodes) { recorded_ = nodes; }
  // A node was listed for the first time.
  void OnAdded(TimePoint now);
  // Sets how many peers are heard at `now`.
  void OnHeard(size_t peers, TimePoint now);

  // Whether the nodes are known; true for good once they are.
  bool is_known() const { return known_; }

 private:
  std::optional<TimePoint> first_added_;
  TimePoint last_added_;
  std::optional<size_t> recorded_;
  bool known_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_NODES_DEPLOYMENT_SIZE_H_
