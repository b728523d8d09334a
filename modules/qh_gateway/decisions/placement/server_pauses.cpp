#include "qh_gateway/decisions/placement/server_pauses.h"

#include <algorithm>

namespace qh {
namespace {

// Extends the pause of `server` to `pause` from `now` on.
void Extend(std::map<ServerId, TimePoint>& pauses,
            const ServerId& server,
            Duration pause,
            TimePoint now) {
  const TimePoint until = now + std::min(pause, ServerPauses::kMaxPause);
  TimePoint& known = pauses[server];
  known = std::max(known, until);
}

void DropOver(std::map<ServerId, TimePoint>& pauses, TimePoint now) {
  std::erase_if(pauses, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace

void ServerPauses::OnAsked(const ServerId& server,
                           Duration pause,
                           TimePoint now) {
  Extend(own_until_, server, pause, now);
}

void ServerPauses::OnPeer(const PausesByServer& pauses, TimePoint now) {
  for (const auto& [server, pause] : pauses) {
    Extend(peers_until_, server, pause, now);
  }
}

void ServerPauses::OnTick(TimePoint now) {
  DropOver(own_until_, now);
  DropOver(peers_until_, now);
}

std::optional<Duration> ServerPauses::Remaining(const ServerId& server,
                                                TimePoint now) const {
  const auto found = own_until_.find(server);
  return found == own_until_.end() || found->second <= now
             ? std::nullopt
             : std::optional<Duration>(found->second - now);
}

bool ServerPauses::PausedForPeer(const ServerId& server, TimePoint now) const {
  const auto found = peers_until_.find(server);
  return found != peers_until_.end() && now < found->second;
}

PausesByServer ServerPauses::Report(TimePoint now) const {
  PausesByServer report;
  for (const auto& [server, until] : own_until_) {
    if (now < until) {
      report[server] = until - now;
    }
  }
  return report;
}

}  // namespace qh
