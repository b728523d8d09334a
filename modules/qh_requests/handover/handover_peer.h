// Chooses the node that takes over a request of a node that leaves.

#ifndef QH_REQUESTS_HANDOVER_HANDOVER_PEER_H_
#define QH_REQUESTS_HANDOVER_HANDOVER_PEER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "qh_core/ids/ids.h"

namespace qh {

// A node that may take requests over.
struct HandoverCandidate {
  InstanceId id;
  FailureDomainId domain;
  // Whether the node accepts requests and is not leaving.
  bool serving = true;
  uint32_t open_requests = 0;
};

// Returns the serving candidate with the fewest open requests whose failure
// domain is not in `leaving_domains`; ties are broken by a rendezvous hash of
// `request`. When there is none, returns a serving candidate inside these
// domains by the same rule, or nothing when no candidate serves.
// `leaving_domains` must contain the domain of the leaving node.
std::optional<InstanceId> ChooseHandoverPeer(
    const RequestId& request,
    const std::vector<HandoverCandidate>& candidates,
    const std::set<FailureDomainId>& leaving_domains);

}  // namespace qh

#endif  // QH_REQUESTS_HANDOVER_HANDOVER_PEER_H_
