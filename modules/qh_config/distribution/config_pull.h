// The messages by which a gateway node fetches a newer configuration from
// another one, and their encoding.

#ifndef QH_CONFIG_DISTRIBUTION_CONFIG_PULL_H_
#define QH_CONFIG_DISTRIBUTION_CONFIG_PULL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "qh_config/manifest.h"
#include "qh_core/errors/result.h"

namespace qh {

// Name of the call between peers that carries a ConfigPullRequest.
inline constexpr const char* kConfigPullCall = "config_pull";

// Texts are added to a reply until their sum reaches this size in bytes.
inline constexpr size_t kMaxPullBytes = 512 << 10;

struct ConfigPullRequest {
  // Version of the manifest that the sender has; zero for none.
  uint64_t have_version = 0;
  // Keys of that manifest's objects that the sender lacks. Empty to request a
  // newer manifest.
  std::vector<std::string> missing;

  // Returns the request as msgpack bytes.
  std::string Encode() const;
  // Decodes the output of Encode. Fails with kPeerMalformed.
  static Result<ConfigPullRequest> Decode(std::string_view bytes);
};

// A stored object: the text of one configuration file.
struct ConfigObject {
  // See ObjectKeyOf.
  std::string key;
  std::string text;
};

struct ConfigPullReply {
  // Version of the manifest described; zero when the answering node has no
  // newer one.
  uint64_t version = 0;
  // Version of the manifest that `changed` and `removed` are relative to; zero
  // when `changed` is the whole manifest.
  uint64_t base_version = 0;
  std::vector<ManifestEntry> changed;
  // Names of files that are no longer part of the configuration.
  std::vector<std::string> removed;
  // The objects requested, or those of `changed` in a delta. Objects are left
  // out once kMaxPullBytes of text are reached.
  std::vector<ConfigObject> objects;

  // Returns the reply as msgpack bytes.
  std::string Encode() const;
  // Decodes the output of Encode. Fails with kPeerMalformed.
  static Result<ConfigPullReply> Decode(std::string_view bytes);
};

// Returns the changes from `from` to `to` as a reply without objects.
ConfigPullReply DeltaBetween(const Manifest& from, const Manifest& to);

// Returns `base` with the changes of `delta` applied. Fails with kPeerMalformed
// when the delta is relative to another version.
Result<Manifest> ApplyDelta(const Manifest& base, const ConfigPullReply& delta);

}  // namespace qh

#endif  // QH_CONFIG_DISTRIBUTION_CONFIG_PULL_H_
