// The accepted configuration as stored in the platform's object store: one
// object per file, whose key is a hash of its text, and a manifest that lists
// these objects. A configuration is accepted by a conditional write of the
// manifest.

#ifndef QH_CONFIG_MANIFEST_H_
#define QH_CONFIG_MANIFEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "qh_config/config_loader.h"
#include "qh_core/errors/result.h"

namespace qh {

// Key of the manifest in the object store.
inline constexpr const char* kManifestKey = "config/manifest";

// One file of an accepted configuration.
struct ManifestEntry {
  // File name. Files are merged in the order of their names.
  std::string name;
  // Key of the object that holds the text; see ObjectKeyOf.
  std::string object_key;
};

struct Manifest {
  // Increases by one with each accepted configuration.
  uint64_t version = 0;
  // Who applied the configuration; empty when not given.
  std::string author;
  // Sorted by name.
  std::vector<ManifestEntry> entries;

  // Returns the manifest's JSON text.
  std::string Encode() const;

  // Parses the text that Encode returns; ignores unknown keys, so that a newer
  // version may add some. Fails with kConfigInvalid.
  static Result<Manifest> Decode(const std::string& text);
};

// Returns the key of the object that holds `text`: a prefix and a hash of
// `text`, so that equal texts share an object.
std::string ObjectKeyOf(const std::string& text);

// Returns the manifest of `files` as version `version`, applied by `author`.
Manifest MakeManifest(uint64_t version,
                      const std::vector<ConfigFile>& files,
                      const std::string& author = "");

}  // namespace qh

#endif  // QH_CONFIG_MANIFEST_H_
