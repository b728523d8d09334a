#include "qh_requests/handover/handover_peer.h"

#include <tuple>

#include "qh_core/hash/hash.h"

namespace qh {

std::optional<InstanceId> ChooseHandoverPeer(
    const RequestId& request,
    const std::vector<HandoverCandidate>& candidates,
    const std::set<FailureDomainId>& leaving_domains) {
  const uint64_t key = Hash64(request.value());
  const HandoverCandidate* best = nullptr;
  const auto rank = [&](const HandoverCandidate& candidate) {
    return std::tuple(leaving_domains.contains(candidate.domain),
                      candidate.open_requests,
                      ~RendezvousWeight(key, candidate.id.value()));
  };
  for (const HandoverCandidate& candidate : candidates) {
    if (candidate.serving &&
        (best == nullptr || rank(candidate) < rank(*best))) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->id;
}

}  // namespace qh
