// The servers' registrations as last read from the store, in a form that nodes
// send to peers that can't reach the store. A node accepts a peer's snapshot
// only if it is newer than its own: the snapshot may arrive after the store has
// answered the node again. Changes that such an outdated snapshot reverted
// would be lost, as the store's watch does not report them again.

#ifndef QH_GATEWAY_DECISIONS_SERVER_SNAPSHOT_H_
#define QH_GATEWAY_DECISIONS_SERVER_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// A peer's snapshot.
struct DecodedSnapshot {
  StoreVersion version;
  std::vector<StoredObject> objects;
};

class ServerSnapshot {
 public:
  // A complete list, from the store or from a peer's newer snapshot, replaces
  // the registrations.
  void OnList(const std::vector<StoredObject>& objects);
  // A registration was added or changed.
  void OnObject(const StoredObject& object);
  // A registration was removed or became unreadable.
  void OnRemoved(const std::string& name);
  // The registrations are complete up to `version` of the store. Earlier
  // versions are ignored.
  void OnConfirmed(const StoreVersion& version);

  // The version of the store up to which the registrations are complete; its
  // revision is zero at first.
  const StoreVersion& version() const { return version_; }

  // Encodes the snapshot for a peer.
  std::string Encode() const;
  // Decodes a peer's snapshot. Returns nullopt unless it is newer than this
  // one. Fails with kPeerMalformed.
  Result<std::optional<DecodedSnapshot>> ReadNewer(
      const std::string& encoded) const;

 private:
  // Content of each registration, by name.
  std::map<std::string, std::string> contents_;
  // Never decreases.
  StoreVersion version_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVER_SNAPSHOT_H_
