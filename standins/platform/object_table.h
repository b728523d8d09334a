// The object API's data: objects with versions, conditional writes and watches.

#ifndef STANDINS_PLATFORM_OBJECT_TABLE_H_
#define STANDINS_PLATFORM_OBJECT_TABLE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_platform/store/object_store.h"

namespace qh::standins {

// Objects below a prefix, and the revision that they were read at.
struct ObjectList {
  uint64_t revision = 0;
  std::vector<StoreObject> objects;
};

// Thread safe.
class ObjectTable {
 public:
  // Returns the object, or nothing.
  std::optional<StoreObject> Get(const std::string& key) const;

  // Writes the object when `expected` is nothing or its present version.
  // Returns the new version, or nothing when the condition does not hold.
  std::optional<uint64_t> Put(const std::string& key,
                              const std::string& body,
                              std::optional<uint64_t> expected);

  // Removes the object under the same condition. Returns whether it held.
  bool Delete(const std::string& key, std::optional<uint64_t> expected);

  ObjectList List(const std::string& prefix) const;

  // Waits up to `wait` for an object below `prefix` newer than revision
  // `since`; returns those that are.
  ObjectList Watch(const std::string& prefix, uint64_t since, Duration wait);

  // Ends all watches, now and later.
  void Stop();

 private:
  struct Row {
    StoreObject object;
    // Revision of the table at the last write.
    uint64_t revision = 0;
  };

  bool Holds(const std::string& key, std::optional<uint64_t> expected) const;
  ObjectList Newer(const std::string& prefix, uint64_t since) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // All below are guarded by mutex_.
  bool stopping_ = false;
  uint64_t revision_ = 0;
  std::map<std::string, Row> rows_;
};

}  // namespace qh::standins

#endif  // STANDINS_PLATFORM_OBJECT_TABLE_H_
