#include "qh_gateway/decisions/nodes/deployment_size.h"

namespace qh {

void DeploymentSize::OnAdded(TimePoint now) {
  first_added_ = first_added_.value_or(now);
  last_added_ = now;
}

void DeploymentSize::OnHeard(size_t peers, TimePoint now) {
  const bool settled = peers > 0 && now - last_added_ >= kQuietTime;
  const bool alone = first_added_ && now - *first_added_ >= kAloneAfter;
  known_ = known_ || (first_added_ && (settled || alone));
}

}  // namespace qh
