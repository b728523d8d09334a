#include "qh_gateway/decisions/server_snapshot.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

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

void ServerSnapshot::OnConfirmed(uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

std::string ServerSnapshot::Encode() const {
  return Json{{kRevision, revision_}, {kServers, contents_}}.dump();
}

Result<std::optional<ObjectPage>> ServerSnapshot::ReadNewer(
    const std::string& encoded) const {
  const Json json = Json::parse(encoded, nullptr, false);
  if (!json.is_object() || !json.contains(kServers) ||
      !json[kServers].is_object() || !json.contains(kRevision) ||
      !json[kRevision].is_number_unsigned()) {
    return Error(
        ErrorKind::kPeerMalformed,
        "server snapshot lacks a revision number or an object of servers");
  }
  ObjectPage page{.revision = json[kRevision].get<uint64_t>()};
  for (const auto& [name, content] : json[kServers].items()) {
    if (!content.is_string()) {
      return Error(ErrorKind::kPeerMalformed,
                   "server snapshot: entry \"" + name + "\" is not a string");
    }
    page.objects.push_back(
        {.name = name, .content = content.get<std::string>()});
  }
  return page.revision > revision_ ? std::optional(std::move(page))
                                   : std::nullopt;
}

}  // namespace qh
