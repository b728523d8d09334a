// The steps by which the operator's command makes a configuration the accepted
// one: writes the file objects, then the manifest with a conditional write, so
// that concurrent changes are detected. Determines the outcome of a manifest
// write whose answer was lost. A pure state machine without I/O.

#ifndef QH_CONFIG_DISTRIBUTION_APPLY_PLAN_H_
#define QH_CONFIG_DISTRIBUTION_APPLY_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "qh_config/manifest.h"
#include "qh_core/text/enum_table.h"

namespace qh {

// The kinds from kAccepted on are final.
enum class ApplyStepKind {
  // Read the object `key`.
  kRead,
  // Write `body` to `key`: unconditionally, or only if the stored object has
  // `expected_version`, where zero means that it must not exist.
  kWrite,
  // The configuration is accepted as `version`.
  kAccepted,
  // Another configuration, `version`, was accepted in the meantime; `diff`
  // holds the changes from it to the files given.
  kRefused,
  // The store did not answer or returned an unreadable manifest. This run did
  // not change the accepted configuration.
  kUnavailable,
  // Whether the manifest write took effect could not be determined. When a
  // later configuration was found, `version` and `diff` describe it.
  kUnknown,
};

// The outcome of a read or write.
enum class ApplyReplyKind {
  kOk,
  // The object to read does not exist.
  kNotFound,
  // The condition of the write does not hold.
  kConflict,
  // The store was unreachable and did not execute the operation.
  kUnavailable,
  // No answer; the store may have executed the operation.
  kAmbiguous,
};

struct ApplyReply {
  ApplyReplyKind kind = ApplyReplyKind::kUnavailable;
  // Content of the object read.
  std::string body;
  // The object's version in the store.
  uint64_t version = 0;
};

// Names of the files that differ between two manifests, each list sorted by
// name.
struct ManifestDiff {
  std::vector<std::string> added;
  std::vector<std::string> changed;
  std::vector<std::string> removed;

  bool empty() const {
    return added.empty() && changed.empty() && removed.empty();
  }
};

// Returns what changes from `from` to `to`.
ManifestDiff DiffManifests(const Manifest& from, const Manifest& to);

// ApplyStepKind says which fields a step uses.
struct ApplyStep {
  ApplyStepKind kind = ApplyStepKind::kRead;
  std::string key;
  std::string body;
  std::optional<uint64_t> expected_version;
  uint64_t version = 0;
  ManifestDiff diff;
};

// Not thread safe.
class ApplyPlan {
 public:
  // `files` are the new configuration. `expected_manifest` is the version of
  // the manifest that the operator's change is based on; without a value the
  // plan uses the version accepted when it starts. `author` is stored in the
  // manifest.
  ApplyPlan(std::vector<ConfigFile> files,
            std::optional<uint64_t> expected_manifest,
            std::string author = "");

  // Returns the first step.
  ApplyStep Start();

  // Processes the reply to the last step and returns the next one. Must not be
  // called after a final step.
  ApplyStep Advance(const ApplyReply& reply);

 private:
  enum class Stage { kReadBase, kWriteObject, kWriteManifest, kReadBack };

  ApplyStep OnBase(const ApplyReply& reply);
  ApplyStep OnObject(const ApplyReply& reply);
  ApplyStep OnManifestWritten(const ApplyReply& reply);
  ApplyStep OnReadBack(const ApplyReply& reply);
  ApplyStep NextObject();
  ApplyStep WriteManifest();
  ApplyStep ReadBack();
  ApplyStep Refuse(const Manifest& other) const;

  const std::vector<ConfigFile> files_;
  const std::optional<uint64_t> expected_manifest_;
  const std::string author_;
  Stage stage_ = Stage::kReadBase;
  Manifest base_;
  // Version of the manifest object in the store; zero when absent.
  uint64_t base_object_version_ = 0;
  // The manifest to be written.
  Manifest new_manifest_;
  // Index of the next file whose object is written.
  size_t next_file_ = 0;
  // Retries of object writes, or reads of the manifest without an answer after
  // its write.
  uint32_t retries_ = 0;
  // Attempts to write the manifest.
  uint32_t manifest_writes_ = 0;
  // Whether the answer to a manifest write was lost, so that the write may have
  // taken effect.
  bool is_ambiguous_ = false;
};

}  // namespace qh

#endif  // QH_CONFIG_DISTRIBUTION_APPLY_PLAN_H_
