#include "qh_node/control/node_report.h"

#include <nlohmann/json.hpp>

namespace qh {

using nlohmann::json;

std::string NodeStatusJson(const NodeSettings& settings,
                           const LocalStatus& status,
                           bool draining,
                           const std::vector<Member>& members) {
  json members_json = json::array();
  for (const Member& member : members) {
    members_json.push_back({{"instance", member.id.value()},
                            {"failure_domain", member.failure_domain.value()},
                            {"state", ToName(member.state)},
                            {"ready", member.ready},
                            {"config_version", member.config_version},
                            {"open_requests", member.open_requests}});
  }
  return json{{"instance", settings.instance.value()},
              {"failure_domain", settings.failure_domain.value()},
              {"draining", draining},
              {"ready", status.ready},
              {"config_version", status.config_version},
              {"open_requests", status.open_requests},
              {"members", members_json}}
      .dump();
}

std::string RequestReportJson(const RequestRecord& record,
                              const std::string& decision) {
  return json{{"request", record.spec().id.value()},
              {"state", ToName(record.state())},
              {"tokens", record.tokens().size()},
              {"decision", decision}}
      .dump();
}

}  // namespace qh
