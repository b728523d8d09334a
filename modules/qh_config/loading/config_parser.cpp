#include "qh_config/loading/config_parser.h"

#include <nlohmann/json.hpp>

namespace qh {
namespace {

using nlohmann::json;

Duration Milliseconds(const json& value) {
  return std::chrono::milliseconds(value.get<int64_t>());
}

std::vector<BackendServer> ParseServers(const json& servers_json) {
  std::vector<BackendServer> servers;
  for (const auto& [id, value] : servers_json.items()) {
    BackendServer server;
    server.id = ServerId(id);
    server.address.host = value.at("host");
    server.address.port = value.at("port");
    server.failure_domain = FailureDomainId(value.at("failure_domain"));
    server.engine_version = value.at("engine_version");
    server.checks_fencing = value.at("checks_fencing");
    server.machine_class = value.at("machine_class");
    servers.push_back(std::move(server));
  }
  return servers;
}

ModelPool ParsePool(const std::string& id, const json& value) {
  ModelPool pool;
  pool.id = PoolId(id);
  for (const auto& [name, model] : value.at("models").items()) {
    pool.models.push_back({name, model.at("versions"), model.at("adapters")});
  }
  pool.servers = ParseServers(value.at("servers"));
  pool.slots_per_server = value.at("slots_per_server");
  pool.first_token_target = Milliseconds(value.at("first_token_target_ms"));
  pool.token_interval_target =
      Milliseconds(value.at("token_interval_target_ms"));
  return pool;
}

Team ParseTeam(const std::string& id, const json& value) {
  Team team;
  team.id = TeamId(id);
  team.key_sha256 = value.at("key_sha256");
  team.weight = value.at("weight");
  team.priority = value.at("priority");
  team.tokens_per_minute = value.at("tokens_per_minute");
  team.requests_per_second = value.at("requests_per_second");
  team.default_class =
      FromName<RequestClass>(value.at("default_class").get<std::string>())
          .value_or(team.default_class);
  return team;
}

NodeLimits ParseLimits(const json& value) {
  NodeLimits limits;
  limits.max_body_bytes = value.at("max_body_bytes");
  limits.max_header_bytes = value.at("max_header_bytes");
  limits.read_timeout = Milliseconds(value.at("read_timeout_ms"));
  limits.locate_ttl = Milliseconds(value.at("locate_ttl_ms"));
  limits.interactive_deadline =
      Milliseconds(value.at("interactive_deadline_ms"));
  limits.batch_deadline = Milliseconds(value.at("batch_deadline_ms"));
  limits.max_open_requests = value.at("max_open_requests");
  return limits;
}

}  // namespace

Configuration ParseConfiguration(const json& root) {
  Configuration config;
  config.deployment = root.at("deployment");
  for (const auto& [id, value] : root.at("failure_domains").items()) {
    config.failure_domains.push_back({FailureDomainId(id), value.at("region")});
  }
  for (const auto& [id, value] : root.at("machine_classes").items()) {
    config.machine_classes.push_back(
        {id, value.at("on_demand_price"), value.at("reclaimable_price")});
  }
  for (const auto& [id, value] : root.at("model_pools").items()) {
    config.model_pools.push_back(ParsePool(id, value));
  }
  for (const auto& [id, value] : root.at("teams").items()) {
    config.teams.push_back(ParseTeam(id, value));
  }
  for (const auto& [id, value] : root.at("routes").items()) {
    config.routes.push_back({RouteId(id), ParseServers(value.at("servers")),
                             Milliseconds(value.at("timeout_ms"))});
  }
  for (const auto& [id, value] : root.at("non_idempotent").items()) {
    config.non_idempotent.push_back({RouteId(value.at("route")),
                                     value.at("method"),
                                     value.at("path_prefix")});
  }
  config.limits = ParseLimits(root.at("limits"));
  config.weights = {root.at("weights").at("recomputed_tokens"),
                    root.at("weights").at("cost")};
  return config;
}

}  // namespace qh
