// One kind of the store's objects as this node knows them, with the version of
// the store that they are the state of. Nodes send it to peers that can't reach
// the store, and in a large deployment to all that leave the reading to their
// relays.
//
// What the store or a peer says may arrive late: a list that was held up on its
// way describes an older state than the changes that a peer has told of
// meanwhile. Therefore objects and version change together or not at all, in
// Take alone, and by version, whoever sent the update and whenever it arrives.

#ifndef QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_
#define QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/text/enum_table.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// Who sent an update.
enum class UpdateSource { kStore, kPeer };

template <>
inline constexpr EnumName<UpdateSource> kEnumNames<UpdateSource>[] = {
    {UpdateSource::kStore, "store"},
    {UpdateSource::kPeer, "peer"},
};

// Objects of one kind, and the state of the store that they lead to.
struct StoreUpdate {
  UpdateSource source = UpdateSource::kStore;
  // Without `since` all objects at `version`, otherwise the changes between the
  // two, in order.
  std::vector<StoredObject> objects;
  StoreVersion version;
  std::optional<StoreVersion> since;
};

// What a node tells its peers of its mirror.
struct MirrorState {
  StoreVersion version;
  // The version at which the objects last changed.
  StoreVersion changed;
  // Sums up names and contents of all objects; nullopt from nodes of an earlier
  // version.
  std::optional<uint64_t> digest;
};

class StoreMirror {
 public:
  // Changes kept for peers that ask for them; with more, they get all objects.
  static constexpr size_t kMaxChanges = 512;

  // Applies `update` and moves on to its version. Returns what was applied: a
  // list as it is, of changes only those that make a difference, at most one
  // for each object. Returns nullopt, and changes nothing, if the mirror is
  // there or further already, or does not reach back to where the changes
  // begin. A list of the store's own may replace objects of the same version:
  // if they differ, the mirror's are wrong.
  [[nodiscard]] std::optional<StoreUpdate> Take(StoreUpdate update);
  // Takes over the version of a peer that holds the same objects.
  void ConfirmBy(const MirrorState& peer);
  // Discards all objects. From then on only lists of `epoch` or a later one are
  // taken.
  void Discard(uint64_t epoch);
  // The objects may be wrong: until a list is taken, no changes are, and a list
  // of a peer may be of the mirror's own version.
  void Doubt() { is_in_doubt_ = true; }
  bool is_in_doubt() const { return is_in_doubt_; }

  // The version of the store whose state the objects are. Its revision is zero
  // while nothing is known; otherwise the version never decreases.
  const StoreVersion& version() const { return version_; }
  // The version since which changes are of use; zero if a list is needed.
  StoreVersion base() const { return is_in_doubt_ ? StoreVersion() : version_; }
  MirrorState state() const { return {version_, changed_, digest_}; }
  // Whether a peer holds other objects, of a later version; in doubt also of
  // the same version.
  bool IsBehind(const MirrorState& peer) const;

  // Encodes the changes since `version` for a peer, or all objects if the
  // changes are no longer known.
  std::string EncodeSince(const StoreVersion& version) const;
  // Decodes what a peer encoded that was asked for the changes since `since`.
  // Fails with kPeerMalformed.
  static Result<StoreUpdate> Decode(const std::string& encoded,
                                    const StoreVersion& since);

 private:
  struct Change {
    StoreVersion version;
    StoredObject object;
  };

  // Whether `version` is later than the mirror's, or equal if it is in doubt.
  bool IsSurpassedBy(const StoreVersion& version) const;
  // Whether the update leads on from the mirror's version.
  bool LeadsOn(const StoreUpdate& update) const;
  // Whether the mirror holds the state after this change already.
  bool Holds(const StoredObject& change) const;
  // Whether a peer holds the same objects, whatever its version.
  bool HoldsSameAs(const MirrorState& peer) const;
  // Leaves out changes that others of the list make obsolete, and those that
  // make no difference.
  void KeepEffective(std::vector<StoredObject>& changes) const;
  void Replace(const std::vector<StoredObject>& objects,
               const StoreVersion& version);
  void Apply(const StoredObject& change);
  // Remembers a change at version_.
  void Remember(StoredObject change);

  // Content of each object, by name: the state of the store at version_.
  std::map<std::string, std::string> contents_;
  // Always the sum of contents_.
  uint64_t digest_ = 0;
  StoreVersion version_;
  StoreVersion changed_;
  bool is_in_doubt_ = false;
  // What led from the state at changes_since_ to contents_, oldest first.
  std::deque<Change> changes_;
  StoreVersion changes_since_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_
