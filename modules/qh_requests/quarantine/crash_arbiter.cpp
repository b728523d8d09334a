#include "qh_requests/quarantine/crash_arbiter.h"

#include <algorithm>

#include "qh_core/hash/hash.h"
#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

constexpr std::string_view kArbiterRole = "crash-arbiter";

}  // namespace

InstanceId SelectCrashArbiter(const std::vector<InstanceId>& members) {
  InstanceId arbiter;
  uint64_t largest = 0;
  const uint64_t key = Hash64(kArbiterRole);
  for (const InstanceId& member : members) {
    const uint64_t weight = RendezvousWeight(key, member.value());
    if (arbiter.empty() || weight > largest) {
      arbiter = member;
      largest = weight;
    }
  }
  return arbiter;
}

std::string GrantRequest::Encode() const {
  std::vector<std::string> servers;
  for (const ServerId& id : crashed) {
    servers.push_back(id.value());
  }
  return FieldMap()
      .Set("print", fingerprint)
      .Set("request", request_id.value())
      .Set("number", number)
      .Set("ended", last_ended)
      .Set("by", requester.value())
      .Set("server", server.value())
      .Set("first", first_choice.value())
      .Set("round", round)
      .Set("crashed", std::move(servers))
      .Encode();
}

Result<GrantRequest> GrantRequest::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(fingerprint, fields.RequiredText("print"));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("request"));
  BOOST_OUTCOME_TRY(server, fields.RequiredText("server"));
  GrantRequest request;
  request.fingerprint = fingerprint;
  request.request_id = RequestId(request_id);
  request.number = fields.Number("number");
  request.last_ended = fields.Number("ended");
  request.server = ServerId(server);
  request.requester = InstanceId(fields.Text("by"));
  request.first_choice = ServerId(fields.Text("first"));
  request.round = fields.Number("round");
  for (const std::string& id : fields.List("crashed")) {
    request.crashed.insert(ServerId(id));
  }
  return request;
}

std::string GrantAnswer::Encode() const {
  return FieldMap()
      .Set("request", request_id.value())
      .Set("number", number)
      .Set("decision", std::string(ToName(decision)))
      .Set("server", server.value())
      .Encode();
}

Result<GrantAnswer> GrantAnswer::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("request"));
  GrantAnswer answer;
  answer.request_id = RequestId(request_id);
  answer.number = fields.Number("number");
  answer.decision = FromName<GrantDecision>(fields.Text("decision"))
                        .value_or(GrantDecision::kWait);
  answer.server = ServerId(fields.Text("server"));
  return answer;
}

std::string GrantEnd::Encode() const {
  return FieldMap()
      .Set("request", request_id.value())
      .Set("number", number)
      .Set("record", record.fingerprint.empty() ? "" : record.Encode())
      .Encode();
}

Result<GrantEnd> GrantEnd::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request_id, fields.RequiredText("request"));
  GrantEnd end;
  end.request_id = RequestId(request_id);
  end.number = fields.Number("number");
  if (!fields.Text("record").empty()) {
    BOOST_OUTCOME_TRY(record, SuspicionRecord::Decode(fields.Text("record")));
    end.record = record;
  }
  return end;
}

CrashArbiter CrashArbiter::Create(CrashArbiterSettings settings,
                                  TimePoint now) {
  return {settings, now};
}

CrashArbiter::CrashArbiter(CrashArbiterSettings settings, TimePoint start)
    : settings_(settings), start_(start) {}

std::optional<TimePoint> CrashArbiter::LatestDeathTime(
    const ServerId& server,
    const CrashQuarantine& quarantine) const {
  const auto death = quarantine.LastSuddenDeath(server);
  const auto reported = reported_crashes_.find(server);
  if (reported != reported_crashes_.end() &&
      (!death || reported->second > *death)) {
    return reported->second;
  }
  return death;
}

bool CrashArbiter::HasSettled(const GrantRequest& request,
                              const CrashQuarantine& quarantine,
                              TimePoint now) const {
  if (now - start_ < settings_.takeover_time) {
    return false;
  }
  const std::set<ServerId> crashes =
      quarantine.CrashedServers(request.fingerprint);
  for (const ServerId& server : crashes) {
    const auto crash = LatestDeathTime(server, quarantine);
    if (crash && now - *crash < settings_.settle_time) {
      return false;
    }
  }
  const auto death = LatestDeathTime(request.first_choice, quarantine);
  if (!death) {
    return true;
  }
  const bool only_elsewhere =
      !crashes.empty() && !crashes.contains(request.first_choice);
  return now - *death >= (only_elsewhere ? settings_.suspect_settle_time
                                         : settings_.settle_time);
}

bool CrashArbiter::WouldShareWithSuspect(
    const ServerId& server,
    const std::string& fingerprint,
    const CrashQuarantine& quarantine) const {
  const bool suspect = quarantine.IsSuspect(fingerprint);
  return std::any_of(grants_.begin(), grants_.end(), [&](const auto& item) {
    const Grant& grant = item.second;
    return grant.server == server && grant.fingerprint != fingerprint &&
           (suspect || quarantine.IsSuspect(grant.fingerprint));
  });
}

void CrashArbiter::MergeKnown(const GrantRequest& request,
                              CrashQuarantine& quarantine,
                              TimePoint now) {
  for (const ServerId& server : request.crashed) {
    reported_crashes_.emplace(server, now);
  }
  // Content that was cleared names no server, but a later round.
  if (!request.crashed.empty() || request.round > 0) {
    quarantine.Merge({.fingerprint = request.fingerprint,
                      .round = request.round,
                      .crashed = request.crashed},
                     now);
  }
}

GrantAnswer CrashArbiter::RequestGrant(const GrantRequest& request,
                                       CrashQuarantine& quarantine,
                                       TimePoint now) {
  GrantAnswer answer = {.request_id = request.request_id,
                        .number = request.number,
                        .server = request.server};
  std::erase_if(grants_, [&](const auto& item) {
    return item.second.until && now >= *item.second.until;
  });
  const auto earlier = grants_.find(request.request_id);
  if (earlier != grants_.end()) {
    if (earlier->second.number > request.last_ended) {
      return answer;
    }
    grants_.erase(earlier);
  }
  MergeKnown(request, quarantine, now);
  if (quarantine.IsBlocked(request.fingerprint)) {
    answer.decision = GrantDecision::kRefuse;
    return answer;
  }
  const bool suspect = quarantine.IsSuspect(request.fingerprint);
  const bool first_choice_gone =
      reported_crashes_.contains(request.first_choice) ||
      quarantine.IsDead(request.first_choice) ||
      quarantine.CrashedServers(request.fingerprint)
          .contains(request.first_choice);
  if (suspect && !first_choice_gone) {
    answer.server = request.first_choice;
  }
  const auto running =
      std::find_if(grants_.begin(), grants_.end(), [&](const auto& item) {
        return item.second.fingerprint == request.fingerprint;
      });
  if (running != grants_.end()) {
    if (suspect) {
      return answer;
    }
    answer.server = running->second.server;
  } else if (quarantine.CrashedServers(request.fingerprint)
                 .contains(answer.server) ||
             !HasSettled(request, quarantine, now) ||
             WouldShareWithSuspect(answer.server, request.fingerprint,
                                   quarantine)) {
    return answer;
  }
  answer.decision = GrantDecision::kRun;
  grants_[request.request_id] = {.number = request.number,
                                 .fingerprint = request.fingerprint,
                                 .requester = request.requester,
                                 .server = answer.server};
  return answer;
}

void CrashArbiter::OnRunEnded(const GrantEnd& end,
                              CrashQuarantine& quarantine,
                              TimePoint now) {
  if (!end.record.fingerprint.empty()) {
    quarantine.Merge(end.record, now);
  }
  const auto it = grants_.find(end.request_id);
  if (it != grants_.end() && it->second.number == end.number) {
    grants_.erase(it);
  }
}

void CrashArbiter::OnServerDied(const ServerId& server,
                                CrashQuarantine& quarantine,
                                TimePoint now) {
  for (auto it = grants_.begin(); it != grants_.end();) {
    if (it->second.server != server) {
      ++it;
      continue;
    }
    SuspicionRecord record = quarantine.RecordFor(it->second.fingerprint);
    record.crashed.insert(server);
    quarantine.Merge(record, now);
    it = grants_.erase(it);
  }
}

void CrashArbiter::OnMemberDied(const InstanceId& member, TimePoint now) {
  for (auto& [request, grant] : grants_) {
    if (grant.requester == member && !grant.until) {
      grant.until = now + settings_.takeover_time;
    }
  }
}

}  // namespace qh
