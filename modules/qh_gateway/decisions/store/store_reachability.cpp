#include "qh_gateway/decisions/store/store_reachability.h"

#include <algorithm>

namespace qh {
namespace {

// Converts the age of an event, if known, to the time of the event.
std::optional<TimePoint> TimeOfAge(const std::optional<Duration>& ago,
                                   TimePoint now) {
  return ago ? std::optional(now - *ago) : std::nullopt;
}

// Whether servers may still be registering again after an outage.
bool IsInGrace(TimePoint recovered, TimePoint now) {
  return now < recovered + StoreReachability::kReregistrationGrace;
}

}  // namespace

void StoreReachability::OnAnswer(TimePoint now) {
  if (is_unreachable() && !PeerWasAnswered(failing_since_)) {
    // This node may have stopped to ask long before the outage ended.
    recovered_ = PeerRecovery(failing_since_).value_or(now);
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

std::optional<TimePoint> StoreReachability::PeerRecovery(
    TimePoint since) const {
  std::optional<TimePoint> last;
  for (const auto& [node, peer] : peers_) {
    if (peer.recovered && *peer.recovered > last.value_or(since)) {
      last = peer.recovered;
    }
  }
  return last;
}

std::optional<TimePoint> StoreReachability::LastRecovery() const {
  const auto peer = PeerRecovery(recovered_.value_or(TimePoint::min()));
  return peer ? peer : recovered_;
}

bool StoreReachability::KeepsMissingServers(TimePoint now) const {
  if (is_unreachable() && PeerWasAnswered(failing_since_)) {
    return false;
  }
  if (!is_unreachable()) {
    const auto recovered = LastRecovery();
    return recovered && IsInGrace(*recovered, now);
  }
  // While this node's calls fail, or after it has stopped to make any, only a
  // peer can tell that the outage is over.
  const auto recovered = PeerRecovery(failing_since_);
  return !recovered || IsInGrace(*recovered, now);
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
