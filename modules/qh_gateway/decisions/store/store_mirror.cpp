#include "qh_gateway/decisions/store/store_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

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

void StoreMirror::OnList(const std::vector<StoredObject>& objects) {
  contents_.clear();
  digest_ = 0;
  unconfirmed_.clear();
  listed_ = true;
  for (const StoredObject& object : objects) {
    contents_[object.name] = object.content;
  }
  for (const auto& [name, content] : contents_) {
    digest_ ^= DigestOf(name, content);
  }
}

void StoreMirror::OnObject(const StoredObject& object) {
  const auto [entry, added] = contents_.try_emplace(object.name);
  if (!added) {
    digest_ ^= DigestOf(object.name, entry->second);
  }
  entry->second = object.content;
  digest_ ^= DigestOf(object.name, object.content);
  unconfirmed_.push_back(object);
}

void StoreMirror::OnRemoved(const std::string& name) {
  const auto found = contents_.find(name);
  if (found == contents_.end()) {
    return;
  }
  digest_ ^= DigestOf(name, found->second);
  contents_.erase(found);
  unconfirmed_.push_back({.name = name, .removed = true});
}

bool StoreMirror::Holds(const StoredObject& change) const {
  const auto found = contents_.find(change.name);
  return change.removed
             ? found == contents_.end()
             : found != contents_.end() && found->second == change.content;
}

void StoreMirror::OnConfirmed(const StoreVersion& version) {
  version_ = std::max(version_, version);
  if (listed_ || !unconfirmed_.empty()) {
    changed_ = version_;
  }
  if (std::exchange(listed_, false)) {
    changes_.clear();
    changes_since_ = version_;
  }
  for (StoredObject& object : std::exchange(unconfirmed_, {})) {
    AddChange(std::move(object));
  }
}

void StoreMirror::AddChange(StoredObject object) {
  changes_.push_back({version_, std::move(object)});
  if (changes_.size() <= kMaxChanges) {
    return;
  }
  // Changes that were confirmed together are kept or dropped together.
  changes_since_ = changes_.front().confirmed;
  while (!changes_.empty() && changes_.front().confirmed <= changes_since_) {
    changes_.pop_front();
  }
}

std::string StoreMirror::EncodeSince(const StoreVersion& version) const {
  const bool complete = version < changes_since_;
  Json objects = Json::object();
  if (complete) {
    objects = contents_;
  }
  for (const Change& change : changes_) {
    if (!complete && change.confirmed > version) {
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

Result<std::optional<MirrorUpdate>> StoreMirror::ReadNewer(
    const std::string& encoded) const {
  const Json json = Json::parse(encoded, nullptr, false);
  if (!json.is_object() || !json.contains(kObjects) ||
      !json[kObjects].is_object() || !IsNumber(json, kRevision) ||
      !IsNumber(json, kEpoch) || !json.contains(kComplete) ||
      !json[kComplete].is_boolean()) {
    return Error(ErrorKind::kPeerMalformed,
                 "a peer's objects lack their version or are no object");
  }
  MirrorUpdate update;
  update.version = {.epoch = json[kEpoch].get<uint64_t>(),
                    .revision = json[kRevision].get<uint64_t>()};
  update.complete = json[kComplete].get<bool>();
  for (const auto& [name, content] : json[kObjects].items()) {
    const bool removed = !update.complete && content.is_null();
    if (!content.is_string() && !removed) {
      return Error(ErrorKind::kPeerMalformed,
                   "a peer's object \"" + name + "\" is not a string");
    }
    update.objects.push_back(
        {.name = name,
         .content = removed ? std::string() : content.get<std::string>(),
         .removed = removed});
  }
  if (update.version <= version_) {
    return std::optional<MirrorUpdate>();
  }
  if (!update.complete) {
    std::erase_if(update.objects,
                  [this](const auto& change) { return Holds(change); });
  }
  return std::optional(std::move(update));
}

}  // namespace qh
