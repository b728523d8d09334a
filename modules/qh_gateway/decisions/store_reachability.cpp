#include "qh_gateway/decisions/store_reachability.h"

#include <algorithm>

namespace qh {
namespace {

// Converts the age of an event, if known, to the time of the event.
std::optional<TimePoint> TimeOfAge(const std::optional<Duration>& ago,
                                   TimePoint now) {
  return ago ? std::optional(now - *ago) : std::nullopt;
}

}  // namespace

void StoreReachability::OnAnswer(TimePoint now) {
  if (is_unreachable() && !PeerWasAnswered(failing_since_)) {
    recovered_ = now;
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
  peers_[node] = {TimeOfAge(report.answered_ago, now),
                  TimeOfAge(report.recovered_ago, now)};
}

bool StoreReachability::PeerWasAnswered(TimePoint since) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    const bool answered =
        peer.answered && *peer.answered > since + kOrderMargin;
    // A peer that observed the outage too was answered only after it.
    const bool observed_outage = peer.recovered && *peer.recovered > since;
    return answered && !observed_outage;
  });
}

std::optional<TimePoint> StoreReachability::LastRecovery() const {
  std::optional<TimePoint> last = recovered_;
  for (const auto& [node, peer] : peers_) {
    if (peer.recovered && (!last || *peer.recovered > *last)) {
      last = peer.recovered;
    }
  }
  return last;
}

bool StoreReachability::KeepsMissingServers(TimePoint now) const {
  if (is_unreachable()) {
    return !PeerWasAnswered(failing_since_);
  }
  const auto recovered = LastRecovery();
  return recovered && now < *recovered + kReregistrationGrace;
}

StoreReachabilityReport StoreReachability::Report(TimePoint now) const {
  StoreReachabilityReport report;
  if (answered_) {
    report.answered_ago = now - *answered_;
  }
  if (recovered_) {
    report.recovered_ago = now - *recovered_;
  }
  return report;
}

}  // namespace qh
