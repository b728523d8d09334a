#include "qh_gateway/control/peer_heartbeat.h"

#include <nlohmann/json.hpp>

namespace qh {
namespace {

using Json = nlohmann::json;

// Raised when the meaning of a field changes; others are then ignored.
constexpr int kFormat = 1;

Json OpenWorkToJson(const OutstandingWorkByServer& work) {
  Json list = Json::array();
  for (const auto& [server, open] : work) {
    list.push_back({server.value(), open.requests,
                    static_cast<uint64_t>(open.prefill_tokens)});
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

// A time that is not known is written as null.
Json AgoToJson(const std::optional<Duration>& ago) {
  return ago ? Json(ago->count()) : Json();
}

std::optional<Duration> AgoFromJson(const Json& json) {
  return json.is_null() ? std::nullopt
                        : std::optional(Duration(json.get<int64_t>()));
}

PeerHeartbeat FromJson(const Json& json) {
  PeerHeartbeat news;
  news.node = json.at("node");
  news.incarnation = json.at("inc");
  news.sequence = json.at("seq");
  news.uptime = Duration(json.at("up").get<int64_t>());
  news.wall = Duration(json.at("wall").get<int64_t>());
  news.ready = json.at("ready");
  news.draining = json.at("drain");
  news.callers = {json.at("host"), json.at("port")};
  news.config_version = json.at("config");
  news.servers_revision = json.at("servers");
  news.store = {AgoFromJson(json.at("answered")),
                AgoFromJson(json.at("returned"))};
  for (const Json& entry : json.at("open")) {
    news.open_work[ServerId(entry.at(0))] = {entry.at(1),
                                             entry.at(2).get<double>()};
  }
  for (const auto& [team, units] : json.at("totals").items()) {
    news.team_totals[TeamId(team)] = units;
  }
  for (const Json& entry : json.at("usage")) {
    TeamCounts& counts = news.usage[entry.at(0)];
    for (const auto& [team, count] : entry.at(1).items()) {
      counts[TeamId(team)] = count;
    }
  }
  for (const Json& entry : json.at("crash")) {
    news.crash_marks.push_back({entry.at(0), entry.at(1)});
  }
  news.reading = json.at("reading").get<std::map<std::string, double>>();
  return news;
}

}  // namespace

std::string PeerHeartbeat::Encode() const {
  Json marks = Json::array();
  for (const CrashRecord& mark : crash_marks) {
    marks.push_back({mark.content, mark.server});
  }
  const Json json{{"format", kFormat},
                  {"node", node},
                  {"inc", incarnation},
                  {"seq", sequence},
                  {"up", uptime.count()},
                  {"wall", wall.count()},
                  {"ready", ready},
                  {"drain", draining},
                  {"host", callers.host},
                  {"port", callers.port},
                  {"config", config_version},
                  {"servers", servers_revision},
                  {"answered", AgoToJson(store.answered_ago)},
                  {"returned", AgoToJson(store.recovered_ago)},
                  {"open", OpenWorkToJson(open_work)},
                  {"totals", TotalsToJson(team_totals)},
                  {"usage", UsageToJson(usage)},
                  {"crash", marks},
                  {"reading", reading}};
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

Result<PeerHeartbeat> PeerHeartbeat::Decode(std::string_view bytes) {
  try {
    const Json json = Json::from_msgpack(bytes);
    if (json.at("format") != kFormat) {
      return Error(ErrorKind::kPeerMalformed, "another format");
    }
    return FromJson(json);
  } catch (const Json::exception& exception) {
    return Error(ErrorKind::kPeerMalformed, exception.what());
  }
}

}  // namespace qh
