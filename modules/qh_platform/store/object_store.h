// The platform's object store as data: a request, a reply, and the hook that
// makes the call. Pure state machines put StoreRequests into their actions;
// drivers and test fakes carry them out.

#ifndef QH_PLATFORM_STORE_OBJECT_STORE_H_
#define QH_PLATFORM_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

enum class StoreOp {
  // Reads one object.
  kGet,
  // Writes one object; conditional if expected_version is set.
  kPut,
  kDelete,
  // Reads every object whose key starts with `key`.
  kList,
  // Waits until an object below the prefix `key` is newer than `since`.
  kWatch,
};

template <>
inline constexpr EnumName<StoreOp> kEnumNames<StoreOp>[] = {
    {StoreOp::kGet, "get"},       {StoreOp::kPut, "put"},
    {StoreOp::kDelete, "delete"}, {StoreOp::kList, "list"},
    {StoreOp::kWatch, "watch"},
};

// Version of an object that must not exist yet.
inline constexpr uint64_t kAbsentVersion = 0;

struct StoreRequest {
  StoreOp op = StoreOp::kGet;
  // Key, or prefix for kList and kWatch.
  std::string key;
  std::string body;
  // Condition of kPut and kDelete: the object's current version must be this,
  // or the object must not exist if this is kAbsentVersion. Unset means
  // unconditional.
  std::optional<uint64_t> expected_version;
  // For kWatch: the newest store revision already seen.
  uint64_t since = 0;
  // For kWatch: how long the store may wait for a change before it answers.
  Duration wait = Duration::zero();
};

enum class StoreStatus {
  kOk,
  kNotFound,
  // The condition did not hold; nothing was written.
  kConflict,
  // The store's rate limit refused the call; nothing was written.
  kThrottled,
  // A write had no effect: the connection failed or the store refused the
  // call. A read that got no answer may also have this status.
  kUnavailable,
  // No usable answer came; a write may or may not have taken effect.
  kAmbiguous,
};

template <>
inline constexpr EnumName<StoreStatus> kEnumNames<StoreStatus>[] = {
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kNotFound, "not_found"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kThrottled, "throttled"},
    {StoreStatus::kUnavailable, "unavailable"},
    {StoreStatus::kAmbiguous, "ambiguous"},
};

struct StoreObject {
  std::string key;
  std::string body;
  // Rises by one with each write of the object; starts at 1.
  uint64_t version = 0;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  // The object read or written; after kConflict its current version if known.
  StoreObject object;
  // Objects of kList and kWatch, sorted by key.
  std::vector<StoreObject> objects;
  // Revision of the store that this reply reflects (kList, kWatch).
  uint64_t revision = 0;
};

// Sends one request to the store and waits for its reply. Thread safe.
using StoreHook = std::function<StoreReply(const StoreRequest&)>;

}  // namespace qh

#endif  // QH_PLATFORM_STORE_OBJECT_STORE_H_
