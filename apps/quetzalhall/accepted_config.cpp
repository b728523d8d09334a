#include "apps/quetzalhall/accepted_config.h"

namespace qh::cli {

Result<Manifest> ReadManifest(const StoreHook& store) {
  const StoreReply reply = store({.op = StoreOp::kGet, .key = kManifestKey});
  if (reply.status == StoreStatus::kNotFound) {
    return Manifest();
  }
  if (reply.status != StoreStatus::kOk) {
    return Error(ErrorKind::kStoreUnavailable,
                 "manifest: " + std::string(ToName(reply.status)));
  }
  return Manifest::Decode(reply.object.body);
}

Result<AcceptedConfig> ReadAcceptedConfig(const StoreHook& store) {
  AcceptedConfig config;
  BOOST_OUTCOME_TRY(manifest, ReadManifest(store));
  config.manifest = std::move(manifest);
  for (const ManifestEntry& entry : config.manifest.entries) {
    const StoreReply reply =
        store({.op = StoreOp::kGet, .key = entry.object_key});
    if (reply.status != StoreStatus::kOk) {
      return Error(ErrorKind::kStoreUnavailable,
                   entry.name + ": " + std::string(ToName(reply.status)));
    }
    config.files.push_back({entry.name, reply.object.body});
  }
  return config;
}

}  // namespace qh::cli
