// What the store last said of the servers, as nodes hand it to peers that can't
// reach the store. A snapshot of a peer counts only while it is newer than what
// is known: it may arrive after the store has answered again, and the watch
// that follows would not tell once more what such a snapshot takes back.

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

class ServerSnapshot {
 public:
  // The store's or a newer peer's whole list replaces what was known.
  void OnList(const std::vector<StoredObject>& objects);
  // One registration came or changed.
  void OnObject(const StoredObject& object);
  // One registration went, or can't be read any more.
  void OnRemoved(const std::string& name);
  // All that was told holds up to the store's `revision`.
  void OnConfirmed(uint64_t revision);

  // Revision of the store up to which this is known; zero before any.
  uint64_t revision() const { return revision_; }

  // Returns this for a peer.
  std::string Encode() const;
  // Returns what a peer encoded when that is newer than this, else nothing.
  // Fails with kPeerMalformed.
  Result<std::optional<ObjectPage>> ReadNewer(const std::string& encoded) const;

 private:
  std::map<std::string, std::string> contents_;
  // Never falls.
  uint64_t revision_ = 0;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVER_SNAPSHOT_H_
