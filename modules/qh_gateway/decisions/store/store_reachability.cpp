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
    own_.outage = {failing_since_, PeerRecovery(failing_since_).value_or(now)};
  }
  if (is_unreachable() || !own_.last || now - *own_.last > kSteadyGap) {
    own_.steady_since = now;
  }
  failures_ = 0;
  own_.last = now;
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
  Answers& peer = peers_[node];
  peer.last = TimeOfAge(report.answered_ago, now);
  peer.steady_since = TimeOfAge(report.steady_ago, now);
  peer.outage.reset();
  if (report.recovered_ago) {
    peer.outage = {TimeOfAge(report.failing_ago, now),
                   now - *report.recovered_ago};
  }
}

bool StoreReachability::PeerWasAnswered(TimePoint since) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Answers& peer = entry.second;
    const bool answered = peer.last && *peer.last > since + kOrderMargin;
    // A peer that observed the outage too was answered only after it.
    const bool observed_outage = peer.outage && peer.outage->ended > since;
    return answered && !observed_outage;
  });
}

bool StoreReachability::IsContradicted(const Outage& outage) const {
  if (!outage.began) {
    return false;
  }
  // The last answer may be from before the outage's end: in what is left of it
  // no registration can have expired.
  const auto was_steady = [&](const Answers& answers) {
    const bool began_before =
        answers.steady_since && *answers.steady_since <= *outage.began;
    return began_before && answers.last &&
           *answers.last + kSteadyGap >= outage.ended;
  };
  return was_steady(own_) ||
         std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
           return was_steady(entry.second);
         });
}

std::optional<TimePoint> StoreReachability::PeerRecovery(
    TimePoint since) const {
  std::optional<TimePoint> last;
  for (const auto& [node, peer] : peers_) {
    const bool is_later =
        peer.outage && peer.outage->ended > last.value_or(since);
    if (is_later && !IsContradicted(*peer.outage)) {
      last = peer.outage->ended;
    }
  }
  return last;
}

std::optional<TimePoint> StoreReachability::OwnRecovery() const {
  return own_.outage && !IsContradicted(*own_.outage)
             ? std::optional(own_.outage->ended)
             : std::nullopt;
}

std::optional<TimePoint> StoreReachability::LastRecovery() const {
  const auto own = OwnRecovery();
  const auto peer = PeerRecovery(own.value_or(TimePoint::min()));
  return peer ? peer : own;
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
  if (own_.last) {
    report.answered_ago = now - *own_.last;
  }
  const bool is_steady = own_.last && now - *own_.last <= kSteadyGap;
  if (is_steady && !is_unreachable()) {
    report.steady_ago = now - *own_.steady_since;
  }
  if (OwnRecovery()) {
    report.recovered_ago = now - own_.outage->ended;
  }
  if (OwnRecovery() && own_.outage->began) {
    report.failing_ago = now - *own_.outage->began;
  }
  return report;
}

}  // namespace qh
