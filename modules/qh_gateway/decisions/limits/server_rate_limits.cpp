#include "qh_gateway/decisions/limits/server_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Waits beyond this say no more to a caller.
constexpr Duration kMaxWait = std::chrono::seconds(60);
// Returns a share between 0 and 1 that differs between nodes and servers, so
// that the senders' first permits don't come at the same time.
double PhaseOf(const std::string& node, const ServerId& server) {
  constexpr uint64_t kSteps = 1'000;
  const uint64_t step = RendezvousWeight(Hash64(server.value()), node) % kSteps;
  return static_cast<double>(step) / kSteps;
}

// Whether (`version`, `rate`) holds against (`known_version`, `known`).
bool Supersedes(uint64_t version,
                std::optional<double> rate,
                uint64_t known_version,
                std::optional<double> known) {
  constexpr double kNoLimit = std::numeric_limits<double>::infinity();
  return version > known_version ||
         (version == known_version &&
          rate.value_or(kNoLimit) < known.value_or(kNoLimit));
}

}  // namespace

void ServerRateLimits::SetNodes(const std::string& self,
                                std::vector<std::string> peers) {
  if (nodes_known_ && self == self_ && peers == peers_) {
    return;
  }
  nodes_known_ = true;
  self_ = self;
  peers_ = std::move(peers);
  ++nodes_version_;
}

void ServerRateLimits::SetNodesUnknown() {
  nodes_known_ = false;
  ++nodes_version_;
}

double ServerRateLimits::EffectiveRate(const Entry& entry) {
  return std::max(entry.rate.value_or(0), kMinRate);
}

double ServerRateLimits::Burst(const Entry& entry) {
  const double rate = entry.rate.value_or(0);
  return kMinBurst + std::min(rate, 1.0) + rate * ToSeconds(kBurstTime);
}

size_t ServerRateLimits::Senders(const Entry& entry, TimePoint now) const {
  const size_t nodes = peers_.size() + 1;
  if (now - entry.confirmed > kUnconfirmedAfter) {
    return nodes;
  }
  return static_cast<size_t>(
      std::min(std::floor(Burst(entry)), static_cast<double>(nodes)));
}

double ServerRateLimits::Capacity(const Entry& entry, TimePoint now) const {
  return std::max(1.0, Burst(entry) / static_cast<double>(Senders(entry, now)));
}

void ServerRateLimits::UpdateRank(const ServerId& server, Entry& entry) {
  if (std::exchange(entry.nodes_version, nodes_version_) == nodes_version_) {
    return;
  }
  const uint64_t key = Hash64(server.value());
  const uint64_t own = RendezvousWeight(key, self_);
  entry.rank = static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        const uint64_t weight = RendezvousWeight(key, peer);
        return std::tie(weight, peer) > std::tie(own, self_);
      }));
}

double ServerRateLimits::Share(const ServerId& server,
                               Entry& entry,
                               TimePoint now) {
  UpdateRank(server, entry);
  const size_t senders = Senders(entry, now);
  return nodes_known_ && entry.rank < senders
             ? EffectiveRate(entry) / static_cast<double>(senders)
             : 0;
}

void ServerRateLimits::Fill(const ServerId& server,
                            Entry& entry,
                            TimePoint now) {
  const double share = Share(server, entry, now);
  const bool sender = share > 0;
  if (std::exchange(entry.sender, sender) != sender) {
    // The senders before this one may just have used their permits.
    entry.level = PhaseOf(self_, server);
    entry.filled = now;
  }
  entry.level = std::min(
      Capacity(entry, now),
      entry.level + share * ToSeconds(now - std::exchange(entry.filled, now)));
}

void ServerRateLimits::Change(Entry& entry,
                              uint64_t version,
                              std::optional<double> rate,
                              TimePoint confirmed) {
  if (!entry.rate) {
    entry.sender = false;
  }
  entry.version = version;
  entry.rate = rate;
  entry.confirmed = confirmed;
  entry.reports_left = kReportsOfChange;
  has_news_ = true;
}

bool ServerRateLimits::OnAnswer(const ServerProcess& process,
                                std::optional<double> rate,
                                TimePoint now) {
  const auto known = servers_.find(process.id);
  if (known == servers_.end() && !rate) {
    return false;
  }
  Entry& entry = known == servers_.end()
                     ? servers_.try_emplace(process.id).first->second
                     : known->second;
  if (process.started_ms < entry.started_ms) {
    return false;
  }
  if (process.started_ms > entry.started_ms) {
    entry = {.started_ms = process.started_ms};
  }
  // The first answer of a new process is told also if it names no limit, so
  // that the limit of the process before ends at the peers.
  if (entry.version > 0 && entry.rate == rate) {
    entry.confirmed = now;
    return false;
  }
  if (entry.rate) {
    Fill(process.id, entry, now);
  }
  Change(entry, entry.version + 1, rate, now);
  return true;
}

void ServerRateLimits::OnStarted(const ServerProcess& process, TimePoint now) {
  const auto known = servers_.find(process.id);
  if (known != servers_.end() &&
      process.started_ms > known->second.started_ms) {
    OnAnswer(process, std::nullopt, now);
  }
}

std::vector<ServerRateLimit> ServerRateLimits::OnPeer(
    const std::vector<ServerRateLimit>& reported,
    TimePoint now) {
  std::vector<ServerRateLimit> changed;
  for (const ServerRateLimit& limit : reported) {
    const TimePoint confirmed = now - limit.heard_ago;
    if (limit.heard_ago > kLifetime) {
      continue;
    }
    Entry& entry =
        servers_
            .try_emplace(limit.process.id,
                         Entry{.started_ms = limit.process.started_ms})
            .first->second;
    if (limit.process.started_ms < entry.started_ms) {
      continue;
    }
    if (limit.process.started_ms > entry.started_ms) {
      entry = {.started_ms = limit.process.started_ms};
    }
    if (Supersedes(limit.version, limit.rate, entry.version, entry.rate)) {
      if (entry.rate) {
        Fill(limit.process.id, entry, now);
      }
      Change(entry, limit.version, limit.rate, confirmed);
      changed.push_back(limit);
    } else if (limit.version == entry.version && limit.rate == entry.rate) {
      entry.confirmed = std::max(entry.confirmed, confirmed);
    }
  }
  return changed;
}

void ServerRateLimits::OnTick(TimePoint now) {
  std::erase_if(servers_, [&](const auto& item) {
    return now - item.second.confirmed > kLifetime;
  });
}

bool ServerRateLimits::IsLimited(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && found->second.rate;
}

std::optional<Duration> ServerRateLimits::TimeToPermit(const ServerId& server,
                                                       TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.rate) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  Fill(server, entry, now);
  if (entry.sender && entry.level >= 1) {
    return std::nullopt;
  }
  ++entry.passed_over;
  const double seconds = entry.sender
                             ? (1 - entry.level) / Share(server, entry, now)
                             : 1 / EffectiveRate(entry);
  return std::min<Duration>(FromSeconds(seconds), kMaxWait);
}

bool ServerRateLimits::TakePermit(const ServerId& server, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.rate) {
    return true;
  }
  Entry& entry = found->second;
  Fill(server, entry, now);
  if (!entry.sender || entry.level < 1) {
    return false;
  }
  entry.level -= 1;
  ++entry.sends;
  return true;
}

ServerRateLimit ServerRateLimits::ToLimit(const ServerId& server,
                                          const Entry& entry,
                                          TimePoint now) {
  return {.process = {server, entry.started_ms},
          .version = entry.version,
          .rate = entry.rate,
          .heard_ago = now - entry.confirmed};
}

std::optional<ServerRateLimit> ServerRateLimits::Find(const ServerId& server,
                                                      TimePoint now) const {
  const auto found = servers_.find(server);
  return found == servers_.end() || !found->second.rate
             ? std::nullopt
             : std::optional(ToLimit(server, found->second, now));
}

std::vector<ServerRateLimit> ServerRateLimits::TakeReport(TimePoint now) {
  has_news_ = false;
  std::vector<ServerRateLimit> report;
  for (auto& [server, entry] : servers_) {
    if (entry.reports_left > 0 && report.size() < kMaxReported) {
      --entry.reports_left;
      report.push_back(ToLimit(server, entry, now));
    }
  }
  // The others in turn, from the one after the last.
  auto next = servers_.upper_bound(last_reported_);
  for (size_t i = 0; i < servers_.size() && report.size() < kMaxReported; ++i) {
    next = next == servers_.end() ? servers_.begin() : next;
    report.push_back(ToLimit(next->first, next->second, now));
    last_reported_ = next->first;
    ++next;
  }
  return report;
}

std::vector<ServerLimitUse> ServerRateLimits::TakeUse(TimePoint now) {
  if (now - use_reported_ < kUseInterval) {
    return {};
  }
  use_reported_ = now;
  std::vector<ServerLimitUse> use;
  for (auto& [server, entry] : servers_) {
    const uint64_t sends = std::exchange(entry.sends, 0);
    const uint64_t passed_over = std::exchange(entry.passed_over, 0);
    if (sends + passed_over > 0) {
      use.push_back({.limit = ToLimit(server, entry, now),
                     .share = Share(server, entry, now),
                     .sends = sends,
                     .passed_over = passed_over});
    }
  }
  return use;
}

double ServerRateLimits::WithheldServers(const std::vector<ServerId>& servers,
                                         double rate) const {
  double withheld = 0;
  for (const ServerId& server : servers) {
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.rate && rate > 0) {
      withheld += std::max(0.0, 1 - *found->second.rate / rate);
    }
  }
  return withheld;
}

size_t ServerRateLimits::limited_servers() const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(),
                    [](const auto& item) { return item.second.rate; }));
}

}  // namespace qh
