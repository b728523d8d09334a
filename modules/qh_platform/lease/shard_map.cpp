#include "qh_platform/lease/shard_map.h"

#include <algorithm>
#include <cassert>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

std::string ShardName(const ShardKind& kind, uint64_t index) {
  return kind.name + "-" + std::to_string(index);
}

// Returns the member with the highest rendezvous weight for `shard`; the lower
// id wins a tie. Empty if there are no members.
InstanceId PreferredOwner(const std::string& shard,
                          const std::vector<InstanceId>& members) {
  const uint64_t key = Hash64(shard);
  InstanceId best;
  uint64_t best_weight = 0;
  for (const InstanceId& member : members) {
    const uint64_t weight = RendezvousWeight(key, member.value());
    if (best.empty() || weight > best_weight ||
        (weight == best_weight && member < best)) {
      best = member;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

Result<ShardMap> ShardMap::Create(const std::vector<ShardKind>& kinds,
                                  Duration hysteresis) {
  ShardMap map(hysteresis);
  for (const ShardKind& kind : kinds) {
    if (kind.name.empty() || kind.count == 0) {
      return Error(ErrorKind::kConfigInvalid,
                   "a shard kind has no name or no shards");
    }
    if (map.shards_.contains(ShardName(kind, 0))) {
      return Error(ErrorKind::kConfigInvalid,
                   "shard kind " + kind.name + " is listed twice");
    }
    for (uint32_t index = 0; index < kind.count; ++index) {
      map.shards_[ShardName(kind, index)];
    }
  }
  return map;
}

void ShardMap::Update(const std::vector<InstanceId>& members, TimePoint now) {
  for (auto& [name, shard] : shards_) {
    const InstanceId best = PreferredOwner(name, members);
    if (best == shard.owner) {
      shard.pending_owner = InstanceId();
      continue;
    }
    const bool live =
        std::find(members.begin(), members.end(), shard.owner) != members.end();
    if (live && shard.pending_owner != best) {
      shard.pending_owner = best;
      shard.pending_since = now;
    }
    if (!live || now - shard.pending_since >= hysteresis_) {
      shard.owner = best;
      shard.pending_owner = InstanceId();
    }
  }
}

InstanceId ShardMap::OwnerOf(const std::string& shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? InstanceId() : found->second.owner;
}

std::vector<std::string> ShardMap::ShardsOf(const InstanceId& node) const {
  std::vector<std::string> names;
  for (const auto& [name, shard] : shards_) {
    if (shard.owner == node) {
      names.push_back(name);
    }
  }
  return names;
}

std::string ShardFor(const ShardKind& kind, const std::string& key) {
  assert(kind.count > 0);
  return ShardName(kind, Hash64(key) % kind.count);
}

}  // namespace qh
