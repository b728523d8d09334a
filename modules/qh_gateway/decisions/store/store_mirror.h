// One kind of the store's objects as last read, with the latest changes, in a
// form that nodes send to peers. Peers use it that can't reach the store, and
// in a large deployment all that leave the reading to their relays.
//
// A node accepts a peer's objects only if they are newer than its own: they may
// arrive after the store has answered the node again. Changes that such an
// outdated copy reverted would be lost, as the store's watch does not report
// them again.

#ifndef QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_
#define QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// What a peer sent of its mirror.
struct MirrorUpdate {
  // The version up to which the peer's objects are complete.
  StoreVersion version;
  // Whether `objects` are all of the peer's objects; otherwise they are the
  // changes since the version that was asked for.
  bool complete = false;
  std::vector<StoredObject> objects;
};

class StoreMirror {
 public:
  // Changes kept for peers that ask for them; with more, they get all objects.
  static constexpr size_t kMaxChanges = 512;

  // A complete list, from the store or from a peer, replaces the objects.
  void OnList(const std::vector<StoredObject>& objects);
  // An object was added or changed.
  void OnObject(const StoredObject& object);
  // An object was removed or became unreadable.
  void OnRemoved(const std::string& name);
  // The objects are complete up to `version` of the store. Earlier versions are
  // ignored.
  void OnConfirmed(const StoreVersion& version);

  // The version of the store up to which the objects are complete; its revision
  // is zero at first.
  const StoreVersion& version() const { return version_; }
  // The version that was confirmed after the last change of an object.
  const StoreVersion& changed() const { return changed_; }
  // Sums up names and contents of all objects. Two mirrors with equal digests
  // hold the same, whatever their versions.
  uint64_t digest() const { return digest_; }

  // Encodes the changes since `version` for a peer, or all objects if the
  // changes are no longer known.
  std::string EncodeSince(const StoreVersion& version) const;
  // Decodes what a peer encoded, without the changes that this mirror holds.
  // Returns nullopt unless it is newer than this mirror. Fails with
  // kPeerMalformed.
  Result<std::optional<MirrorUpdate>> ReadNewer(
      const std::string& encoded) const;

 private:
  struct Change {
    StoreVersion confirmed;
    StoredObject object;
  };

  void AddChange(StoredObject object);
  // Whether the mirror holds the state after this change already.
  bool Holds(const StoredObject& change) const;

  // Content of each object, by name.
  std::map<std::string, std::string> contents_;
  // Always the sum of contents_.
  uint64_t digest_ = 0;
  // Never decreases.
  StoreVersion version_;
  StoreVersion changed_;
  // Changes confirmed after changes_since_, oldest first.
  std::deque<Change> changes_;
  StoreVersion changes_since_;
  // Changes that are not confirmed yet, and whether a list is among them.
  std::vector<StoredObject> unconfirmed_;
  bool listed_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_
