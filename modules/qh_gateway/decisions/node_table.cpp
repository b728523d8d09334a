#include "qh_gateway/decisions/node_table.h"

#include <algorithm>

namespace qh {
namespace {

// Messages that may be lost before a node counts as silent.
constexpr int kLostMessages = 4;

}  // namespace

NodeTable::NodeTable(std::string self) : self_(std::move(self)) {}

void NodeTable::OnListed(const std::string& node,
                         const Address& peers,
                         TimePoint now) {
  if (node == self_) {
    return;
  }
  Entry& entry = nodes_[node];
  if (entry.peers != peers) {
    entry = {.peers = peers};
  }
  entry.listed = now;
}

void NodeTable::OnHeard(const std::string& node,
                        const NodeState& state,
                        TimePoint now) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    found->second.state = state;
    found->second.heard = now;
  }
}

bool NodeTable::IsHeard(const Entry& entry, TimePoint now) const {
  const Duration limit =
      std::max<Duration>(kSilentAfter, kLostMessages * interval_);
  return entry.heard && now - *entry.heard < limit;
}

bool NodeTable::IsGone(const Entry& entry, TimePoint now) const {
  return now - entry.heard.value_or(entry.listed) > kGoneAfter;
}

std::vector<Address> NodeTable::Peers() const {
  std::vector<Address> peers;
  for (const auto& [node, entry] : nodes_) {
    peers.push_back(entry.peers);
  }
  return peers;
}

std::optional<Address> NodeTable::PeerWithConfigAfter(uint64_t version,
                                                      TimePoint now) const {
  for (const auto& [node, entry] : nodes_) {
    if (IsHeard(entry, now) && entry.state.config_version > version) {
      return entry.peers;
    }
  }
  return std::nullopt;
}

std::optional<Address> NodeTable::PeerWithServersAfter(uint64_t revision,
                                                       TimePoint now) const {
  for (const auto& [node, entry] : nodes_) {
    if (IsHeard(entry, now) && entry.state.servers_revision > revision) {
      return entry.peers;
    }
  }
  return std::nullopt;
}

size_t NodeTable::Known(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [&](const auto& node) { return !IsGone(node.second, now); }));
}

size_t NodeTable::Silent(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        return !IsGone(node.second, now) && !IsHeard(node.second, now);
      }));
}

bool NodeTable::IsKnown(const std::string& node, TimePoint now) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && !IsGone(found->second, now);
}

std::vector<Address> NodeTable::Usable(const std::optional<Address>& self,
                                       TimePoint now) const {
  const size_t silent = Silent(now);
  const bool likely_cut_off = silent > 0 && 2 * silent >= Known(now);
  std::vector<Address> usable;
  if (self) {
    usable.push_back(*self);
  }
  for (const auto& [node, entry] : nodes_) {
    const bool counts = IsHeard(entry, now) ||
                        (likely_cut_off && entry.heard && !IsGone(entry, now));
    if (counts && entry.state.ready && !entry.state.draining) {
      usable.push_back(entry.state.callers);
    }
  }
  return usable;
}

}  // namespace qh
