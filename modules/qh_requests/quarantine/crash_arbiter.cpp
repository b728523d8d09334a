#include "qh_requests/quarantine/crash_arbiter.h"

#include <algorithm>

#include "qh_core/hash/hash.h"
#include "qh_requests/wire/field_map.h"

namespace qh {
namespace {

constexpr std::string_view kArbiterRole = "crash-arbiter";

}  // namespace

InstanceId ArbiterOf(const std::vector<InstanceId>& members) {
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

std::string GrantAsk::Encode() const {
  std::vector<std::string> servers;
  for (const ServerId& id : crashed) {
    servers.push_back(id.value());
  }
  return FieldMap()
      .Set("print", fingerprint)
      .Set("request", request.value())
      .Set("number", number)
      .Set("ended", ended)
      .Set("by", asker.value())
      .Set("server", server.value())
      .Set("first", first_choice.value())
      .Set("round", round)
      .Set("crashed", std::move(servers))
      .Encode();
}

Result<GrantAsk> GrantAsk::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(fingerprint, fields.RequiredText("print"));
  BOOST_OUTCOME_TRY(request, fields.RequiredText("request"));
  BOOST_OUTCOME_TRY(server, fields.RequiredText("server"));
  GrantAsk ask;
  ask.fingerprint = fingerprint;
  ask.request = RequestId(request);
  ask.number = fields.Number("number");
  ask.ended = fields.Number("ended");
  ask.server = ServerId(server);
  ask.asker = InstanceId(fields.Text("by"));
  ask.first_choice = ServerId(fields.Text("first"));
  ask.round = fields.Number("round");
  for (const std::string& id : fields.List("crashed")) {
    ask.crashed.insert(ServerId(id));
  }
  return ask;
}

std::string GrantAnswer::Encode() const {
  return FieldMap()
      .Set("request", request.value())
      .Set("number", number)
      .Set("decision", std::string(ToName(decision)))
      .Set("server", server.value())
      .Encode();
}

Result<GrantAnswer> GrantAnswer::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request, fields.RequiredText("request"));
  GrantAnswer answer;
  answer.request = RequestId(request);
  answer.number = fields.Number("number");
  answer.decision = FromName<GrantDecision>(fields.Text("decision"))
                        .value_or(GrantDecision::kWait);
  answer.server = ServerId(fields.Text("server"));
  return answer;
}

std::string GrantEnd::Encode() const {
  return FieldMap()
      .Set("request", request.value())
      .Set("number", number)
      .Set("record", record.fingerprint.empty() ? "" : record.Encode())
      .Encode();
}

Result<GrantEnd> GrantEnd::Decode(std::string_view bytes) {
  BOOST_OUTCOME_TRY(fields, FieldMap::Decode(bytes));
  BOOST_OUTCOME_TRY(request, fields.RequiredText("request"));
  GrantEnd end;
  end.request = RequestId(request);
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

std::optional<TimePoint> CrashArbiter::DeathKnown(
    const ServerId& server,
    const CrashQuarantine& knowledge) const {
  const auto death = knowledge.SuddenDeath(server);
  const auto heard = heard_.find(server);
  if (heard != heard_.end() && (!death || heard->second > *death)) {
    return heard->second;
  }
  return death;
}

bool CrashArbiter::Settled(const GrantAsk& ask,
                           const CrashQuarantine& knowledge,
                           TimePoint now) const {
  if (now - start_ < settings_.takeover) {
    return false;
  }
  const std::set<ServerId> crashes = knowledge.Crashes(ask.fingerprint);
  for (const ServerId& server : crashes) {
    const auto crash = DeathKnown(server, knowledge);
    if (crash && now - *crash < settings_.settle) {
      return false;
    }
  }
  const auto death = DeathKnown(ask.first_choice, knowledge);
  if (!death) {
    return true;
  }
  const bool only_elsewhere =
      !crashes.empty() && !crashes.contains(ask.first_choice);
  return now - *death >=
         (only_elsewhere ? settings_.suspect_settle : settings_.settle);
}

bool CrashArbiter::WouldShare(const ServerId& server,
                              const std::string& fingerprint,
                              const CrashQuarantine& knowledge) const {
  const bool suspect = knowledge.IsSuspect(fingerprint);
  return std::any_of(grants_.begin(), grants_.end(), [&](const auto& item) {
    const Grant& grant = item.second;
    return grant.server == server && grant.fingerprint != fingerprint &&
           (suspect || knowledge.IsSuspect(grant.fingerprint));
  });
}

void CrashArbiter::Learn(const GrantAsk& ask,
                         CrashQuarantine& knowledge,
                         TimePoint now) {
  for (const ServerId& server : ask.crashed) {
    heard_.emplace(server, now);
  }
  // Content that was cleared names no server, but a later round.
  if (!ask.crashed.empty() || ask.round > 0) {
    knowledge.Merge({.fingerprint = ask.fingerprint,
                     .round = ask.round,
                     .crashed = ask.crashed},
                    now);
  }
}

GrantAnswer CrashArbiter::Ask(const GrantAsk& ask,
                              CrashQuarantine& knowledge,
                              TimePoint now) {
  GrantAnswer answer = {
      .request = ask.request, .number = ask.number, .server = ask.server};
  std::erase_if(grants_, [&](const auto& item) {
    return item.second.until && now >= *item.second.until;
  });
  const auto earlier = grants_.find(ask.request);
  if (earlier != grants_.end()) {
    if (earlier->second.number > ask.ended) {
      return answer;
    }
    grants_.erase(earlier);
  }
  Learn(ask, knowledge, now);
  if (knowledge.IsCondemned(ask.fingerprint)) {
    answer.decision = GrantDecision::kRefuse;
    return answer;
  }
  const bool suspect = knowledge.IsSuspect(ask.fingerprint);
  const bool first_choice_gone =
      heard_.contains(ask.first_choice) || knowledge.IsGone(ask.first_choice) ||
      knowledge.Crashes(ask.fingerprint).contains(ask.first_choice);
  if (suspect && !first_choice_gone) {
    answer.server = ask.first_choice;
  }
  const auto running =
      std::find_if(grants_.begin(), grants_.end(), [&](const auto& item) {
        return item.second.fingerprint == ask.fingerprint;
      });
  if (running != grants_.end()) {
    if (suspect) {
      return answer;
    }
    answer.server = running->second.server;
  } else if (knowledge.Crashes(ask.fingerprint).contains(answer.server) ||
             !Settled(ask, knowledge, now) ||
             WouldShare(answer.server, ask.fingerprint, knowledge)) {
    return answer;
  }
  answer.decision = GrantDecision::kRun;
  grants_[ask.request] = {.number = ask.number,
                          .fingerprint = ask.fingerprint,
                          .asker = ask.asker,
                          .server = answer.server};
  return answer;
}

void CrashArbiter::OnEnded(const GrantEnd& end,
                           CrashQuarantine& knowledge,
                           TimePoint now) {
  if (!end.record.fingerprint.empty()) {
    knowledge.Merge(end.record, now);
  }
  const auto it = grants_.find(end.request);
  if (it != grants_.end() && it->second.number == end.number) {
    grants_.erase(it);
  }
}

void CrashArbiter::OnServerDied(const ServerId& server,
                                CrashQuarantine& knowledge,
                                TimePoint now) {
  for (auto it = grants_.begin(); it != grants_.end();) {
    if (it->second.server != server) {
      ++it;
      continue;
    }
    SuspicionRecord record = knowledge.RecordOf(it->second.fingerprint);
    record.crashed.insert(server);
    knowledge.Merge(record, now);
    it = grants_.erase(it);
  }
}

void CrashArbiter::OnMemberDied(const InstanceId& member, TimePoint now) {
  for (auto& [request, grant] : grants_) {
    if (grant.asker == member && !grant.until) {
      grant.until = now + settings_.takeover;
    }
  }
}

}  // namespace qh
