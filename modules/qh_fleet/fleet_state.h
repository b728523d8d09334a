// The stored state of one shard of servers: the desired state, which operators
// write, and the upgrade intent, which the owner of the shard writes.

#ifndef QH_FLEET_FLEET_STATE_H_
#define QH_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_fleet/server_order.h"

namespace qh {

// What each server is to run.
using ServerTargets = std::map<ServerId, ServerState>;

// What operators want the servers of a shard to run.
struct DesiredState {
  // Increases with each change.
  uint64_t generation = 0;
  ServerTargets targets;

  // Returns the body of the stored object, in JSON.
  std::string Encode() const;
  // Parses the body of the stored object. Fails with kConfigInvalid.
  static Result<DesiredState> Decode(const std::string& body);
};

// An upgrade that an owner has started. It is written before the first order is
// sent, so that the next owner of the shard can continue the upgrade.
struct UpgradeIntent {
  uint64_t generation = 0;
  // Fencing number of the owner that wrote it.
  uint64_t fencing = 0;
  // Every available server had reached its target.
  bool completed = false;
  ServerTargets targets;

  // Returns the body of the stored object, in JSON.
  std::string Encode() const;
  // Parses the body of the stored object. Fails with kPeerMalformed.
  static Result<UpgradeIntent> Decode(const std::string& body);
};

// Returns the store key of the desired state of `shard`.
std::string DesiredKey(const std::string& shard);
// Returns the store key of the intent of `shard`.
std::string IntentKey(const std::string& shard);

}  // namespace qh

#endif  // QH_FLEET_FLEET_STATE_H_
