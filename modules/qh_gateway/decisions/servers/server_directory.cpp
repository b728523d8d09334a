#include "qh_gateway/decisions/servers/server_directory.h"

#include <set>

namespace qh {

ServerDirectory::ServerDirectory(Hook on_change, Duration expiry)
    : on_change_(std::move(on_change)), expiry_(expiry) {}

void ServerDirectory::OnList(const std::vector<ServerRecord>& servers,
                             bool keep_missing,
                             TimePoint now) {
  std::set<ServerId> listed;
  withheld_.clear();
  for (const ServerRecord& server : servers) {
    listed.insert(server.id);
    OnServer(server, now);
  }
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : servers_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const ServerId& id : missing) {
    OnRemoved(id, keep_missing, now);
  }
}

bool ServerDirectory::IsDoubtful(const ServerRecord& server,
                                 TimePoint now) const {
  if (!doubtful_until_ || now >= *doubtful_until_) {
    return false;
  }
  const auto known = servers_.find(server.id);
  return known != servers_.end()
             ? server.started_ms < known->second.record.started_ms
             : departures_.WasRemoved({server.id, server.started_ms});
}

void ServerDirectory::OnServer(const ServerRecord& registered, TimePoint now) {
  if (IsDoubtful(registered, now)) {
    withheld_[registered.id] = registered;
    return;
  }
  withheld_.erase(registered.id);
  ServerRecord server = registered;
  const ServerProcess process{server.id, server.started_ms};
  departures_.OnReturned(process);
  if (server.draining) {
    departures_.OnAnnounced(process, now);
  }
  server.draining = departures_.HasAnnounced(process);
  const auto found = servers_.find(server.id);
  if (found == servers_.end()) {
    servers_[server.id] = {.record = server};
    on_change_(ServerChange::kAdded, server);
    return;
  }
  Entry& entry = found->second;
  const ServerRecord before = std::exchange(entry.record, server);
  if (std::exchange(entry.missing, false)) {
    on_change_(ServerChange::kReturned, server);
  }
  if (before.started_ms != server.started_ms ||
      before.address != server.address) {
    on_change_(ServerChange::kRestarted, server);
  }
  if (server.draining && !before.draining) {
    on_change_(ServerChange::kDraining, server);
  }
}

void ServerDirectory::OnRemoved(const ServerId& id,
                                bool keep_missing,
                                TimePoint now) {
  withheld_.erase(id);
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.record.draining || !keep_missing) {
    Drop(id, now);
    return;
  }
  if (!std::exchange(entry.missing, true)) {
    on_change_(ServerChange::kLapsed, entry.record);
  }
}

bool ServerDirectory::OnLeaving(const ServerProcess& process, TimePoint now) {
  if (!departures_.OnAnnounced(process, now)) {
    return false;
  }
  const auto found = servers_.find(process.id);
  if (found == servers_.end()) {
    return true;
  }
  ServerRecord& record = found->second.record;
  if (record.started_ms == process.started_ms && !record.draining) {
    record.draining = true;
    on_change_(ServerChange::kDraining, record);
  }
  return true;
}

void ServerDirectory::OnStoreRestored(TimePoint now) {
  doubtful_until_ = now + expiry_;
}

void ServerDirectory::OnTick(bool keep_missing, TimePoint now) {
  if (doubtful_until_ && now >= *doubtful_until_) {
    doubtful_until_.reset();
    for (const auto& [id, server] : std::exchange(withheld_, {})) {
      OnServer(server, now);
    }
  }
  if (keep_missing) {
    return;
  }
  std::vector<ServerId> lapsed;
  for (const auto& [id, entry] : servers_) {
    if (entry.missing) {
      lapsed.push_back(id);
    }
  }
  for (const ServerId& id : lapsed) {
    Drop(id, now);
  }
}

void ServerDirectory::Drop(const ServerId& id, TimePoint now) {
  const auto found = servers_.find(id);
  const ServerRecord record = found->second.record;
  servers_.erase(found);
  departures_.OnRemoved({id, record.started_ms}, now);
  on_change_(ServerChange::kGone, record);
}

const ServerRecord* ServerDirectory::Find(const ServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.record;
}

std::vector<const ServerRecord*> ServerDirectory::Usable(
    const std::string& service) const {
  std::vector<const ServerRecord*> usable;
  for (const auto& [id, entry] : servers_) {
    if (!entry.record.draining && entry.record.service == service) {
      usable.push_back(&entry.record);
    }
  }
  return usable;
}

std::vector<const ServerRecord*> ServerDirectory::All() const {
  std::vector<const ServerRecord*> all;
  for (const auto& [id, entry] : servers_) {
    all.push_back(&entry.record);
  }
  return all;
}

}  // namespace qh
