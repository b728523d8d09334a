#include "qh_gateway/control/rollout_report_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

// Reports with larger values are left out as malformed.
constexpr uint64_t kMaxCount = 1'000'000'000'000;
constexpr uint32_t kMaxNodes = 100'000;
constexpr Duration kMaxTime = std::chrono::hours(48);

Json CountsToJson(const RouteCounts& routes) {
  Json list = Json::array();
  for (const auto& [route, counts] : routes) {
    list.push_back({route, counts.requests, counts.failures, counts.slow,
                    counts.timed, counts.time_ratio_sum, counts.gaps,
                    counts.gap_ms_sum});
  }
  return list;
}

RouteCounts CountsFromJson(const Json& json) {
  RouteCounts routes;
  for (const Json& entry : json) {
    routes[entry.at(0).get<std::string>()] = {
        .requests = entry.at(1),
        .failures = entry.at(2),
        .slow = entry.at(3),
        .timed = entry.at(4),
        .time_ratio_sum = std::max(0.0, entry.at(5).get<double>()),
        .gaps = entry.at(6),
        .gap_ms_sum = std::max(0.0, entry.at(7).get<double>())};
  }
  return routes;
}

bool InRange(const RouteCounts& routes) {
  for (const auto& [route, counts] : routes) {
    // A failed response may be slow as well, but neither is more than all.
    if (counts.requests > kMaxCount || counts.failures > counts.requests ||
        counts.slow > counts.requests) {
      return false;
    }
  }
  return true;
}

bool InRange(const RolloutReport& report) {
  const auto in_range = [](Duration time) {
    return time >= Duration::zero() && time <= kMaxTime;
  };
  return !report.order.service.empty() && !report.order.to.empty() &&
         in_range(report.order.duration) && in_range(report.age) &&
         report.nodes <= kMaxNodes && report.drained_nodes <= report.nodes &&
         InRange(report.counts.old_version) &&
         InRange(report.counts.new_version);
}

}  // namespace

Json RolloutReportsToJson(const RolloutReports& reports) {
  Json list = Json::array();
  for (const auto& [service, report] : reports) {
    const RolloutOrder& order = report.order;
    list.push_back({{"service", service},
                    {"to", order.to},
                    {"for", order.duration.count()},
                    {"epoch", order.version.epoch},
                    {"revision", order.version.revision},
                    {"phase", ToName(report.phase)},
                    {"age", report.age.count()},
                    {"old", CountsToJson(report.counts.old_version)},
                    {"new", CountsToJson(report.counts.new_version)},
                    {"complete", report.complete},
                    {"nodes", report.nodes},
                    {"drained", report.drained_nodes},
                    {"open", report.open_at_old}});
  }
  return list;
}

RolloutReports RolloutReportsFromJson(const Json& json) {
  RolloutReports reports;
  for (const Json& entry : json) {
    const auto phase =
        FromName<RolloutPhase>(entry.at("phase").get<std::string>());
    if (!phase) {
      continue;
    }
    RolloutReport report{
        .order = {.service = entry.at("service"),
                  .to = entry.at("to"),
                  .duration = Duration(entry.at("for").get<int64_t>()),
                  .version = {entry.at("epoch"), entry.at("revision")}},
        .phase = *phase,
        .age = Duration(entry.at("age").get<int64_t>()),
        .counts = {.old_version = CountsFromJson(entry.at("old")),
                   .new_version = CountsFromJson(entry.at("new"))},
        .complete = entry.at("complete"),
        .nodes = entry.at("nodes"),
        .drained_nodes = entry.at("drained"),
        .open_at_old = entry.at("open")};
    if (InRange(report)) {
      reports[report.order.service] = std::move(report);
    }
  }
  return reports;
}

}  // namespace qh
