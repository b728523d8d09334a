#include "qh_gateway/decisions/node_table.h"

#include <algorithm>

namespace qh {
namespace {

// Heartbeat intervals without a heartbeat before a node is unresponsive.
constexpr int kMaxLostHeartbeats = 4;

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
  entry.listed_at = now;
}

void NodeTable::OnHeartbeat(const std::string& node,
                            const NodeState& state,
                            TimePoint now) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    found->second.state = state;
    found->second.last_heartbeat = now;
  }
}

bool NodeTable::IsResponsive(const Entry& entry, TimePoint now) const {
  const Duration limit = std::max<Duration>(
      kUnresponsiveAfter, kMaxLostHeartbeats * heartbeat_interval_);
  return entry.last_heartbeat && now - *entry.last_heartbeat < limit;
}

bool NodeTable::IsGone(const Entry& entry, TimePoint now) const {
  return now - entry.last_heartbeat.value_or(entry.listed_at) > kGoneAfter;
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
    if (IsResponsive(entry, now) && entry.state.config_version > version) {
      return entry.peers;
    }
  }
  return std::nullopt;
}

std::optional<Address> NodeTable::PeerWithServersAfter(
    const StoreVersion& version,
    TimePoint now) const {
  for (const auto& [node, entry] : nodes_) {
    if (IsResponsive(entry, now) && entry.state.servers_version > version) {
      return entry.peers;
    }
  }
  return std::nullopt;
}

size_t NodeTable::KnownCount(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [&](const auto& node) { return !IsGone(node.second, now); }));
}

size_t NodeTable::UnresponsiveCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        return !IsGone(node.second, now) && !IsResponsive(node.second, now);
      }));
}

bool NodeTable::IsKnown(const std::string& node, TimePoint now) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && !IsGone(found->second, now);
}

std::vector<Address> NodeTable::Usable(const std::optional<Address>& self,
                                       TimePoint now) const {
  const size_t unresponsive = UnresponsiveCount(now);
  const bool likely_partitioned =
      unresponsive > 0 && 2 * unresponsive >= KnownCount(now);
  std::vector<Address> usable;
  if (self) {
    usable.push_back(*self);
  }
  for (const auto& [node, entry] : nodes_) {
    const bool reachable =
        IsResponsive(entry, now) ||
        (likely_partitioned && entry.last_heartbeat && !IsGone(entry, now));
    if (reachable && entry.state.ready && !entry.state.draining) {
      usable.push_back(entry.state.callers);
    }
  }
  return usable;
}

}  // namespace qh
