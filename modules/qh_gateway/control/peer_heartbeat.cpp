#include "qh_gateway/control/peer_heartbeat.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "qh_core/text/bounded_json.h"
#include "qh_core/text/utf8.h"
#include "qh_gateway/control/crash_report_codec.h"
#include "qh_gateway/control/rollout_report_codec.h"

namespace qh {
namespace {

using Json = nlohmann::json;

// Version of the encoding, raised when the meaning of a field changes. A node
// rejects heartbeats of any other version.
constexpr int kFormat = 3;

Json OutstandingWorkToJson(const OutstandingWorkByServer& work) {
  Json list = Json::array();
  for (const auto& [server, open] : work) {
    list.push_back({server.value(), open.requests,
                    static_cast<uint64_t>(open.prefill_tokens),
                    static_cast<uint64_t>(open.kv_tokens)});
  }
  return list;
}

Json UsageToJson(const WindowCounts& usage) {
  Json list = Json::array();
  for (const auto& [window, teams] : usage) {
    Json counts = Json::object();
    for (const auto& [team, count] : teams) {
      counts[team.value()] = count;
    }
    list.push_back({window, counts});
  }
  return list;
}

Json TotalsToJson(const TeamTotals& totals) {
  Json object = Json::object();
  for (const auto& [team, units] : totals) {
    object[team.value()] = units;
  }
  return object;
}

Json DeparturesToJson(const std::vector<ServerProcess>& departures) {
  Json list = Json::array();
  for (const ServerProcess& process : departures) {
    list.push_back({process.id.value(), process.started_ms});
  }
  return list;
}

Json PausesToJson(const PausesByServer& pauses) {
  Json object = Json::object();
  for (const auto& [server, pause] : pauses) {
    object[server.value()] = pause.count();
  }
  return object;
}

Json RateLimitsToJson(const std::vector<ServerRateLimit>& limits) {
  Json list = Json::array();
  for (const ServerRateLimit& limit : limits) {
    list.push_back({limit.process.id.value(), limit.process.started_ms,
                    limit.version, limit.rate ? Json(*limit.rate) : Json(),
                    limit.heard_ago.count()});
  }
  return list;
}

// Nodes of an earlier version don't send rate limits.
std::vector<ServerRateLimit> RateLimitsFromJson(const Json& json) {
  std::vector<ServerRateLimit> limits;
  const auto found = json.find("limits");
  if (found == json.end()) {
    return limits;
  }
  for (const Json& entry : *found) {
    ServerRateLimit limit{.process = {ServerId(entry.at(0)), entry.at(1)},
                          .version = entry.at(2),
                          .heard_ago = Duration(std::max<int64_t>(
                              entry.at(4).get<int64_t>(), 0))};
    if (!entry.at(3).is_null()) {
      limit.rate = std::max(0.0, entry.at(3).get<double>());
    }
    limits.push_back(std::move(limit));
  }
  return limits;
}

Json SpeedsToJson(const SpeedReports& speeds) {
  Json list = Json::array();
  for (const auto& [server, report] : speeds) {
    list.push_back(
        {server.value(), report.started_ms, report.rate, report.samples});
  }
  return list;
}

// Returns a value that is no number as NaN, which ServerSpeeds doesn't use.
double NumberFromJson(const Json& json) {
  return json.is_number() ? json.get<double>()
                          : std::numeric_limits<double>::quiet_NaN();
}

// Returns the KV tokens of an entry of outstanding work. Nodes of an earlier
// version don't send them; a value that can't be theirs counts as none.
double KvTokensOf(const Json& entry) {
  constexpr size_t kIndex = 3;
  constexpr double kMostTokens = 1e12;
  const double tokens =
      entry.size() > kIndex ? NumberFromJson(entry.at(kIndex)) : 0;
  return tokens >= 0 && tokens <= kMostTokens ? tokens : 0;
}

// Nodes of an earlier version don't send speeds.
SpeedReports SpeedsFromJson(const Json& json) {
  SpeedReports speeds;
  const auto found = json.find("speeds");
  if (found == json.end()) {
    return speeds;
  }
  for (const Json& entry : *found) {
    if (speeds.size() >= ServerSpeeds::kMaxReported) {
      break;
    }
    speeds[ServerId(entry.at(0))] = {.started_ms = entry.at(1),
                                     .rate = NumberFromJson(entry.at(2)),
                                     .samples = NumberFromJson(entry.at(3))};
  }
  return speeds;
}

Json VersionToJson(const StoreVersion& version) {
  return Json::array({version.epoch, version.revision});
}

StoreVersion VersionFromJson(const Json& json) {
  return {json.at(0), json.at(1)};
}

Json MembersToJson(const std::vector<MemberState>& members) {
  Json list = Json::array();
  for (const MemberState& member : members) {
    list.push_back({member.node, member.callers.host, member.callers.port,
                    member.ready, member.draining, member.config_version});
  }
  return list;
}

std::vector<MemberState> MembersFromJson(const Json& json) {
  std::vector<MemberState> members;
  for (const Json& entry : json) {
    members.push_back({.node = entry.at(0),
                       .callers = {entry.at(1), entry.at(2)},
                       .ready = entry.at(3),
                       .draining = entry.at(4),
                       .config_version = entry.at(5)});
  }
  return members;
}

// Returns kNode for a number that names no scope.
HeartbeatScope ScopeFromJson(const Json& json) {
  for (const auto& row : kEnumNames<HeartbeatScope>) {
    if (json == static_cast<int>(row.value)) {
      return row.value;
    }
  }
  return HeartbeatScope::kNode;
}

// Encodes an unknown time as null.
Json AgoToJson(const std::optional<Duration>& ago) {
  return ago ? Json(ago->count()) : Json();
}

std::optional<Duration> AgoFromJson(const Json& json) {
  return json.is_null() ? std::nullopt
                        : std::optional(Duration(json.get<int64_t>()));
}

StoreReachabilityReport ReachabilityFromJson(const Json& json) {
  // Nodes of an earlier version don't send the last two.
  return {.answered_ago = AgoFromJson(json.at("answered")),
          .recovered_ago = AgoFromJson(json.at("returned")),
          .failing_ago = AgoFromJson(json.value("failing", Json())),
          .steady_ago = AgoFromJson(json.value("steady", Json()))};
}

Json ConfirmationToJson(const std::optional<ConfirmationReport>& report) {
  return report ? Json::array(
                      {report->origin, report->number, report->ago.count()})
                : Json();
}

// Nodes of an earlier version don't send confirmations.
std::optional<ConfirmationReport> ConfirmationAt(const Json& json,
                                                 const char* key) {
  const auto found = json.find(key);
  if (found == json.end() || found->is_null()) {
    return std::nullopt;
  }
  return ConfirmationReport{.origin = found->at(0),
                            .number = found->at(1),
                            .ago = Duration(found->at(2).get<int64_t>())};
}

PeerHeartbeat FromJson(const Json& json) {
  PeerHeartbeat heartbeat;
  heartbeat.node = json.at("node");
  heartbeat.incarnation = json.at("inc");
  heartbeat.sequence = json.at("seq");
  heartbeat.uptime = Duration(json.at("up").get<int64_t>());
  heartbeat.wall_time = Duration(json.at("wall").get<int64_t>());
  heartbeat.ready = json.at("ready");
  heartbeat.draining = json.at("drain");
  heartbeat.caller_address = {json.at("host"), json.at("port")};
  heartbeat.config_version = json.at("config");
  heartbeat.config_confirmed = ConfirmationAt(json, "config_confirmed");
  if (const Json& epoch = json.at("epoch"); !epoch.is_null()) {
    heartbeat.store_epoch = epoch.get<uint64_t>();
  }
  heartbeat.failure_domain = FailureDomainId(json.at("domain"));
  heartbeat.scope = ScopeFromJson(json.at("scope"));
  heartbeat.covered_nodes = json.at("covers");
  heartbeat.relay = json.at("relay");
  heartbeat.leader = json.at("leader");
  heartbeat.follows_store = json.at("follows");
  heartbeat.members = MembersFromJson(json.at("members"));
  heartbeat.servers_version = VersionFromJson(json.at("servers"));
  if (const auto digest = json.find("servers_digest");
      digest != json.end() && !digest->is_null()) {
    heartbeat.servers_digest = digest->get<uint64_t>();
  }
  heartbeat.servers_confirmed = ConfirmationAt(json, "servers_confirmed");
  heartbeat.servers_changed = VersionFromJson(json.at("servers_changed"));
  heartbeat.nodes_changed = VersionFromJson(json.at("nodes_changed"));
  for (const Json& entry : json.at("leaving")) {
    heartbeat.departures.push_back({ServerId(entry.at(0)), entry.at(1)});
  }
  for (const auto& [server, pause] : json.at("paused").items()) {
    heartbeat.pauses[ServerId(server)] = Duration(pause.get<int64_t>());
  }
  heartbeat.rate_limits = RateLimitsFromJson(json);
  heartbeat.reported_window = json.at("reported");
  heartbeat.store_reachability = ReachabilityFromJson(json);
  for (const Json& entry : json.at("open")) {
    heartbeat.outstanding_work[ServerId(entry.at(0))] = {
        entry.at(1), entry.at(2).get<double>(), KvTokensOf(entry)};
  }
  for (const auto& [team, units] : json.at("totals").items()) {
    heartbeat.team_totals[TeamId(team)] = units;
  }
  for (const Json& entry : json.at("usage")) {
    TeamCounts& counts = heartbeat.usage[entry.at(0)];
    for (const auto& [team, count] : entry.at(1).items()) {
      counts[TeamId(team)] = count;
    }
  }
  heartbeat.crashes = CrashReportFromJson(json, MonotonicNow());
  heartbeat.prefill_rates =
      json.at("reading").get<std::map<std::string, double>>();
  heartbeat.server_speeds = SpeedsFromJson(json);
  // Nodes of an earlier version don't send rollouts.
  if (const auto rollouts = json.find("rollouts"); rollouts != json.end()) {
    heartbeat.rollouts = RolloutReportsFromJson(*rollouts);
  }
  return heartbeat;
}

// Whether all names and texts are valid UTF-8. MessagePack does not demand it,
// but the store's and the cloud's formats do, in which some of the names go out
// again.
bool HasOnlyUtf8(const Json& json) {
  if (json.is_string()) {
    return !FindInvalidUtf8(json.get_ref<const std::string&>());
  }
  if (json.is_object()) {
    return std::all_of(
        json.items().begin(), json.items().end(), [](const auto& item) {
          return !FindInvalidUtf8(item.key()) && HasOnlyUtf8(item.value());
        });
  }
  return !json.is_array() || std::all_of(json.begin(), json.end(), HasOnlyUtf8);
}

}  // namespace

std::string PeerHeartbeat::Encode() const {
  Json json{{"format", kFormat},
            {"node", node},
            {"inc", incarnation},
            {"seq", sequence},
            {"up", uptime.count()},
            {"wall", wall_time.count()},
            {"ready", ready},
            {"drain", draining},
            {"host", caller_address.host},
            {"port", caller_address.port},
            {"config", config_version},
            {"config_confirmed", ConfirmationToJson(config_confirmed)},
            {"epoch", store_epoch ? Json(*store_epoch) : Json()},
            {"domain", failure_domain.value()},
            {"scope", static_cast<int>(scope)},
            {"covers", covered_nodes},
            {"relay", relay},
            {"leader", leader},
            {"follows", follows_store},
            {"members", MembersToJson(members)},
            {"servers", VersionToJson(servers_version)},
            {"servers_digest", servers_digest ? Json(*servers_digest) : Json()},
            {"servers_confirmed", ConfirmationToJson(servers_confirmed)},
            {"servers_changed", VersionToJson(servers_changed)},
            {"nodes_changed", VersionToJson(nodes_changed)},
            {"leaving", DeparturesToJson(departures)},
            {"paused", PausesToJson(pauses)},
            {"limits", RateLimitsToJson(rate_limits)},
            {"reported", reported_window},
            {"answered", AgoToJson(store_reachability.answered_ago)},
            {"returned", AgoToJson(store_reachability.recovered_ago)},
            {"failing", AgoToJson(store_reachability.failing_ago)},
            {"steady", AgoToJson(store_reachability.steady_ago)},
            {"open", OutstandingWorkToJson(outstanding_work)},
            {"totals", TotalsToJson(team_totals)},
            {"usage", UsageToJson(usage)},
            {"rollouts", RolloutReportsToJson(rollouts)},
            {"reading", prefill_rates},
            {"speeds", SpeedsToJson(server_speeds)}};
  AddCrashReport(crashes, json);
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

Result<PeerHeartbeat> PeerHeartbeat::Decode(std::string_view bytes) {
  if (IsMessagePackTooDeep(bytes)) {
    return Error(ErrorKind::kPeerMalformed,
                 "heartbeat is no MessagePack, or too deep");
  }
  try {
    const Json json = Json::from_msgpack(bytes);
    if (json.at("format") != kFormat) {
      return Error(ErrorKind::kPeerMalformed, "unsupported heartbeat format");
    }
    if (!HasOnlyUtf8(json)) {
      return Error(ErrorKind::kPeerMalformed, "a name is not valid UTF-8");
    }
    return FromJson(json);
  } catch (const Json::exception& exception) {
    return Error(ErrorKind::kPeerMalformed, exception.what());
  }
}

}  // namespace qh
