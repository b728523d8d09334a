#include "benchmarks/leases/sim_server.h"

#include <algorithm>

namespace qh::leases {

OrderReply SimServer::Take(const ServerOrder& order,
                           const OrderOrigin& origin,
                           bool ignores_fencing) {
  if (checks_fencing_ && !ignores_fencing) {
    if (order.fencing < newest_fencing_) {
      return {OrderOutcome::kRefused, newest_fencing_};
    }
    newest_fencing_ = order.fencing;
  }
  if (!done_.insert(order.id).second) {
    return {OrderOutcome::kAccepted};
  }
  for (const auto& [incarnation, tenure] : tenures_) {
    if (incarnation != origin.incarnation && tenure > origin.tenure) {
      ++two_owner_orders_;
      break;
    }
  }
  uint64_t& tenure = tenures_[origin.incarnation];
  tenure = std::max(tenure, origin.tenure);
  state_ = order.target;
  return {OrderOutcome::kAccepted};
}

void SimServer::Die() {
  alive_ = false;
  state_ = ServerState();
  newest_fencing_ = 0;
  done_.clear();
  tenures_.clear();
}

}  // namespace qh::leases
