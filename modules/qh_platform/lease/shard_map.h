// Assigns shards to nodes by rendezvous hashing over the live members, with
// hysteresis. Nodes may compute different assignments for a while; this is safe
// because a node works on a shard only while it holds the shard's lease.

#ifndef QH_PLATFORM_LEASE_SHARD_MAP_H_
#define QH_PLATFORM_LEASE_SHARD_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// A family of shards with the same use, such as "claims" or "servers".
struct ShardKind {
  std::string name;
  uint32_t count = 0;
};

// The node's own view of which node should hold each shard.
class ShardMap {
 public:
  // Creates a map of the shards "<kind>-<index>". A shard moves from one live
  // node to another only after the hash has favored the same new owner for
  // `hysteresis`; a shard whose owner is no longer a member moves at once.
  // Fails with kConfigInvalid if a kind has no name or no shards, or if a name
  // is listed twice.
  static Result<ShardMap> Create(const std::vector<ShardKind>& kinds,
                                 Duration hysteresis);

  // Recomputes the owners from `members`, the nodes that are live and not
  // leaving, in any order. To be called at least once a second, so that moves
  // that wait for the hysteresis happen in time.
  void Update(const std::vector<InstanceId>& members, TimePoint now);

  // Returns the node that should hold `shard`; empty if no member is live or
  // `shard` is unknown.
  InstanceId OwnerOf(const std::string& shard) const;

  // Returns the shards that `node` should hold, sorted.
  std::vector<std::string> ShardsOf(const InstanceId& node) const;

  size_t size() const { return shards_.size(); }

 private:
  struct Shard {
    InstanceId owner;
    // The node that the hash favors over the live owner, and since when; empty
    // if it favors the owner.
    InstanceId pending_owner;
    TimePoint pending_since;
  };

  explicit ShardMap(Duration hysteresis) : hysteresis_(hysteresis) {}

  Duration hysteresis_;
  std::map<std::string, Shard> shards_;
};

// Returns the shard of `kind` that `key` belongs to. `kind.count` is positive.
std::string ShardFor(const ShardKind& kind, const std::string& key);

}  // namespace qh

#endif  // QH_PLATFORM_LEASE_SHARD_MAP_H_
