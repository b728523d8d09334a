#include "qh_routing/server_table.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {

void ServerTable::SetConfiguration(const Configuration& config) {
  by_model_.clear();
  by_route_.clear();
  for (const ModelPool& pool : config.model_pools) {
    std::vector<uint32_t> indexes;
    for (const BackendServer& server : pool.servers) {
      indexes.push_back(Add(server, std::max(1U, pool.slots_per_server)));
    }
    for (const Model& model : pool.models) {
      by_model_.emplace(model.name, indexes);
    }
  }
  for (const Route& route : config.routes) {
    std::vector<uint32_t>& indexes = by_route_[route.id.value()];
    for (const BackendServer& server : route.servers) {
      indexes.push_back(Add(server, 0));
    }
  }
  CountDomains();
}

void ServerTable::SetLeaving(const std::set<ServerId>& leaving) {
  leaving_ = leaving;
  for (ServerEntry& entry : entries_) {
    entry.leaving = leaving_.contains(entry.server.id);
  }
  CountDomains();
}

void ServerTable::SetCapability(const ServerId& server,
                                ServerCapability capability) {
  capabilities_[server] = std::move(capability);
}

const std::vector<uint32_t>* ServerTable::Candidates(const RouteQuery& query,
                                                     ErrorKind& error) const {
  const bool plain = !query.route.empty();
  const auto& table = plain ? by_route_ : by_model_;
  const auto found = table.find(plain ? query.route.value() : query.model);
  error = plain ? ErrorKind::kUnknownRoute : ErrorKind::kUnknownModel;
  return found == table.end() ? nullptr : &found->second;
}

bool ServerTable::IsEligible(uint32_t server, const RouteQuery& query) const {
  const ServerEntry& entry = entries_[server];
  if (entry.leaving) {
    return false;
  }
  if (!query.excluded.empty() &&
      std::find(query.excluded.begin(), query.excluded.end(),
                entry.server.id) != query.excluded.end()) {
    return false;
  }
  if (!query.engine_version.empty() &&
      entry.server.engine_version != query.engine_version) {
    return false;
  }
  const bool any_version = query.model_version.empty();
  if ((any_version && query.adapter.empty()) || capabilities_.empty()) {
    return true;
  }
  const auto found = capabilities_.find(entry.server.id);
  if (found == capabilities_.end()) {
    return true;
  }
  const ServerCapability& has = found->second;
  return (any_version || has.model_versions.contains(query.model + "@" +
                                                     query.model_version)) &&
         (query.adapter.empty() ||
          has.adapters.contains(query.model + "+" + query.adapter));
}

double ServerTable::LeavingShare(uint32_t server) const {
  const Domain& domain = domains_[entries_[server].domain];
  return double(domain.leaving) / std::max(1U, domain.servers);
}

uint32_t ServerTable::IndexOf(const ServerId& id) const {
  const auto found = indexes_.find(id);
  return found == indexes_.end() ? uint32_t(entries_.size()) : found->second;
}

uint32_t ServerTable::Add(const BackendServer& server, uint32_t slots) {
  const auto [at, added] =
      indexes_.emplace(server.id, uint32_t(entries_.size()));
  if (added) {
    entries_.emplace_back();
  }
  ServerEntry& entry = entries_[at->second];
  entry.server = server;
  entry.seed = Hash64(server.id.value());
  entry.slots = slots;
  entry.leaving = leaving_.contains(server.id);
  const auto domain = domain_indexes_.emplace(server.failure_domain.value(),
                                              uint32_t(domain_indexes_.size()));
  entry.domain = domain.first->second;
  return at->second;
}

void ServerTable::CountDomains() {
  domains_.assign(domain_indexes_.size(), {});
  for (const ServerEntry& entry : entries_) {
    ++domains_[entry.domain].servers;
    domains_[entry.domain].leaving += entry.leaving;
  }
}

}  // namespace qh
