// The part of GatewayNode that reports its metrics.

#include "qh_gateway/control/gateway_node.h"

namespace qh {
namespace {

constexpr int kNotFound = 404;

}  // namespace

ServiceAnswer GatewayNode::AnswerMetrics(const HttpHead& head) {
  if (head.target != "/metrics") {
    return {.status = kNotFound};
  }
  const TimePoint now = MonotonicNow();
  rollout_control_.SetMetrics(now);
  SetLoadMetrics();
  SetStateMetrics(now);
  SetSpeedMetrics();
  return {.content_type = "text/plain; version=0.0.4",
          .body = state_.metrics.Exposition()};
}

void GatewayNode::SetLoadMetrics() {
  const auto set = [&](const char* name, auto value) {
    state_.metrics.Set({.name = name}, static_cast<double>(value));
  };
  const ByteBudget& budget = *state_.byte_budget;
  set("gateway_open_requests", state_.open_requests);
  set("gateway_held_bytes", budget.held());
  set("gateway_held_bytes_limit", budget.limit());
  set("gateway_held_bytes_refusals", budget.refusals());
  set("gateway_caller_connections", state_.caller_limiter->open_connections());
  set("gateway_caller_connections_limit",
      state_.caller_limiter->max_connections());
  set("gateway_server_connections", state_.connection_pool.open_connections());
  set("gateway_nodes", state_.node_count());
  set("gateway_crash_verdicts", state_.crash_tracker.verdicts().size());
  set("gateway_limited_servers", state_.picker.rate_limits().limited_servers());
  set("gateway_holds_duties", leader_tasks_.is_leader() ? 1 : 0);
}

void GatewayNode::SetStateMetrics(TimePoint now) {
  const auto set = [&](const char* name, auto value) {
    state_.metrics.Set({.name = name}, static_cast<double>(value));
  };
  set("gateway_follows_store", FollowsStore() ? 1 : 0);
  set("gateway_relays_heard", peers_.HeardRelays(now).size());
  set("gateway_keeps_missing_servers",
      store_reachability_.KeepsMissingServers(now) ? 1 : 0);
  set("gateway_servers_revision", server_mirror_.version().revision);
  for (const auto& row : kEnumNames<StateKind>) {
    if (const auto age = state_.freshness.Age(row.value, BootNow())) {
      state_.metrics.Set({.name = "gateway_copy_age_ms",
                          .request_class = std::string(row.name)},
                         ToMilliseconds(*age));
    }
  }
}

void GatewayNode::SetSpeedMetrics() {
  if (state_.config == nullptr) {
    return;
  }
  for (const ServiceRule& service : state_.config->services()) {
    if (!service.engine) {
      continue;
    }
    const SpeedRange speeds = state_.picker.Speeds(service.name);
    const auto set = [&](const char* which, double speed) {
      state_.metrics.Set({.name = "gateway_server_speed",
                          .request_class = service.name,
                          .reason = which},
                         speed);
    };
    set("slowest", speeds.slowest);
    set("mean", speeds.mean);
    set("fastest", speeds.fastest);
  }
}

}  // namespace qh
