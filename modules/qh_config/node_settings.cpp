#include "qh_config/node_settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "qh_config/loading/document.h"
#include "qh_config/loading/schema_checker.h"

namespace qh {
namespace {

using nlohmann::json;

Address ParseAddress(const json& value) {
  return {value.at("host"), value.at("port")};
}

NodeSettings ParseSettings(const json& root) {
  NodeSettings settings;
  settings.instance = InstanceId(root.at("instance"));
  settings.failure_domain = FailureDomainId(root.at("failure_domain"));
  settings.callers = ParseAddress(root.at("callers"));
  settings.admin = ParseAddress(root.at("admin"));
  settings.peers = ParseAddress(root.at("peers"));
  settings.platform = ParseAddress(root.at("platform"));
  settings.admin_token = root.at("admin_token");
  settings.peer_secret = root.at("peer_secret");
  settings.log_level = root.at("log_level");
  return settings;
}

Error InvalidSettings(std::vector<ConfigMistake> mistakes) {
  std::string text;
  for (const ConfigMistake& mistake : mistakes) {
    text += (text.empty() ? "" : "\n") + mistake.ToString();
  }
  return {ErrorKind::kConfigInvalid, text};
}

}  // namespace

Result<NodeSettings> NodeSettings::Load(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error(ErrorKind::kConfigInvalid, path + ": can't be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  Document document;
  document.Merge(path, text.str());
  SchemaChecker checker(NodeSettingsSchema(), document, ConfigMode::kStrict);
  checker.Check();
  std::vector<ConfigMistake> mistakes = document.mistakes();
  mistakes.insert(mistakes.end(), checker.mistakes().begin(),
                  checker.mistakes().end());
  if (!mistakes.empty()) {
    return InvalidSettings(std::move(mistakes));
  }
  return ParseSettings(document.root());
}

}  // namespace qh
