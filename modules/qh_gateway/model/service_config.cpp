#include "qh_gateway/model/service_config.h"

#include <algorithm>

namespace qh {

std::string NormalizedHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  std::string normalized(host.substr(0, colon));
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      });
  return normalized;
}

ServiceConfig::ServiceConfig(Parts parts) : parts_(std::move(parts)) {
  for (size_t i = 0; i < parts_.routes.size(); ++i) {
    by_host_[parts_.routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
      return parts_.routes[a].path_prefix.size() >
             parts_.routes[b].path_prefix.size();
    });
  }
  for (const RouteRule& route : parts_.routes) {
    if (route.kind != RequestKind::kStream) {
      continue;
    }
    for (const WeightedService& share : route.services) {
      Duration& target =
          gap_targets_.try_emplace(share.service, route.event_gap_target)
              .first->second;
      target = std::min(target, route.event_gap_target);
    }
  }
  const auto& teams = this->teams();
  for (size_t i = 0; i < teams.size(); ++i) {
    for (const std::string& key : teams[i].keys) {
      by_key_.emplace(key, i);
    }
  }
}

const std::vector<TeamRule>& ServiceConfig::teams() const {
  static const std::vector<TeamRule> none;
  return parts_.teams ? *parts_.teams : none;
}

const RouteRule* ServiceConfig::MatchRoute(std::string_view host,
                                           std::string_view path) const {
  const auto found = by_host_.find(NormalizedHost(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const size_t index : found->second) {
    const RouteRule& route = parts_.routes[index];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) {
      return &route;
    }
  }
  return nullptr;
}

std::optional<Duration> ServiceConfig::ShortestGapTarget(
    const std::string& service) const {
  const auto found = gap_targets_.find(service);
  return found == gap_targets_.end() ? std::nullopt
                                     : std::optional(found->second);
}

const TeamRule* ServiceConfig::TeamForKey(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : &teams()[found->second];
}

const ServiceRule* ServiceConfig::FindService(std::string_view name) const {
  for (const ServiceRule& service : parts_.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

const TeamRule* ServiceConfig::FindTeam(const TeamId& id) const {
  for (const TeamRule& team : teams()) {
    if (team.id == id) {
      return &team;
    }
  }
  return nullptr;
}

}  // namespace qh
