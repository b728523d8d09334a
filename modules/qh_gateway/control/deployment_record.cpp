#include "qh_gateway/control/deployment_record.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "qh_core/text/bounded_json.h"

namespace qh {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kKind = "deployment-records";
constexpr const char* kName = "recent";
// Members of the record: wall-clock time since 1970, number of nodes, and units
// by team.
constexpr const char* kRecorded = "recorded_ms";
constexpr const char* kNodes = "nodes";
constexpr const char* kUnits = "units";

constexpr int kOk = 200;
constexpr int kFirstNonSuccess = 300;
constexpr int kNotFound = 404;

// The number of nodes changes more slowly than the use of limits, and is used
// for this long.
constexpr Duration kNodesLifetime = std::chrono::minutes(1);

// The clocks of the writer and of the reader may differ by this much.
constexpr Duration kClockSlack = std::chrono::milliseconds(250);

// Returns when the record was made, as wall-clock time since 1970. Fails with
// kPeerMalformed.
Result<Duration> ReadRecorded(const Json& json) {
  constexpr int64_t kMaxMs =
      std::chrono::duration_cast<milliseconds>(Duration::max()).count();
  if (!json.is_number_integer() || json.get<int64_t>() < 0 ||
      json.get<int64_t>() > kMaxMs) {
    return Error(ErrorKind::kPeerMalformed, "record has no possible time");
  }
  return Duration(milliseconds(json.get<int64_t>()));
}

// Returns the recorded number of nodes. Fails with kPeerMalformed.
Result<size_t> ReadNodes(const Json& json) {
  if (!json.is_number_unsigned() || json.get<uint64_t>() == 0 ||
      json.get<uint64_t>() > DeploymentSize::kAssumedNodes) {
    return Error(ErrorKind::kPeerMalformed, "record has no number of nodes");
  }
  return json.get<size_t>();
}

// Returns the parts of one team's use. Fails with kPeerMalformed.
Result<std::vector<double>> ReadParts(const Json& json) {
  std::vector<double> parts;
  if (!json.is_array() || json.size() > TeamRateLimiter::kHistoryParts) {
    return Error(ErrorKind::kPeerMalformed, "use of a team is not a list");
  }
  for (const Json& part : json) {
    const double units = part.is_number() ? part.get<double>() : -1;
    if (!std::isfinite(units) || units < 0) {
      return Error(ErrorKind::kPeerMalformed, "use of a team is no number");
    }
    parts.push_back(units);
  }
  return parts;
}

}  // namespace

DeploymentRecord::DeploymentRecord(GatewayState& state)
    : state_(state),
      connection_(state.io,
                  state.settings.store_address,
                  state.codec.store,
                  state.store_epoch,
                  state.byte_budget) {}

void DeploymentRecord::Start() {
  started_at_ = MonotonicNow();
  Read();
}

void DeploymentRecord::OnTick(TimePoint now, bool is_writer) {
  if (stopped_ || call_open_ || now < no_call_before_) {
    return;
  }
  // Within a window after its start a node still assumes use that it has not
  // seen. A record of that would add up over several restarts.
  const bool has_seen_window = now - started_at_ > state_.settings.limit_window;
  if (!read_done_ && !has_seen_window) {
    Read();
    return;
  }
  if (is_writer && has_seen_window) {
    Write(now);
  }
}

void DeploymentRecord::Stop() {
  stopped_ = true;
  connection_.Reset();
}

void DeploymentRecord::Read() {
  call_open_ = true;
  connection_.Send(state_.codec.store.get(kKind, kName), kCallTimeout,
                   [this](const CallReply& reply) { OnRead(reply); });
}

void DeploymentRecord::OnRead(const CallReply& reply) {
  call_open_ = false;
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  read_done_ = answered && (reply.status == kOk || reply.status == kNotFound);
  if (!read_done_) {
    no_call_before_ = MonotonicNow() + kRetryDelay;
    return;
  }
  if (reply.status == kNotFound) {
    return;
  }
  const auto object = state_.codec.store.read_object(reply.body);
  const Result<void> taken =
      object ? TakeOver(object.value().content) : Result<void>(object.error());
  if (!taken) {
    state_.log.Write(LogLine(ToName(GatewayEvent::kDeploymentRecordRead))
                         .With("outcome", "ignored")
                         .With(taken.error()),
                     GatewayEvent::kDeploymentRecordRead);
  }
}

Result<void> DeploymentRecord::TakeOver(const std::string& content) {
  const Json json = ParseBoundedJson(content);
  if (!json.is_object() || !json.contains(kRecorded) ||
      !json.contains(kUnits) || !json[kUnits].is_object()) {
    return Error(ErrorKind::kPeerMalformed, "deployment record is malformed");
  }
  BOOST_OUTCOME_TRY(recorded, ReadRecorded(json[kRecorded]));
  BOOST_OUTCOME_TRY(nodes, ReadNodes(json.value(kNodes, Json())));
  const TimePoint now = MonotonicNow();
  const Duration wall = state_.wall_clock.Now(now);
  const Duration ago = wall - recorded;
  if (ago < -kClockSlack || ago > kNodesLifetime) {
    return Error(ErrorKind::kPeerMalformed,
                 "deployment record was made " +
                     std::to_string(ToMilliseconds(ago)) + " ms ago");
  }
  TeamUseHistory history;
  for (const auto& [team, units] : json[kUnits].items()) {
    BOOST_OUTCOME_TRY(parts, ReadParts(units));
    history[TeamId(team)] = parts;
  }
  const Duration age = std::max<Duration>(ago, Duration::zero()) + kClockSlack;
  state_.recorded_nodes = nodes;
  if (!state_.peers_known) {
    // What is left of the limits is divided by the number of nodes.
    const size_t peers = state_.budget_nodes() - 1;
    state_.team_rate_limiter.SetPeers(peers, peers, now);
  }
  state_.team_rate_limiter.OnRecordedUse(history, age, now);
  state_.log.Write(LogLine(ToName(GatewayEvent::kDeploymentRecordRead))
                       .With("outcome", "taken")
                       .With("teams", history.size())
                       .With("nodes", nodes)
                       .With("age_ms", ToMilliseconds(age)),
                   GatewayEvent::kDeploymentRecordRead);
  return Ok();
}

void DeploymentRecord::Write(TimePoint now) {
  const TeamUseHistory history = state_.team_rate_limiter.History(now);
  if (history.empty() || !state_.peers_known) {
    return;
  }
  no_call_before_ = now + kWriteInterval;
  call_open_ = true;
  const std::string content = Encode(history, now);
  connection_.Send(
      state_.codec.store.replace(kKind, {.name = kName, .content = content}),
      kCallTimeout, [this, content](const CallReply& reply) {
        const bool is_missing = reply.outcome == HttpCallOutcome::kAnswered &&
                                reply.status == kNotFound;
        if (is_missing) {
          Create(content);
        } else {
          OnWritten(reply);
        }
      });
}

void DeploymentRecord::Create(const std::string& content) {
  connection_.Send(
      state_.codec.store.create(kKind, {.name = kName, .content = content}),
      kCallTimeout, [this](const CallReply& reply) { OnWritten(reply); });
}

void DeploymentRecord::OnWritten(const CallReply& reply) {
  call_open_ = false;
  const bool written = reply.outcome == HttpCallOutcome::kAnswered &&
                       reply.status < kFirstNonSuccess;
  if (!written) {
    state_.metrics.Count({.name = "gateway_deployment_record_failures_total"});
  }
}

std::string DeploymentRecord::Encode(const TeamUseHistory& history,
                                     TimePoint now) const {
  Json units = Json::object();
  for (const auto& [team, parts] : history) {
    Json list = Json::array();
    for (const double part : parts) {
      list.push_back(std::round(std::max(0.0, part)));
    }
    units[team.value()] = std::move(list);
  }
  const auto recorded =
      std::chrono::duration_cast<milliseconds>(state_.wall_clock.Now(now));
  return Json{{kRecorded, recorded.count()},
              {kNodes, state_.node_count()},
              {kUnits, std::move(units)}}
      .dump();
}

}  // namespace qh
