#include "qh_config/manifest.h"

#include <nlohmann/json.hpp>

#include "qh_core/hash/hash.h"

namespace qh {

using nlohmann::json;

std::string Manifest::Encode() const {
  json files = json::array();
  for (const ManifestEntry& entry : entries) {
    files.push_back({{"name", entry.name}, {"object", entry.object_key}});
  }
  return json{{"version", version}, {"author", author}, {"files", files}}
      .dump();
}

Result<Manifest> Manifest::Decode(const std::string& text) {
  try {
    const json root = json::parse(text);
    Manifest manifest;
    manifest.version = root.at("version");
    manifest.author = root.value("author", "");
    for (const json& file : root.at("files")) {
      manifest.entries.push_back({file.at("name"), file.at("object")});
    }
    return manifest;
  } catch (const json::exception& error) {
    return Error(ErrorKind::kConfigInvalid,
                 std::string("manifest: ") + error.what());
  }
}

std::string ObjectKeyOf(const std::string& text) {
  return "config/files/" + HashHex128(text);
}

Manifest MakeManifest(uint64_t version,
                      const std::vector<ConfigFile>& files,
                      const std::string& author) {
  Manifest manifest;
  manifest.version = version;
  manifest.author = author;
  for (const ConfigFile& file : files) {
    manifest.entries.push_back({file.name, ObjectKeyOf(file.text)});
  }
  return manifest;
}

}  // namespace qh
