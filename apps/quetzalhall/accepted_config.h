// Reads the accepted configuration from the platform's object store.

#ifndef APPS_QUETZALHALL_ACCEPTED_CONFIG_H_
#define APPS_QUETZALHALL_ACCEPTED_CONFIG_H_

#include <vector>

#include "qh_config/manifest.h"
#include "qh_core/errors/result.h"
#include "qh_platform/store/object_store.h"

namespace qh::cli {

struct AcceptedConfig {
  // Version zero when nothing has been accepted yet.
  Manifest manifest;
  std::vector<ConfigFile> files;
};

// Reads the manifest alone. Fails with kStoreUnavailable or kConfigInvalid.
Result<Manifest> ReadManifest(const StoreHook& store);

// Reads the manifest and every file. Fails with kStoreUnavailable or
// kConfigInvalid.
Result<AcceptedConfig> ReadAcceptedConfig(const StoreHook& store);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_ACCEPTED_CONFIG_H_
