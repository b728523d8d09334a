#include "qh_gateway/decisions/server_snapshot.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr const char* kEpoch = "epoch";
constexpr const char* kRevision = "revision";
constexpr const char* kServers = "servers";

}  // namespace

void ServerSnapshot::OnList(const std::vector<StoredObject>& objects) {
  contents_.clear();
  for (const StoredObject& object : objects) {
    OnObject(object);
  }
}

void ServerSnapshot::OnObject(const StoredObject& object) {
  contents_[object.name] = object.content;
}

void ServerSnapshot::OnRemoved(const std::string& name) {
  contents_.erase(name);
}

void ServerSnapshot::OnConfirmed(const StoreVersion& version) {
  version_ = std::max(version_, version);
}

std::string ServerSnapshot::Encode() const {
  return Json{{kEpoch, version_.epoch},
              {kRevision, version_.revision},
              {kServers, contents_}}
      .dump();
}

Result<std::optional<DecodedSnapshot>> ServerSnapshot::ReadNewer(
    const std::string& encoded) const {
  const Json json = Json::parse(encoded, nullptr, false);
  if (!json.is_object() || !json.contains(kServers) ||
      !json[kServers].is_object() || !json.contains(kRevision) ||
      !json[kRevision].is_number_unsigned() || !json.contains(kEpoch) ||
      !json[kEpoch].is_number_unsigned()) {
    return Error(ErrorKind::kPeerMalformed,
                 "server snapshot lacks its epoch or revision number or an "
                 "object of servers");
  }
  DecodedSnapshot snapshot;
  snapshot.version = {.epoch = json[kEpoch].get<uint64_t>(),
                      .revision = json[kRevision].get<uint64_t>()};
  for (const auto& [name, content] : json[kServers].items()) {
    if (!content.is_string()) {
      return Error(ErrorKind::kPeerMalformed,
                   "server snapshot: entry \"" + name + "\" is not a string");
    }
    snapshot.objects.push_back(
        {.name = name, .content = content.get<std::string>()});
  }
  return snapshot.version > version_ ? std::optional(std::move(snapshot))
                                     : std::nullopt;
}

}  // namespace qh
