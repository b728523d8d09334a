#include "qh_gateway/decisions/store_reachability.h"

#include <algorithm>

namespace qh {
namespace {

std::optional<TimePoint> Ago(const std::optional<Duration>& ago,
                             TimePoint now) {
  return ago ? std::optional(now - *ago) : std::nullopt;
}

}  // namespace

void StoreReachability::OnAnswer(TimePoint now) {
  if (is_unreachable() && !PeerWasServed(failing_since_)) {
    returned_ = now;
  }
  failures_ = 0;
  answered_ = now;
}

void StoreReachability::OnFailure(TimePoint now) {
  if (failures_ == 0) {
    failing_since_ = now;
  }
  ++failures_;
}

void StoreReachability::OnPeer(const std::string& node,
                               const StoreReachabilityReport& report,
                               TimePoint now) {
  peers_[node] = {Ago(report.answered_ago, now),
                  Ago(report.recovered_ago, now)};
}

bool StoreReachability::PeerWasServed(TimePoint since) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    const bool served = peer.answered && *peer.answered > since + kOrderMargin;
    // A peer that saw the outage itself was served only after it.
    const bool saw_outage = peer.returned && *peer.returned > since;
    return served && !saw_outage;
  });
}

std::optional<TimePoint> StoreReachability::LastReturn() const {
  std::optional<TimePoint> last = returned_;
  for (const auto& [node, peer] : peers_) {
    if (peer.returned && (!last || *peer.returned > *last)) {
      last = peer.returned;
    }
  }
  return last;
}

bool StoreReachability::KeepsMissingServers(TimePoint now) const {
  if (is_unreachable()) {
    return !PeerWasServed(failing_since_);
  }
  const auto returned = LastReturn();
  return returned && now < *returned + kReregistrationGrace;
}

StoreReachabilityReport StoreReachability::Report(TimePoint now) const {
  StoreReachabilityReport report;
  if (answered_) {
    report.answered_ago = now - *answered_;
  }
  if (returned_) {
    report.recovered_ago = now - *returned_;
  }
  return report;
}

}  // namespace qh
