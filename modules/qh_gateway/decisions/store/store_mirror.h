// One kind of the store's objects as this node knows them, with the version of
// the store that they are the state of. Nodes send it to peers that can't reach
// the store, and in a large deployment to all that leave the reading to their
// relays.
//
// What the store or a peer says may arrive late: a list that was held up on its
// way describes an older state than the changes that a peer has told of
// meanwhile. Therefore objects and version change together or not at all, in
// Take alone, and by version, whoever sent the update and whenever it arrives.
//
// Changes are of use to a peer only if they lead on from its version. Between
// two versions of a mirror, objects may have come and gone, or changed back,
// that the mirror never knew of; a peer whose version lies between the two may
// know them. It gets all objects then. A peer's changes also carry the digest
// that has to result; if another one does, one of the two copies is wrong, and
// all objects are needed.

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
  // Whether the changes name every object that changed between the two, also
  // one that changed back. If not, they lead on from `since` alone.
  bool is_gapless = true;
  // The digest of all objects at `version`; nullopt if the sender told none.
  std::optional<uint64_t> digest;
};

// What became of an update.
enum class UpdateOutcome {
  kTaken,
  // It led no further than what was known, or on from another version.
  kPassedOver,
  // It did not lead to the objects that its sender has.
  kContradicted,
};

template <>
inline constexpr EnumName<UpdateOutcome> kEnumNames<UpdateOutcome>[] = {
    {UpdateOutcome::kTaken, "taken"},
    {UpdateOutcome::kPassedOver, "passed over"},
    {UpdateOutcome::kContradicted, "contradicted"},
};

// What a node tells its peers of its mirror.
struct MirrorState {
  StoreVersion version;
  // The version after which no object has changed, not even to change back.
  StoreVersion changed;
  // Sums up names and contents of all objects; nullopt from nodes of an earlier
  // version.
  std::optional<uint64_t> digest;
};

class StoreMirror {
 public:
  // Changed objects kept for peers that ask for them; with more, they get all
  // objects.
  static constexpr size_t kMaxChanges = 512;

  // Applies `update` and moves on to its version. Returns what was applied: a
  // list as it is, of changes only those that make a difference, at most one
  // for each object. Returns nullopt, and changes nothing, if the mirror is
  // there or further already, or the changes don't lead on from its version. A
  // list of the store's own may replace objects of the same version: if they
  // differ, the mirror's are wrong. Changes that don't lead to the digest that
  // they came with leave the mirror in doubt.
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
  // What led from one version of the mirror to a later one. Between two steps
  // no object changed.
  struct Step {
    StoreVersion since;
    StoreVersion version;
    // As of `version`, each at most once.
    std::vector<StoredObject> objects;
    // As in StoreUpdate.
    bool is_gapless = true;
  };

  // Whether `version` is later than the mirror's, or equal if it is in doubt.
  bool IsSurpassedBy(const StoreVersion& version) const;
  // Whether the update leads on from the mirror's version.
  bool LeadsOn(const StoreUpdate& update) const;
  // Whether the mirror holds the state after this change already.
  bool Holds(const StoredObject& change) const;
  // Whether a peer holds the same objects, whatever its version.
  bool HoldsSameAs(const MirrorState& peer) const;
  // Whether a mirror at `version` needs all objects, as the changes since are
  // not all known.
  bool NeedsAll(const StoreVersion& version) const;
  // Returns those of `changes` that make a difference.
  std::vector<StoredObject> Effective(
      const std::vector<StoredObject>& changes) const;
  // Returns the digest after `changes`, which name no object twice.
  uint64_t DigestAfter(const std::vector<StoredObject>& changes) const;
  void Replace(const std::vector<StoredObject>& objects,
               const StoreVersion& version);
  // Returns what leads from contents_ to `contents`.
  std::vector<StoredObject> DifferenceTo(
      const std::map<std::string, std::string>& contents) const;
  void Apply(const StoredObject& change);
  void Remember(Step step);

  // Content of each object, by name: the state of the store at version_.
  std::map<std::string, std::string> contents_;
  // Always the sum of contents_.
  uint64_t digest_ = 0;
  StoreVersion version_;
  StoreVersion changed_;
  bool is_in_doubt_ = false;
  // What led from the state at steps_since_ to contents_, oldest first.
  std::deque<Step> steps_;
  StoreVersion steps_since_;
  // Objects in steps_; a step without any counts as one.
  size_t remembered_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_STORE_MIRROR_H_
