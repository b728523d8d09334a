#include "qh_config/config_loader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "qh_config/loading/config_parser.h"
#include "qh_config/loading/config_rules.h"
#include "qh_config/loading/document.h"
#include "qh_config/loading/schema_checker.h"

namespace qh {
namespace {

constexpr const char* kFileSuffix = ".json";
// Largest value that the platform's object API stores.
constexpr size_t kMaxFileBytes = 1 << 20;

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void Append(std::vector<ConfigMistake>& mistakes,
            const std::vector<ConfigMistake>& more) {
  mistakes.insert(mistakes.end(), more.begin(), more.end());
}

}  // namespace

Result<std::vector<ConfigFile>> ReadConfigFolder(const std::string& folder) {
  std::error_code error;
  std::vector<ConfigFile> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().extension() == kFileSuffix) {
      files.push_back({entry.path().filename(), ReadText(entry.path())});
    }
  }
  if (error) {
    return Error(ErrorKind::kConfigInvalid, folder + ": " + error.message());
  }
  std::sort(files.begin(), files.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return files;
}

LoadedConfig LoadConfig(const std::vector<ConfigFile>& files, ConfigMode mode) {
  LoadedConfig loaded;
  Document document;
  for (const ConfigFile& file : files) {
    if (file.text.size() > kMaxFileBytes) {
      loaded.mistakes.push_back(
          {file.name, "", "out of range: the file is larger than 1 MiB"});
    }
    document.Merge(file.name, file.text);
  }
  SchemaChecker checker(ConfigSchema(), document, mode);
  checker.Check();
  Append(loaded.mistakes, document.mistakes());
  Append(loaded.mistakes, checker.mistakes());
  Append(loaded.mistakes, CheckConfigRules(document));
  std::sort(loaded.mistakes.begin(), loaded.mistakes.end());
  loaded.ignored_keys = checker.ignored_keys();
  if (loaded.mistakes.empty()) {
    loaded.configuration = ParseConfiguration(document.root());
  }
  return loaded;
}

}  // namespace qh
