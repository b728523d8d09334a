#include "qh_gateway/decisions/nodes/deployment_size.h"

#include <algorithm>
#include <cmath>

namespace qh {

size_t DeploymentSize::Assumed(std::optional<size_t> recorded) {
  if (!recorded) {
    return kAssumedNodes;
  }
  const double grown = std::ceil(kGrowth * static_cast<double>(*recorded));
  return std::min(kAssumedNodes, static_cast<size_t>(grown));
}

void DeploymentSize::OnAdded(TimePoint now) {
  first_added_ = first_added_.value_or(now);
  last_added_ = now;
}

void DeploymentSize::OnHeard(size_t peers, TimePoint now) {
  const bool settled = peers > 0 && now - last_added_ >= kQuietTime;
  // Counts this node.
  const bool complete =
      recorded_ && static_cast<double>(peers + 1) >=
                       kHeardShare * static_cast<double>(*recorded_);
  const bool alone = first_added_ && now - *first_added_ >= kAloneAfter;
  known_ = known_ || (first_added_ && (settled || complete || alone));
}

}  // namespace qh
