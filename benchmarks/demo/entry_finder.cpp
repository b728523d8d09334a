#include "benchmarks/demo/entry_finder.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace qh::demo {
namespace {

using nlohmann::json;

constexpr auto kTimeout = std::chrono::seconds(2);

}  // namespace

EntryFinder::EntryFinder(const DemoPlan& plan, uint64_t seed)
    : plan_(plan), rng_(seed) {}

std::string EntryFinder::KeyOf(const WorkItem& item) {
  return item.team.team.value() + "/" + item.conversation;
}

Address EntryFinder::Find(const WorkItem& item, uint32_t attempt) {
  Known& known = known_[KeyOf(item)];
  if (known.entries.empty() || known.expires <= MonotonicNow()) {
    known = Ask(item);
  }
  if (known.entries.empty()) {
    return plan_.nodes[rng_.Below(plan_.nodes.size())].callers;
  }
  return known.entries[attempt % known.entries.size()];
}

void EntryFinder::Forget(const WorkItem& item) {
  known_.erase(KeyOf(item));
}

EntryFinder::Known EntryFinder::Ask(const WorkItem& item) {
  const Address& node = plan_.nodes[rng_.Below(plan_.nodes.size())].callers;
  httplib::Client client(node.host, node.port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto reply = client.Get("/v1/entry?team=" + item.team.team.value() +
                                "&conversation=" + item.conversation);
  Known known;
  if (!reply || reply->status != 200) {
    return known;
  }
  const json root = json::parse(reply->body, nullptr, false);
  if (!root.is_object() || !root.contains("entries")) {
    return known;
  }
  for (const json& entry : root["entries"]) {
    known.entries.push_back({entry.at("host"), entry.at("port")});
  }
  known.expires = MonotonicNow() + FromSeconds(root.value("ttl_s", 1.0));
  return known;
}

}  // namespace qh::demo
