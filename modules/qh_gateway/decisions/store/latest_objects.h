// The objects of one kind of the store, each as of the latest version that any
// answer has shown. For kinds that a node reads and writes on several
// connections: an answer to an earlier call may arrive after one to a later
// call, and must not undo what that one showed.

#ifndef QH_GATEWAY_DECISIONS_STORE_LATEST_OBJECTS_H_
#define QH_GATEWAY_DECISIONS_STORE_LATEST_OBJECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "qh_gateway/model/stored_object.h"

namespace qh {

class LatestObjects {
 public:
  // Removals that are remembered; those of the earliest versions are forgotten
  // first.
  static constexpr size_t kMaxRemovals = 256;

  // An answer of `epoch` showed the object. Returns whether it is at least as
  // late as what is known; otherwise nothing changes.
  [[nodiscard]] bool TakeObject(const StoredObject& object, uint64_t epoch);
  // The object was found to be removed at `version`. Returns whether it is
  // known and no later; otherwise nothing changes.
  [[nodiscard]] bool TakeRemoval(const std::string& name,
                                 const StoreVersion& version);
  // A list showed all objects at `version`.
  void TakeList(const std::vector<StoredObject>& objects,
                const StoreVersion& version);

  // Returns the object, or null if it is not known or was removed.
  const StoredObject* Find(const std::string& name) const;
  // Returns the version at which the object last changed; zero if it is not
  // known.
  StoreVersion VersionOf(const std::string& name) const;
  // Returns all objects, by name.
  std::vector<StoredObject> All() const;

 private:
  struct Entry {
    StoreVersion version;
    // nullopt once it was removed.
    std::optional<StoredObject> object;
  };

  // Forgets removals beyond kMaxRemovals.
  void DropOldRemovals();

  std::map<std::string, Entry> entries_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STORE_LATEST_OBJECTS_H_
