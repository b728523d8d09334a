#include "qh_gateway/decisions/store/store_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr const char* kEpoch = "epoch";
constexpr const char* kRevision = "revision";
constexpr const char* kComplete = "complete";
// Contents by name; null for a removed object.
constexpr const char* kObjects = "objects";

// An object's part of the digest; parts are combined by exclusive or.
uint64_t DigestOf(const std::string& name, const std::string& content) {
  return Hash64(content, Hash64(name));
}

bool IsNumber(const Json& json, const char* key) {
  return json.contains(key) && json[key].is_number_unsigned();
}

}  // namespace

bool StoreMirror::IsSurpassedBy(const StoreVersion& version) const {
  return is_in_doubt_ ? version >= version_ : version > version_;
}

bool StoreMirror::LeadsOn(const StoreUpdate& update) const {
  if (!update.since) {
    return update.source == UpdateSource::kStore
               ? update.version >= version_
               : IsSurpassedBy(update.version);
  }
  // Revisions of two epochs don't compare.
  return !is_in_doubt_ && version_.revision > 0 &&
         update.since->epoch == version_.epoch &&
         update.version.epoch == version_.epoch && *update.since <= version_ &&
         update.version > version_;
}

std::optional<StoreUpdate> StoreMirror::Take(StoreUpdate update) {
  if (!LeadsOn(update)) {
    return std::nullopt;
  }
  if (!update.since) {
    Replace(update.objects, update.version);
    return update;
  }
  KeepEffective(update.objects);
  version_ = update.version;
  for (const StoredObject& change : update.objects) {
    Apply(change);
    Remember(change);
    changed_ = version_;
  }
  return update;
}

void StoreMirror::Replace(const std::vector<StoredObject>& objects,
                          const StoreVersion& version) {
  const bool had_earlier =
      version_.revision > 0 && version_.epoch == version.epoch;
  const uint64_t digest_before = digest_;
  contents_.clear();
  digest_ = 0;
  for (const StoredObject& object : objects) {
    Apply(object);
  }
  version_ = version;
  is_in_doubt_ = false;
  if (had_earlier && digest_ == digest_before) {
    return;
  }
  changed_ = version_;
  changes_.clear();
  changes_since_ = version_;
}

void StoreMirror::Apply(const StoredObject& change) {
  const auto known = contents_.find(change.name);
  if (known != contents_.end()) {
    digest_ ^= DigestOf(change.name, known->second);
    contents_.erase(known);
  }
  if (!change.removed) {
    digest_ ^= DigestOf(change.name, change.content);
    contents_[change.name] = change.content;
  }
}

void StoreMirror::KeepEffective(std::vector<StoredObject>& changes) const {
  std::set<std::string> changed_later;
  std::vector<StoredObject> effective;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    const bool is_last = changed_later.insert(change->name).second;
    if (is_last && !Holds(*change)) {
      effective.push_back(std::move(*change));
    }
  }
  std::reverse(effective.begin(), effective.end());
  changes = std::move(effective);
}

bool StoreMirror::Holds(const StoredObject& change) const {
  const auto found = contents_.find(change.name);
  return change.removed
             ? found == contents_.end()
             : found != contents_.end() && found->second == change.content;
}

void StoreMirror::Remember(StoredObject change) {
  changes_.push_back({version_, std::move(change)});
  if (changes_.size() <= kMaxChanges) {
    return;
  }
  // Changes that arrived together are kept or dropped together.
  changes_since_ = changes_.front().version;
  while (!changes_.empty() && changes_.front().version <= changes_since_) {
    changes_.pop_front();
  }
}

void StoreMirror::Discard(uint64_t epoch) {
  *this = StoreMirror();
  version_.epoch = epoch;
}

bool StoreMirror::HoldsSameAs(const MirrorState& peer) const {
  return peer.digest ? *peer.digest == digest_ : version_ >= peer.changed;
}

bool StoreMirror::IsBehind(const MirrorState& peer) const {
  const bool knows_none = version_.revision == 0;
  return peer.version.revision > 0 && IsSurpassedBy(peer.version) &&
         (knows_none || !HoldsSameAs(peer));
}

void StoreMirror::ConfirmBy(const MirrorState& peer) {
  const bool is_later = version_.revision > 0 &&
                        peer.version.epoch == version_.epoch &&
                        peer.version > version_;
  if (is_later && HoldsSameAs(peer)) {
    version_ = peer.version;
  }
}

std::string StoreMirror::EncodeSince(const StoreVersion& version) const {
  const bool complete =
      version.epoch != version_.epoch || version < changes_since_;
  Json objects = Json::object();
  if (complete) {
    objects = contents_;
  }
  for (const Change& change : changes_) {
    if (!complete && change.version > version) {
      objects[change.object.name] =
          change.object.removed ? Json() : Json(change.object.content);
    }
  }
  return Json{{kEpoch, version_.epoch},
              {kRevision, version_.revision},
              {kComplete, complete},
              {kObjects, objects}}
      .dump();
}

Result<StoreUpdate> StoreMirror::Decode(const std::string& encoded,
                                        const StoreVersion& since) {
  const Json json = Json::parse(encoded, nullptr, false);
  if (!json.is_object() || !json.contains(kObjects) ||
      !json[kObjects].is_object() || !IsNumber(json, kRevision) ||
      !IsNumber(json, kEpoch) || !json.contains(kComplete) ||
      !json[kComplete].is_boolean()) {
    return Error(ErrorKind::kPeerMalformed,
                 "a peer's objects lack their version or are no object");
  }
  StoreUpdate update{.source = UpdateSource::kPeer};
  update.version = {.epoch = json[kEpoch].get<uint64_t>(),
                    .revision = json[kRevision].get<uint64_t>()};
  const bool complete = json[kComplete].get<bool>();
  if (!complete) {
    update.since = since;
  }
  for (const auto& [name, content] : json[kObjects].items()) {
    const bool removed = !complete && content.is_null();
    if (!content.is_string() && !removed) {
      return Error(ErrorKind::kPeerMalformed,
                   "a peer's object \"" + name + "\" is not a string");
    }
    update.objects.push_back(
        {.name = name,
         .content = removed ? std::string() : content.get<std::string>(),
         .removed = removed});
  }
  return update;
}

}  // namespace qh
