// Loads a configuration folder: JSON files, comments allowed, that are merged
// in the order of their names and then checked as one document.

#ifndef QH_CONFIG_CONFIG_LOADER_H_
#define QH_CONFIG_CONFIG_LOADER_H_

#include <string>
#include <vector>

#include "qh_config/config_mistake.h"
#include "qh_config/configuration.h"
#include "qh_core/errors/result.h"

namespace qh {

// How the loader treats keys and choices that are not in its schema.
enum class ConfigMode {
  // For operators' tools: an unknown key or choice is a mistake.
  kStrict,
  // For nodes, which may be older than the files: an unknown key is ignored,
  // and an unknown choice of an optional key is replaced by the default.
  kTolerant,
};

// Name and text of one configuration file.
struct ConfigFile {
  // Name without folders. Files are merged in the order of their names.
  std::string name;
  std::string text;
};

// The result of LoadConfig. `configuration` is set only if `mistakes` is empty.
struct LoadedConfig {
  Configuration configuration;
  // Sorted by file and key.
  std::vector<ConfigMistake> mistakes;
  // Paths of the keys that were ignored or got their default because of
  // tolerant mode. The files are not changed.
  std::vector<std::string> ignored_keys;
};

// Reads every *.json file of `folder`, sorted by name. Fails with
// kConfigInvalid when the folder can't be read.
Result<std::vector<ConfigFile>> ReadConfigFolder(const std::string& folder);

// Merges `files` in the given order and checks the result. Reports all mistakes
// that it can find, not just the first.
LoadedConfig LoadConfig(const std::vector<ConfigFile>& files,
                        ConfigMode mode = ConfigMode::kStrict);

}  // namespace qh

#endif  // QH_CONFIG_CONFIG_LOADER_H_
