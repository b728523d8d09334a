#include "qh_gateway/decisions/rollout/exposure_budget.h"

#include <algorithm>

namespace qh {

void ExposureBudget::SetNodes(size_t nodes) {
  nodes_ = std::max(nodes_, nodes);
}

double ExposureBudget::Tolerance() const {
  return nodes_ == 0 ? 0
                     : kToleranceShare * bounds_.exposure_tolerance /
                           static_cast<double>(nodes_);
}

double ExposureBudget::Remaining() const {
  return bounds_.exposure_share * static_cast<double>(requests_) + Tolerance() -
         static_cast<double>(exposed_);
}

}  // namespace qh
