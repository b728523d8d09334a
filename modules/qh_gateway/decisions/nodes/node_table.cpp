#include "qh_gateway/decisions/nodes/node_table.h"

#include <algorithm>
#include <tuple>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Heartbeat intervals without a heartbeat before a node is unresponsive.
constexpr int kMaxLostHeartbeats = 4;

// A node that callers may be given.
struct UsableNode {
  bool in_domain = false;
  // Ranks the nodes of other failure domains for the callers' one.
  uint64_t weight = 0;
  Address callers;
};

}  // namespace

NodeTable::NodeTable(std::string self, FailureDomainId domain)
    : self_(std::move(self)), domain_(std::move(domain)) {}

void NodeTable::OnListed(const std::string& node,
                         const Address& peers,
                         const FailureDomainId& domain,
                         TimePoint now) {
  if (node == self_) {
    return;
  }
  Entry& entry = nodes_[node];
  if (entry.peers != peers) {
    entry = {.peers = peers};
  }
  entry.domain = domain;
  entry.listed_at = now;
}

void NodeTable::OnHeartbeat(const std::string& node,
                            const NodeState& state,
                            TimePoint now) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    Update(found->second, state, now);
    found->second.heard_itself = now;
  }
}

void NodeTable::Update(Entry& entry, const NodeState& state, TimePoint now) {
  entry.state = state;
  entry.last_heartbeat = now;
}

Duration NodeTable::ResponsiveTime() const {
  return std::max<Duration>(kUnresponsiveAfter,
                            kMaxLostHeartbeats * heartbeat_interval_);
}

bool NodeTable::IsResponsive(const Entry& entry, TimePoint now) const {
  return entry.last_heartbeat && now - *entry.last_heartbeat < ResponsiveTime();
}

size_t NodeTable::FollowersBeforeSelf(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        const Entry& entry = node.second;
        return node.first < self_ && entry.state.follows_store &&
               entry.heard_itself &&
               now - *entry.heard_itself < ResponsiveTime();
      }));
}

bool NodeTable::IsGone(const Entry& entry, TimePoint now) const {
  return now - entry.last_heartbeat.value_or(entry.listed_at) > kGoneAfter;
}

void NodeTable::OnMember(const std::string& node,
                         NodeState state,
                         TimePoint now) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) {
    return;
  }
  const NodeState& known = found->second.state;
  state.follows_store = known.follows_store;
  state.servers = known.servers;
  state.nodes_changed = known.nodes_changed;
  Update(found->second, state, now);
}

std::vector<std::string> NodeTable::Names() const {
  std::vector<std::string> names;
  for (const auto& [node, entry] : nodes_) {
    names.push_back(node);
  }
  return names;
}

std::vector<std::string> NodeTable::KnownNames(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [node, entry] : nodes_) {
    if (!IsGone(entry, now)) {
      names.push_back(node);
    }
  }
  return names;
}

std::optional<Address> NodeTable::AddressOf(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? std::nullopt
                               : std::optional(found->second.peers);
}

const NodeState* NodeTable::Find(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second.state;
}

std::vector<Address> NodeTable::ResponsivePeers(
    const std::function<bool(const NodeState&)>& matches,
    TimePoint now) const {
  std::vector<Address> peers;
  for (const auto& [node, entry] : nodes_) {
    if (IsResponsive(entry, now) && matches(entry.state)) {
      peers.push_back(entry.peers);
    }
  }
  return peers;
}

std::vector<Address> NodeTable::PeersElsewhere(TimePoint now) const {
  std::vector<Address> elsewhere;
  std::vector<Address> all;
  for (const auto& [node, entry] : nodes_) {
    if (IsGone(entry, now)) {
      continue;
    }
    all.push_back(entry.peers);
    if (entry.domain != domain_) {
      elsewhere.push_back(entry.peers);
    }
  }
  return elsewhere.empty() ? all : elsewhere;
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

// A partition silences many peers within the time between their heartbeats. A
// peer that fell silent before says nothing about it.
std::optional<TimePoint> NodeTable::PartitionedSince(
    std::optional<TimePoint> store_answered,
    TimePoint now) const {
  std::vector<TimePoint> silent;
  size_t connected = 1;
  for (const auto& [node, entry] : nodes_) {
    if (IsResponsive(entry, now)) {
      ++connected;
    } else if (entry.last_heartbeat && !IsGone(entry, now)) {
      silent.push_back(*entry.last_heartbeat);
    }
  }
  if (silent.empty()) {
    return std::nullopt;
  }
  const TimePoint last = *std::max_element(silent.begin(), silent.end());
  const TimePoint since = last - ResponsiveTime();
  const auto silent_together = static_cast<size_t>(std::count_if(
      silent.begin(), silent.end(), [&](TimePoint at) { return at >= since; }));
  const bool reaches_store =
      store_answered && *store_answered > last + kUnresponsiveAfter;
  return silent_together > connected && !reaches_store ? std::optional(since)
                                                       : std::nullopt;
}

std::vector<Address> NodeTable::Usable(const std::optional<Address>& self,
                                       const FailureDomainId& domain,
                                       std::optional<TimePoint> store_answered,
                                       TimePoint now) const {
  const auto partitioned_since = PartitionedSince(store_answered, now);
  std::vector<UsableNode> usable;
  const uint64_t key = Hash64(domain.value());
  const auto add = [&](const std::string& name, const FailureDomainId& place,
                       const Address& callers) {
    usable.push_back({place == domain, RendezvousWeight(key, name), callers});
  };
  if (self) {
    add(self_, domain_, *self);
  }
  for (const auto& [node, entry] : nodes_) {
    const bool reachable = IsResponsive(entry, now) ||
                           (partitioned_since && entry.last_heartbeat &&
                            *entry.last_heartbeat >= *partitioned_since);
    if (reachable && entry.state.ready && !entry.state.draining) {
      add(node, entry.domain, entry.state.callers);
    }
  }
  if (usable.size() > kMaxUsable) {
    std::sort(usable.begin(), usable.end(),
              [](const UsableNode& a, const UsableNode& b) {
                return std::tie(a.in_domain, a.weight) >
                       std::tie(b.in_domain, b.weight);
              });
    usable.resize(kMaxUsable);
  }
  std::vector<Address> addresses;
  for (const UsableNode& node : usable) {
    addresses.push_back(node.callers);
  }
  return addresses;
}

}  // namespace qh
