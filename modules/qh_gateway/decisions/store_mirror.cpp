#include "qh_gateway/decisions/store_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr const char* kEpoch = "epoch";
constexpr const char* kRevision = "revision";
constexpr const char* kComplete = "complete";
// Contents by name; null for a removed object.
constexpr const char* kObjects = "objects";

bool IsNumber(const Json& json, const char* key) {
  return json.contains(key) && json[key].is_number_unsigned();
}

}  // namespace

void StoreMirror::OnList(const std::vector<StoredObject>& objects) {
  contents_.clear();
  unconfirmed_.clear();
  listed_ = true;
  for (const StoredObject& object : objects) {
    contents_[object.name] = object.content;
  }
}

void StoreMirror::OnObject(const StoredObject& object) {
  contents_[object.name] = object.content;
  unconfirmed_.push_back(object);
}

void StoreMirror::OnRemoved(const std::string& name) {
  if (contents_.erase(name) > 0) {
    unconfirmed_.push_back({.name = name, .removed = true});
  }
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
  return update.version > version_ ? std::optional(std::move(update))
                                   : std::nullopt;
}

}  // namespace qh
