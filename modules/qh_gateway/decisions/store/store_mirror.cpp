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
// Nodes of an earlier version send neither of these.
constexpr const char* kGapless = "gapless";
constexpr const char* kDigest = "digest";

// An object's part of the digest; parts are combined by exclusive or.
uint64_t DigestOf(const std::string& name, const std::string& content) {
  return Hash64(content, Hash64(name));
}

bool IsNumber(const Json& json, const char* key) {
  return json.contains(key) && json[key].is_number_unsigned();
}

// Returns the last change of each object, in order.
std::vector<StoredObject> LastChanges(std::vector<StoredObject> changes) {
  std::set<std::string> changed_later;
  std::vector<StoredObject> last;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    if (changed_later.insert(change->name).second) {
      last.push_back(std::move(*change));
    }
  }
  std::reverse(last.begin(), last.end());
  return last;
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
  const bool compares = !is_in_doubt_ && version_.revision > 0 &&
                        update.since->epoch == version_.epoch &&
                        update.version.epoch == version_.epoch;
  const bool reaches_back =
      update.is_gapless ? *update.since <= version_ : *update.since == version_;
  return compares && reaches_back && update.version > version_;
}

std::optional<StoreUpdate> StoreMirror::Take(StoreUpdate update) {
  if (!LeadsOn(update)) {
    return std::nullopt;
  }
  if (!update.since) {
    Replace(update.objects, update.version);
    return update;
  }
  std::vector<StoredObject> changes = LastChanges(std::move(update.objects));
  update.objects = Effective(changes);
  if (update.digest && DigestAfter(update.objects) != *update.digest) {
    is_in_doubt_ = true;
    return std::nullopt;
  }
  for (const StoredObject& change : update.objects) {
    Apply(change);
  }
  Remember({.since = std::exchange(version_, update.version),
            .version = update.version,
            .objects = std::move(changes),
            .is_gapless = update.is_gapless});
  return update;
}

void StoreMirror::Replace(const std::vector<StoredObject>& objects,
                          const StoreVersion& version) {
  std::map<std::string, std::string> contents;
  for (const StoredObject& object : objects) {
    contents[object.name] = object.content;
  }
  // What came and went between the two versions a list does not show.
  Step step{.since = version_,
            .version = version,
            .objects = DifferenceTo(contents),
            .is_gapless = false};
  const bool is_known = version_.revision > 0 && version_ == version;
  if (is_known && step.objects.empty()) {
    is_in_doubt_ = false;
    return;
  }
  const bool leads_on = version_.revision > 0 && !is_in_doubt_ &&
                        version_.epoch == version.epoch && version_ < version;
  for (const StoredObject& change : step.objects) {
    Apply(change);
  }
  version_ = version;
  is_in_doubt_ = false;
  if (leads_on) {
    Remember(std::move(step));
    return;
  }
  changed_ = version_;
  steps_.clear();
  remembered_ = 0;
  steps_since_ = version_;
}

std::vector<StoredObject> StoreMirror::DifferenceTo(
    const std::map<std::string, std::string>& contents) const {
  std::vector<StoredObject> difference;
  for (const auto& [name, content] : contents_) {
    if (!contents.contains(name)) {
      difference.push_back({.name = name, .removed = true});
    }
  }
  for (const auto& [name, content] : contents) {
    StoredObject object{.name = name, .content = content};
    if (!Holds(object)) {
      difference.push_back(std::move(object));
    }
  }
  return difference;
}

void StoreMirror::Apply(const StoredObject& change) {
  digest_ = DigestAfter({change});
  if (change.removed) {
    contents_.erase(change.name);
  } else {
    contents_[change.name] = change.content;
  }
}

uint64_t StoreMirror::DigestAfter(
    const std::vector<StoredObject>& changes) const {
  uint64_t digest = digest_;
  for (const StoredObject& change : changes) {
    const auto known = contents_.find(change.name);
    if (known != contents_.end()) {
      digest ^= DigestOf(change.name, known->second);
    }
    if (!change.removed) {
      digest ^= DigestOf(change.name, change.content);
    }
  }
  return digest;
}

std::vector<StoredObject> StoreMirror::Effective(
    const std::vector<StoredObject>& changes) const {
  std::vector<StoredObject> effective;
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(effective),
               [&](const StoredObject& change) { return !Holds(change); });
  return effective;
}

bool StoreMirror::Holds(const StoredObject& change) const {
  const auto found = contents_.find(change.name);
  return change.removed
             ? found == contents_.end()
             : found != contents_.end() && found->second == change.content;
}

void StoreMirror::Remember(Step step) {
  if (step.is_gapless && step.objects.empty()) {
    return;
  }
  const auto weight = [](const Step& one) {
    return std::max<size_t>(1, one.objects.size());
  };
  changed_ = step.version;
  remembered_ += weight(step);
  steps_.push_back(std::move(step));
  while (remembered_ > kMaxChanges) {
    remembered_ -= weight(steps_.front());
    steps_since_ = steps_.front().version;
    steps_.pop_front();
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
  if (!is_later || !HoldsSameAs(peer)) {
    return;
  }
  if (peer.changed > version_) {
    // Objects changed, and changed back; which ones is not known.
    Remember({.since = version_, .version = peer.changed, .is_gapless = false});
  }
  version_ = peer.version;
}

bool StoreMirror::NeedsAll(const StoreVersion& version) const {
  return version.epoch != version_.epoch || version < steps_since_ ||
         std::any_of(steps_.begin(), steps_.end(), [&](const Step& step) {
           return !step.is_gapless && step.since < version &&
                  version < step.version;
         });
}

std::string StoreMirror::EncodeSince(const StoreVersion& version) const {
  const bool complete = NeedsAll(version);
  bool gapless = true;
  Json objects = Json::object();
  if (complete) {
    objects = contents_;
  }
  for (const Step& step : steps_) {
    if (complete || step.version <= version) {
      continue;
    }
    gapless = gapless && step.is_gapless;
    for (const StoredObject& object : step.objects) {
      objects[object.name] = object.removed ? Json() : Json(object.content);
    }
  }
  return Json{{kEpoch, version_.epoch}, {kRevision, version_.revision},
              {kComplete, complete},    {kGapless, gapless},
              {kDigest, digest_},       {kObjects, objects}}
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
    const auto gapless = json.find(kGapless);
    update.is_gapless = gapless != json.end() && *gapless == true;
  }
  if (IsNumber(json, kDigest)) {
    update.digest = json[kDigest].get<uint64_t>();
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
