// Objects of the platform's store, and the hooks that encode calls to the store
// and decode its replies. Only the hooks' implementation knows the store's wire
// names.

#ifndef QH_GATEWAY_MODEL_STORED_OBJECT_H_
#define QH_GATEWAY_MODEL_STORED_OBJECT_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_net/http_client.h"

namespace qh {

// A state of the store. Revisions only compare within one epoch: when the store
// is restored from an older copy, its epoch rises by one and the revisions
// since that copy are given out again.
struct StoreVersion {
  uint64_t epoch = 0;
  uint64_t revision = 0;

  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

struct StoredObject {
  std::string name;
  // The store's revision at the object's last change.
  uint64_t revision = 0;
  // The object's content as JSON text.
  std::string content;
  // The object's status as JSON text; "null" if it has none. Only
  // StoreProtocol::replace_status writes it.
  std::string status = "null";
  // Events only: the object was removed.
  bool removed = false;
};

// One page of a list, or the events of one watch call.
struct ObjectPage {
  std::vector<StoredObject> objects;
  // Whether the list continues after the page's last object.
  bool has_more = false;
  // The store's revision that the page reflects.
  uint64_t revision = 0;
};

// Encoders return the call to make. Decoders take the body of the reply and
// fail when it is malformed.
struct StoreProtocol {
  // Lists the objects of `kind`, starting after the name `after` unless it is
  // empty. With `may_be_old` the answer may be some seconds old, which costs
  // the store less.
  std::function<HttpCall(const std::string& kind,
                         const std::string& after,
                         bool may_be_old)>
      list;
  // Waits up to `wait` for changes to objects of `kind` after `revision`.
  std::function<
      HttpCall(const std::string& kind, uint64_t revision, Duration wait)>
      watch;
  std::function<HttpCall(const std::string& kind, const std::string& name)> get;
  // The store refuses the call if the object exists.
  std::function<HttpCall(const std::string& kind, const StoredObject& object)>
      create;
  // The store refuses the call unless the object still has `object.revision`;
  // zero replaces any revision.
  std::function<HttpCall(const std::string& kind, const StoredObject& object)>
      replace;
  // Replaces `object.status` alone; refused like replace.
  std::function<HttpCall(const std::string& kind, const StoredObject& object)>
      replace_status;
  std::function<HttpCall(const std::string& kind, const std::string& name)>
      remove;
  std::function<Result<ObjectPage>(const std::string& body)> read_list;
  std::function<Result<ObjectPage>(const std::string& body)> read_events;
  std::function<Result<StoredObject>(const std::string& body)> read_object;
  // Returns the epoch that a reply states, or nullopt if it states none. Fails
  // with kPeerMalformed.
  std::function<Result<std::optional<uint64_t>>(const CallReply& reply)>
      read_epoch;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_STORED_OBJECT_H_
