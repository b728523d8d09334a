// The message in which a gateway node announces its teams' demand to its peers.

#ifndef QH_ROUTING_LIMITS_DEMAND_DIGEST_H_
#define QH_ROUTING_LIMITS_DEMAND_DIGEST_H_

#include <cstdint>
#include <map>

#include "qh_core/ids/ids.h"

namespace qh {

// Demand observed by one node.
struct DemandDigest {
  InstanceId node;
  // Increases with each digest of the node; receivers drop older digests.
  uint64_t sequence = 0;
  // Tokens requested per second, by team; teams without demand are left out.
  std::map<TeamId, double> tokens_per_second;
};

}  // namespace qh

#endif  // QH_ROUTING_LIMITS_DEMAND_DIGEST_H_
