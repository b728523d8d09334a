#include "qh_gateway/decisions/usage/usage_ledger.h"

#include <algorithm>

namespace qh {

UsageLedger::UsageLedger(Duration window) : window_(window) {}

int64_t UsageLedger::WindowOf(Duration wall) const {
  return wall / window_;
}

Duration UsageLedger::EndOf(int64_t window) const {
  return window_ * (window + 1);
}

void UsageLedger::Trim(WindowCounts& counts, int64_t kept) {
  while (!counts.empty() &&
         counts.begin()->first + kept <= counts.rbegin()->first) {
    counts.erase(counts.begin());
  }
}

void UsageLedger::Count(const TeamId& team, Duration wall) {
  ++own_[WindowOf(wall)][team];
  Trim(own_, kKeptWindows);
}

void UsageLedger::OnPeer(const std::string& source,
                         const WindowCounts& counts,
                         UsageScope scope) {
  peers_[source].scope = scope;
  WindowCounts& known = peers_[source].counts;
  for (const auto& [window, teams] : counts) {
    TeamCounts& merged = known[window];
    for (const auto& [team, count] : teams) {
      merged[team] = std::max(merged[team], count);
    }
  }
  Trim(known, kKeptWindows);
}

WindowCounts UsageLedger::Recent() const {
  WindowCounts recent = own_;
  Trim(recent, kReportedWindows);
  return recent;
}

WindowCounts UsageLedger::RecentOfDomain() const {
  WindowCounts recent = own_;
  for (const auto& [source, peer] : peers_) {
    if (peer.scope != UsageScope::kOwnDomain) {
      continue;
    }
    for (const auto& [window, teams] : peer.counts) {
      for (const auto& [team, count] : teams) {
        recent[window][team] += count;
      }
    }
  }
  Trim(recent, kReportedWindows);
  return recent;
}

TeamCounts UsageLedger::Total(int64_t window) const {
  TeamCounts total;
  const auto add = [&](const WindowCounts& counts) {
    const auto found = counts.find(window);
    if (found == counts.end()) {
      return;
    }
    for (const auto& [team, count] : found->second) {
      total[team] += count;
    }
  };
  add(own_);
  for (const auto& [source, peer] : peers_) {
    add(peer.counts);
  }
  return total;
}

}  // namespace qh
