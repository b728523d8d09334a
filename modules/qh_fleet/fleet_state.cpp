#include "qh_fleet/fleet_state.h"

#include <nlohmann/json.hpp>

namespace qh {
namespace {

using nlohmann::json;

json ToJson(const ServerTargets& targets) {
  json rows = json::object();
  for (const auto& [server, state] : targets) {
    rows[server.value()] = {{"model", state.model},
                            {"adapter", state.adapter},
                            {"version", state.version},
                            {"role", state.role}};
  }
  return rows;
}

// Throws json::exception on a missing field or a wrong type.
ServerTargets TargetsFrom(const json& rows) {
  ServerTargets targets;
  for (const auto& [server, row] : rows.get_ref<const json::object_t&>()) {
    targets[ServerId(server)] = {.model = row.at("model"),
                                 .adapter = row.at("adapter"),
                                 .version = row.at("version"),
                                 .role = row.at("role")};
  }
  return targets;
}

std::string Dump(const json& root) {
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string DesiredState::Encode() const {
  return Dump({{"generation", generation}, {"servers", ToJson(targets)}});
}

Result<DesiredState> DesiredState::Decode(const std::string& body) {
  const json root = json::parse(body, nullptr, false);
  DesiredState desired;
  try {
    desired.generation = root.at("generation").get<uint64_t>();
    desired.targets = TargetsFrom(root.at("servers"));
  } catch (const json::exception& error) {
    return Error(ErrorKind::kConfigInvalid, error.what());
  }
  return desired;
}

std::string UpgradeIntent::Encode() const {
  return Dump({{"generation", generation},
               {"fencing", fencing},
               {"completed", completed},
               {"servers", ToJson(targets)}});
}

Result<UpgradeIntent> UpgradeIntent::Decode(const std::string& body) {
  const json root = json::parse(body, nullptr, false);
  UpgradeIntent intent;
  try {
    intent.generation = root.at("generation").get<uint64_t>();
    intent.fencing = root.at("fencing").get<uint64_t>();
    intent.completed = root.at("completed").get<bool>();
    intent.targets = TargetsFrom(root.at("servers"));
  } catch (const json::exception& error) {
    return Error(ErrorKind::kPeerMalformed, error.what());
  }
  return intent;
}

std::string DesiredKey(const std::string& shard) {
  return "fleet/desired/" + shard;
}

std::string IntentKey(const std::string& shard) {
  return "fleet/intents/" + shard;
}

}  // namespace qh
