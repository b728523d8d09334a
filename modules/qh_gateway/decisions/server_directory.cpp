#include "qh_gateway/decisions/server_directory.h"

#include <set>

namespace qh {

ServerDirectory::ServerDirectory(Hook on_change)
    : on_change_(std::move(on_change)) {}

void ServerDirectory::OnList(const std::vector<ServerRecord>& servers,
                             bool keep_missing) {
  std::set<ServerId> listed;
  for (const ServerRecord& server : servers) {
    listed.insert(server.id);
    OnServer(server);
  }
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : servers_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const ServerId& id : missing) {
    OnRemoved(id, keep_missing);
  }
}

void ServerDirectory::OnServer(const ServerRecord& server) {
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

void ServerDirectory::OnRemoved(const ServerId& id, bool keep_missing) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.record.draining || !keep_missing) {
    Drop(id);
    return;
  }
  if (!std::exchange(entry.missing, true)) {
    on_change_(ServerChange::kLapsed, entry.record);
  }
}

void ServerDirectory::OnTick(bool keep_missing) {
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
    Drop(id);
  }
}

void ServerDirectory::Drop(const ServerId& id) {
  const auto found = servers_.find(id);
  const ServerRecord record = found->second.record;
  servers_.erase(found);
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
