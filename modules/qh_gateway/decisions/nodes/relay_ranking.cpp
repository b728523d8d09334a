#include "qh_gateway/decisions/nodes/relay_ranking.h"

#include <algorithm>
#include <tuple>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Whether `at` is less than kSilentAfter ago.
bool IsRecent(const std::optional<TimePoint>& at, TimePoint now) {
  return at && now - *at < RelayRanking::kSilentAfter;
}

}  // namespace

RelayRanking::RelayRanking(std::string self,
                           FailureDomainId domain,
                           double capacity)
    : self_(std::move(self)), domain_(std::move(domain)) {
  nodes_[self_] = {.domain = domain_, .capacity = capacity};
}

void RelayRanking::OnListed(const std::string& node,
                            const FailureDomainId& domain,
                            double capacity,
                            TimePoint now) {
  if (node == self_) {
    return;
  }
  const auto [entry, added] = nodes_.try_emplace(node, Node{.alive_at = now});
  entry->second.domain = domain;
  entry->second.capacity = capacity;
}

void RelayRanking::OnAlive(const std::string& node, TimePoint at) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) {
    found->second.alive_at = std::max(found->second.alive_at, at);
  }
}

void RelayRanking::OnRelayHeard(const std::string& node,
                                bool follows_store,
                                bool leader,
                                TimePoint now) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) {
    return;
  }
  found->second.alive_at = now;
  found->second.relay_at = now;
  found->second.following_at =
      follows_store ? std::optional(now) : std::nullopt;
  found->second.leader_at = leader ? std::optional(now) : std::nullopt;
}

bool RelayRanking::IsHeard(const std::string& name,
                           const Node& node,
                           TimePoint now) const {
  return name == self_ || IsRecent(node.relay_at, now);
}

bool RelayRanking::IsFollowing(const std::string& name,
                               const Node& node,
                               TimePoint now) const {
  return name == self_ ? follows_store_ : IsRecent(node.following_at, now);
}

bool RelayRanking::IsLeader(const std::string& name,
                            const Node& node,
                            TimePoint now) const {
  return name == self_ ? leads_ : IsRecent(node.leader_at, now);
}

bool RelayRanking::IsLost(const std::string& name,
                          const Node& node,
                          TimePoint now) const {
  return name != self_ && now - node.alive_at > kLostAfter;
}

std::vector<std::string> RelayRanking::Ranked(const FailureDomainId& domain,
                                              TimePoint now) const {
  // Sorts leaders first, then by capacity, then in an order that differs
  // between failure domains.
  using Rank = std::tuple<bool, double, uint64_t, std::string>;
  const uint64_t key = Hash64(domain.value());
  std::vector<Rank> ranks;
  for (const auto& [name, node] : nodes_) {
    if (node.domain == domain && !IsLost(name, node, now)) {
      ranks.emplace_back(IsLeader(name, node, now), node.capacity,
                         RendezvousWeight(key, name), name);
    }
  }
  std::sort(ranks.rbegin(), ranks.rend());
  std::vector<std::string> names;
  for (const Rank& rank : ranks) {
    names.push_back(std::get<std::string>(rank));
  }
  return names;
}

std::vector<std::string> RelayRanking::Relays(const FailureDomainId& domain,
                                              TimePoint now) const {
  std::vector<std::string> relays;
  size_t heard = 0;
  bool followed = false;
  for (const std::string& name : Ranked(domain, now)) {
    if ((heard >= kRelays && followed) || relays.size() == kMaxRelays) {
      break;
    }
    relays.push_back(name);
    const Node& node = nodes_.at(name);
    heard += IsHeard(name, node, now) ? 1 : 0;
    followed = followed || IsFollowing(name, node, now);
  }
  return relays;
}

bool RelayRanking::IsRelay(TimePoint now) const {
  const auto relays = Relays(domain_, now);
  return leads_ ||
         std::find(relays.begin(), relays.end(), self_) != relays.end();
}

std::optional<Duration> RelayRanking::FollowDelay(TimePoint now) const {
  if (leads_) {
    return Duration::zero();
  }
  Duration delay = Duration::zero();
  for (const std::string& name : Relays(domain_, now)) {
    if (name == self_) {
      return delay;
    }
    if (IsFollowing(name, nodes_.at(name), now)) {
      return std::nullopt;
    }
    delay += kTakeoverStep;
  }
  return std::nullopt;
}

std::vector<std::string> RelayRanking::HeardRelays(TimePoint now) const {
  std::vector<std::string> relays;
  for (const auto& [name, node] : nodes_) {
    if (node.domain == domain_ && IsRecent(node.relay_at, now)) {
      relays.push_back(name);
    }
  }
  return relays;
}

std::vector<std::string> RelayRanking::DomainPeers(TimePoint now) const {
  std::vector<std::string> peers = Ranked(domain_, now);
  std::erase(peers, self_);
  return peers;
}

std::vector<FailureDomainId> RelayRanking::OtherDomains() const {
  std::set<FailureDomainId> domains;
  for (const auto& [name, node] : nodes_) {
    domains.insert(node.domain);
  }
  domains.erase(domain_);
  return {domains.begin(), domains.end()};
}

}  // namespace qh
