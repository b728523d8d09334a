// The part of RolloutBook that tells which servers a request may go to.

#include <algorithm>

#include "qh_gateway/decisions/rollout/rollout_book.h"

namespace qh {
namespace {

ServerFilter OfVersion(const std::string& version) {
  return [version](const ServerRecord& server) {
    return server.version == version;
  };
}

}  // namespace

ServerFilter RolloutBook::OldestVersion(const std::string& service) const {
  const auto usable = directory_.Usable(service);
  const auto oldest = std::min_element(usable.begin(), usable.end(),
                                       [](const auto* a, const auto* b) {
                                         return a->started_ms < b->started_ms;
                                       });
  if (oldest == usable.end()) {
    return {};
  }
  return OfVersion((*oldest)->version);
}

ServerFilter RolloutBook::WithoutOrder(const std::string& service,
                                       TimePoint now) const {
  const auto found = versions_.find(service);
  if (found == versions_.end() ||
      found->second.in_use.size() + found->second.appeared.size() < 2) {
    return ServerFilter();
  }
  const Versions& versions = found->second;
  if (!knows_orders_) {
    ServerFilter filter = OldestVersion(service);
    return filter;
  }
  std::set<std::string> held;
  for (const auto& [version, at] : versions.appeared) {
    if (now - at < kOrderDelay) {
      held.insert(version);
    }
  }
  const auto usable = directory_.Usable(service);
  const bool has_others = std::any_of(
      usable.begin(), usable.end(),
      [&](const auto* server) { return !held.contains(server->version); });
  if (held.empty() || !has_others) {
    return ServerFilter();
  }
  return [held = std::move(held)](const ServerRecord& server) {
    return !held.contains(server.version);
  };
}

ServerFilter RolloutBook::CanaryFilter(const ServiceRollout& rollout) const {
  // All nodes use the same servers throughout, so that these get warm.
  std::set<ServerId> chosen;
  for (const ServerRecord* server : NewServers(rollout.order())) {
    if (chosen.size() < rollout.canary_servers()) {
      chosen.insert(server->id);
    }
  }
  return [chosen = std::move(chosen)](const ServerRecord& server) {
    return chosen.contains(server.id);
  };
}

std::vector<ServerFilter> RolloutBook::Eligible(
    const std::string& service,
    const std::string& route,
    const std::optional<RolloutAttempt>& last,
    bool answering,
    TimePoint now) const {
  const auto known = rollouts_.find(service);
  if (known == rollouts_.end()) {
    return {WithoutOrder(service, now)};
  }
  const ServiceRollout& rollout = known->second;
  const ServerFilter is_new = OfVersion(rollout.order().to);
  const ServerFilter is_old = OldServers(rollout.order());
  const RolloutTarget target = rollout.Target(route, now);
  const bool old_allowed =
      target != RolloutTarget::kNew && target != RolloutTarget::kNone;
  const bool settled = rollout.phase() == RolloutPhase::kCompleted;
  const bool was_new = last && last->version == rollout.order().to;
  if (last && !settled && target != RolloutTarget::kAny &&
      (was_new || answering)) {
    // A stream is not resumed at another version, and nothing is repeated at
    // the new one.
    const bool may_repeat = old_allowed && !(was_new && answering);
    return may_repeat ? std::vector<ServerFilter>{is_old}
                      : std::vector<ServerFilter>{};
  }
  switch (target) {
    case RolloutTarget::kAny: {
      const auto abandoned = abandoned_.find(service);
      if (abandoned == abandoned_.end() || abandoned->second.empty()) {
        return {ServerFilter()};
      }
      return {[versions = abandoned->second](const ServerRecord& server) {
        return !versions.contains(server.version);
      }};
    }
    case RolloutTarget::kOld:
      return {is_old};
    case RolloutTarget::kCanary:
      return {CanaryFilter(rollout), is_old};
    case RolloutTarget::kNewOrOld:
      return {is_new, is_old};
    case RolloutTarget::kNew:
      return {is_new};
    case RolloutTarget::kNone:
      break;
  }
  return {};
}

}  // namespace qh
