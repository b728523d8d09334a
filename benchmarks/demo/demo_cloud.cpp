#include "benchmarks/demo/demo_cloud.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace qh::demo {
namespace {

using nlohmann::json;

Result<void> PutInstance(const DemoPlan& plan,
                         const std::string& id,
                         const json& row) {
  httplib::Client client(plan.platform.host, plan.platform.port);
  const auto reply =
      client.Put("/v1/instances/" + id, row.dump(), "application/json");
  if (!reply || reply->status != 200) {
    return Error(ErrorKind::kStoreUnavailable, "instance " + id);
  }
  return Ok();
}

json ServerRow(const BackendServer& server, const char* role) {
  return {{"role", role},
          {"state", "live"},
          {"failure_domain", server.failure_domain.value()},
          {"host", server.address.host},
          {"port", server.address.port}};
}

}  // namespace

Result<void> ListInstances(const DemoPlan& plan) {
  for (const NodeSettings& node : plan.nodes) {
    const json row = {{"role", "node"},
                      {"state", "live"},
                      {"failure_domain", node.failure_domain.value()},
                      {"host", node.callers.host},
                      {"port", node.callers.port},
                      {"peer_port", node.peers.port},
                      {"admin_port", node.admin.port}};
    BOOST_OUTCOME_TRY(PutInstance(plan, node.instance.value(), row));
  }
  for (const ModelPool& pool : plan.config.model_pools) {
    for (const BackendServer& server : pool.servers) {
      BOOST_OUTCOME_TRY(
          PutInstance(plan, server.id.value(), ServerRow(server, "engine")));
    }
  }
  for (const Route& route : plan.config.routes) {
    for (const BackendServer& server : route.servers) {
      BOOST_OUTCOME_TRY(
          PutInstance(plan, server.id.value(), ServerRow(server, "service")));
    }
  }
  return Ok();
}

Result<void> GiveNotice(const DemoPlan& plan,
                        const std::string& instance,
                        Duration notice) {
  return PutInstance(plan, instance,
                     {{"state", "leaving"}, {"notice_s", ToSeconds(notice)}});
}

}  // namespace qh::demo
