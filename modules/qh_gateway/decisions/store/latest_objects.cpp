#include "qh_gateway/decisions/store/latest_objects.h"

#include <algorithm>
#include <set>

namespace qh {

bool LatestObjects::TakeObject(const StoredObject& object, uint64_t epoch) {
  const StoreVersion version{epoch, object.revision};
  const auto known = entries_.find(object.name);
  if (known != entries_.end()) {
    const Entry& entry = known->second;
    const bool was_removed_since = !entry.object && version == entry.version;
    if (version < entry.version || was_removed_since) {
      return false;
    }
  }
  entries_[object.name] = {version, object};
  return true;
}

bool LatestObjects::TakeRemoval(const std::string& name,
                                const StoreVersion& version) {
  const auto known = entries_.find(name);
  if (known == entries_.end() || !known->second.object ||
      version < known->second.version) {
    return false;
  }
  known->second = {version, std::nullopt};
  DropOldRemovals();
  return true;
}

void LatestObjects::TakeList(const std::vector<StoredObject>& objects,
                             const StoreVersion& version) {
  std::set<std::string> listed;
  for (const StoredObject& object : objects) {
    listed.insert(object.name);
    // What is known of the object may be later than the list.
    static_cast<void>(TakeObject(object, version.epoch));
  }
  for (auto& [name, entry] : entries_) {
    if (entry.object && entry.version <= version && !listed.contains(name)) {
      entry = {version, std::nullopt};
    }
  }
  DropOldRemovals();
}

void LatestObjects::DropOldRemovals() {
  std::vector<StoreVersion> removals;
  for (const auto& [name, entry] : entries_) {
    if (!entry.object) {
      removals.push_back(entry.version);
    }
  }
  if (removals.size() <= kMaxRemovals) {
    return;
  }
  std::sort(removals.begin(), removals.end());
  const StoreVersion last_dropped =
      removals[removals.size() - kMaxRemovals - 1];
  std::erase_if(entries_, [&](const auto& item) {
    return !item.second.object && item.second.version <= last_dropped;
  });
}

const StoredObject* LatestObjects::Find(const std::string& name) const {
  const auto known = entries_.find(name);
  return known != entries_.end() && known->second.object
             ? &*known->second.object
             : nullptr;
}

StoreVersion LatestObjects::VersionOf(const std::string& name) const {
  const auto known = entries_.find(name);
  return known == entries_.end() ? StoreVersion() : known->second.version;
}

std::vector<StoredObject> LatestObjects::All() const {
  std::vector<StoredObject> all;
  for (const auto& [name, entry] : entries_) {
    if (entry.object) {
      all.push_back(*entry.object);
    }
  }
  return all;
}

}  // namespace qh
