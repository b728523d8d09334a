#include "qh_config/distribution/apply_plan.h"

#include <map>
#include <set>

namespace qh {
namespace {

// Limit of retries after lost answers, see ApplyPlan::retries_.
constexpr uint32_t kMaxRetries = 5;
constexpr uint32_t kMaxManifestWrites = 3;

ApplyStep Final(ApplyStepKind kind) {
  ApplyStep step;
  step.kind = kind;
  return step;
}

ApplyStep Read(const std::string& key) {
  ApplyStep step;
  step.kind = ApplyStepKind::kRead;
  step.key = key;
  return step;
}

}  // namespace

ManifestDiff DiffManifests(const Manifest& from, const Manifest& to) {
  std::map<std::string, std::string> before;
  for (const ManifestEntry& entry : from.entries) {
    before[entry.name] = entry.object_key;
  }
  ManifestDiff diff;
  std::set<std::string> names;
  for (const ManifestEntry& entry : to.entries) {
    names.insert(entry.name);
    const auto found = before.find(entry.name);
    if (found == before.end()) {
      diff.added.push_back(entry.name);
    } else if (found->second != entry.object_key) {
      diff.changed.push_back(entry.name);
    }
  }
  for (const auto& [name, key] : before) {
    if (!names.contains(name)) {
      diff.removed.push_back(name);
    }
  }
  return diff;
}

ApplyPlan::ApplyPlan(std::vector<ConfigFile> files,
                     std::optional<uint64_t> expected_manifest,
                     std::string author)
    : files_(std::move(files)),
      expected_manifest_(expected_manifest),
      author_(std::move(author)) {}

ApplyStep ApplyPlan::Start() {
  return Read(kManifestKey);
}

ApplyStep ApplyPlan::Advance(const ApplyReply& reply) {
  switch (stage_) {
    case Stage::kReadBase:
      return OnBase(reply);
    case Stage::kWriteObject:
      return OnObject(reply);
    case Stage::kWriteManifest:
      return OnManifestWritten(reply);
    case Stage::kReadBack:
      return OnReadBack(reply);
  }
  return Final(ApplyStepKind::kUnavailable);
}

ApplyStep ApplyPlan::OnBase(const ApplyReply& reply) {
  if (reply.kind == ApplyReplyKind::kOk) {
    const auto manifest = Manifest::Decode(reply.body);
    if (!manifest) {
      return Final(ApplyStepKind::kUnavailable);
    }
    base_ = manifest.value();
    base_object_version_ = reply.version;
  } else if (reply.kind != ApplyReplyKind::kNotFound) {
    return Final(ApplyStepKind::kUnavailable);
  }
  new_manifest_ = MakeManifest(base_.version + 1, files_, author_);
  if (expected_manifest_ && *expected_manifest_ != base_.version) {
    return Refuse(base_);
  }
  stage_ = Stage::kWriteObject;
  return NextObject();
}

ApplyStep ApplyPlan::NextObject() {
  std::set<std::string> present;
  for (const ManifestEntry& entry : base_.entries) {
    present.insert(entry.object_key);
  }
  while (next_file_ < files_.size() &&
         present.contains(new_manifest_.entries[next_file_].object_key)) {
    ++next_file_;
  }
  if (next_file_ == files_.size()) {
    return WriteManifest();
  }
  ApplyStep step;
  step.kind = ApplyStepKind::kWrite;
  step.key = new_manifest_.entries[next_file_].object_key;
  step.body = files_[next_file_].text;
  return step;
}

ApplyStep ApplyPlan::OnObject(const ApplyReply& reply) {
  if (reply.kind == ApplyReplyKind::kUnavailable) {
    return Final(ApplyStepKind::kUnavailable);
  }
  if (reply.kind == ApplyReplyKind::kAmbiguous) {
    // The key is the hash of the content, so a repeated write is harmless.
    if (++retries_ > kMaxRetries) {
      return Final(ApplyStepKind::kUnavailable);
    }
    return NextObject();
  }
  ++next_file_;
  return NextObject();
}

ApplyStep ApplyPlan::WriteManifest() {
  if (++manifest_writes_ > kMaxManifestWrites) {
    return Final(ApplyStepKind::kUnknown);
  }
  stage_ = Stage::kWriteManifest;
  retries_ = 0;
  ApplyStep step;
  step.kind = ApplyStepKind::kWrite;
  step.key = kManifestKey;
  step.body = new_manifest_.Encode();
  step.expected_version = base_object_version_;
  return step;
}

ApplyStep ApplyPlan::OnManifestWritten(const ApplyReply& reply) {
  switch (reply.kind) {
    case ApplyReplyKind::kOk: {
      ApplyStep step = Final(ApplyStepKind::kAccepted);
      step.version = new_manifest_.version;
      return step;
    }
    case ApplyReplyKind::kAmbiguous:
      is_ambiguous_ = true;
      return ReadBack();
    case ApplyReplyKind::kConflict:
      return ReadBack();
    case ApplyReplyKind::kNotFound:
    case ApplyReplyKind::kUnavailable:
      return Final(is_ambiguous_ ? ApplyStepKind::kUnknown
                                 : ApplyStepKind::kUnavailable);
  }
  return Final(ApplyStepKind::kUnknown);
}

ApplyStep ApplyPlan::ReadBack() {
  stage_ = Stage::kReadBack;
  return Read(kManifestKey);
}

ApplyStep ApplyPlan::OnReadBack(const ApplyReply& reply) {
  const bool answered = reply.kind == ApplyReplyKind::kOk ||
                        reply.kind == ApplyReplyKind::kNotFound;
  if (!answered) {
    if (++retries_ < kMaxRetries) {
      return ReadBack();
    }
    return Final(ApplyStepKind::kUnknown);
  }
  if (reply.version == base_object_version_ && is_ambiguous_) {
    // The write has not taken effect. Its condition makes a retry safe.
    return WriteManifest();
  }
  const auto manifest = Manifest::Decode(reply.body);
  if (!manifest) {
    return Final(ApplyStepKind::kUnknown);
  }
  const Manifest& present = manifest.value();
  if (is_ambiguous_ && present.version == new_manifest_.version &&
      DiffManifests(present, new_manifest_).empty()) {
    ApplyStep step = Final(ApplyStepKind::kAccepted);
    step.version = new_manifest_.version;
    return step;
  }
  if (is_ambiguous_ && present.version > new_manifest_.version) {
    // Later versions have replaced the manifest, so it is unknown whether this
    // one was ever accepted.
    ApplyStep step = Final(ApplyStepKind::kUnknown);
    step.diff = DiffManifests(present, new_manifest_);
    step.version = present.version;
    return step;
  }
  return Refuse(present);
}

ApplyStep ApplyPlan::Refuse(const Manifest& other) const {
  ApplyStep step = Final(ApplyStepKind::kRefused);
  step.version = other.version;
  step.diff = DiffManifests(other, new_manifest_);
  return step;
}

}  // namespace qh
