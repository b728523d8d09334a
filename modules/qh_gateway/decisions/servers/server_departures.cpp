#include "qh_gateway/decisions/servers/server_departures.h"

#include <algorithm>

namespace qh {

ServerDepartures::Departure& ServerDepartures::EntryOf(
    const ServerProcess& process,
    TimePoint now) {
  const auto found = departures_.find(process);
  if (found != departures_.end()) {
    return found->second;
  }
  DropOldest(now);
  return departures_[process] = {.at = now};
}

void ServerDepartures::DropOldest(TimePoint now) {
  std::erase_if(departures_, [&](const auto& entry) {
    return entry.second.at + kLifetime < now;
  });
  if (departures_.size() < kMaxEntries) {
    return;
  }
  departures_.erase(std::min_element(
      departures_.begin(), departures_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

bool ServerDepartures::OnAnnounced(const ServerProcess& process,
                                   TimePoint now) {
  Departure& entry = EntryOf(process, now);
  return !std::exchange(entry.announced, true);
}

void ServerDepartures::OnRemoved(const ServerProcess& process, TimePoint now) {
  EntryOf(process, now).removed = true;
}

void ServerDepartures::OnReturned(const ServerProcess& process) {
  const auto found = departures_.find(process);
  if (found != departures_.end()) {
    found->second.removed = false;
  }
}

bool ServerDepartures::HasAnnounced(const ServerProcess& process) const {
  const auto found = departures_.find(process);
  return found != departures_.end() && found->second.announced;
}

bool ServerDepartures::WasRemoved(const ServerProcess& process) const {
  const auto found = departures_.find(process);
  return found != departures_.end() && found->second.removed;
}

std::vector<ServerProcess> ServerDepartures::Recent(TimePoint now) const {
  std::vector<std::pair<TimePoint, ServerProcess>> recent;
  for (const auto& [process, departure] : departures_) {
    if (departure.announced && now - departure.at < kReportTime) {
      recent.emplace_back(departure.at, process);
    }
  }
  std::sort(recent.rbegin(), recent.rend());
  std::vector<ServerProcess> processes;
  for (const auto& [at, process] : recent) {
    if (processes.size() == kMaxReported) {
      break;
    }
    processes.push_back(process);
  }
  return processes;
}

}  // namespace qh
