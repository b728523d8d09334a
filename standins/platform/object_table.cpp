#include "standins/platform/object_table.h"

namespace qh::standins {

std::optional<StoreObject> ObjectTable::Get(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  return found->second.object;
}

bool ObjectTable::Holds(const std::string& key,
                        std::optional<uint64_t> expected) const {
  const auto found = rows_.find(key);
  const uint64_t version =
      found == rows_.end() ? kAbsentVersion : found->second.object.version;
  return !expected || *expected == version;
}

std::optional<uint64_t> ObjectTable::Put(const std::string& key,
                                         const std::string& body,
                                         std::optional<uint64_t> expected) {
  const std::lock_guard lock(mutex_);
  if (!Holds(key, expected)) {
    return std::nullopt;
  }
  Row& row = rows_[key];
  row.object = {key, body, row.object.version + 1};
  row.revision = ++revision_;
  changed_.notify_all();
  return row.object.version;
}

bool ObjectTable::Delete(const std::string& key,
                         std::optional<uint64_t> expected) {
  const std::lock_guard lock(mutex_);
  if (!Holds(key, expected)) {
    return false;
  }
  rows_.erase(key);
  ++revision_;
  return true;
}

ObjectList ObjectTable::List(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  return Newer(prefix, 0);
}

ObjectList ObjectTable::Watch(const std::string& prefix,
                              uint64_t since,
                              Duration wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    return stopping_ || !Newer(prefix, since).objects.empty();
  });
  return Newer(prefix, since);
}

void ObjectTable::Stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

ObjectList ObjectTable::Newer(const std::string& prefix, uint64_t since) const {
  ObjectList list;
  list.revision = revision_;
  for (auto it = rows_.lower_bound(prefix);
       it != rows_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.revision > since) {
      list.objects.push_back(it->second.object);
    }
  }
  return list;
}

}  // namespace qh::standins
