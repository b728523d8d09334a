#include "qh_config/loading/config_rules.h"

#include <functional>

namespace qh {
namespace {

using nlohmann::json;

// Reports each repeated occurrence of a value that must be unique.
class UniquenessChecker {
 public:
  UniquenessChecker(const Document& document,
                    const char* value_kind,
                    std::vector<ConfigMistake>& mistakes)
      : document_(document), value_kind_(value_kind), mistakes_(mistakes) {}

  void Add(const std::string& value, const KeyPath& path) {
    const auto [found, added] = first_paths_.emplace(value, path);
    if (!added) {
      mistakes_.push_back({document_.FileOf(path), ToText(path),
                           std::string("duplicate: ") + value_kind_ + " \"" +
                               value + "\" is also at " +
                               ToText(found->second)});
    }
  }

 private:
  const Document& document_;
  const char* value_kind_;
  std::vector<ConfigMistake>& mistakes_;
  // Path of the first occurrence of each value.
  std::map<std::string, KeyPath> first_paths_;
};

using Visitor = std::function<void(const json& value, const KeyPath& path)>;

// Calls `visit` with each value, and its path, of the object `name` in
// `parent`. Does nothing if there is no such object.
void ForEach(const json& parent,
             const char* name,
             const KeyPath& parent_path,
             const Visitor& visit) {
  if (!parent.is_object() || !parent.contains(name) ||
      !parent[name].is_object()) {
    return;
  }
  for (const auto& [id, value] : parent[name].items()) {
    KeyPath path = parent_path;
    path.insert(path.end(), {name, id});
    visit(value, path);
  }
}

void CheckServers(const Document& document,
                  std::vector<ConfigMistake>& mistakes) {
  UniquenessChecker ids(document, "server id", mistakes);
  UniquenessChecker addresses(document, "address", mistakes);
  const auto check_server = [&](const json& value, const KeyPath& path) {
    ids.Add(path.back(), path);
    if (value.is_object() && value.contains("host") && value.contains("port") &&
        value["host"].is_string()) {
      addresses.Add(
          value["host"].get<std::string>() + ":" + value["port"].dump(), path);
    }
  };
  const auto check_section = [&](const json& value, const KeyPath& path) {
    ForEach(value, "servers", path, check_server);
  };
  ForEach(document.root(), "model_pools", {}, check_section);
  ForEach(document.root(), "routes", {}, check_section);
}

void CheckModels(const Document& document,
                 std::vector<ConfigMistake>& mistakes) {
  UniquenessChecker models(document, "model", mistakes);
  const auto check_pool = [&](const json& value, const KeyPath& path) {
    ForEach(value, "models", path,
            [&](const json& /*model*/, const KeyPath& model_path) {
              models.Add(model_path.back(), model_path);
            });
  };
  ForEach(document.root(), "model_pools", {}, check_pool);
}

void CheckTeamKeys(const Document& document,
                   std::vector<ConfigMistake>& mistakes) {
  UniquenessChecker keys(document, "key", mistakes);
  const auto check_team = [&](const json& value, const KeyPath& path) {
    if (!value.is_object() || !value.contains("key_sha256") ||
        !value["key_sha256"].is_array()) {
      return;
    }
    KeyPath key_path = path;
    key_path.emplace_back("key_sha256");
    for (const json& hash : value["key_sha256"]) {
      keys.Add(hash.dump(), key_path);
    }
  };
  ForEach(document.root(), "teams", {}, check_team);
}

}  // namespace

std::vector<ConfigMistake> CheckConfigRules(const Document& document) {
  std::vector<ConfigMistake> mistakes;
  CheckServers(document, mistakes);
  CheckModels(document, mistakes);
  CheckTeamKeys(document, mistakes);
  return mistakes;
}

}  // namespace qh
