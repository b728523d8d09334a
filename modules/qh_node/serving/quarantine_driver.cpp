#include "qh_node/serving/quarantine_driver.h"

#include <thread>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
constexpr Duration kTellTimeout = std::chrono::milliseconds(700);
// Content that is no suspect waits for a grant no longer than this, so that the
// loss of the arbiter holds nobody up.
constexpr Duration kMaxUnsuspectedWait = std::chrono::milliseconds(500);
constexpr size_t kMaxCalls = 32;

}  // namespace

QuarantineDriver::QuarantineDriver(const InstanceId& self,
                                   PeerClient& client,
                                   MembersHook members)
    : self_(self),
      client_(client),
      members_(std::move(members)),
      quarantine_(CrashQuarantine::Create(CrashQuarantineSettings())),
      calls_(kMaxCalls) {}

Result<ServerId> QuarantineDriver::Admit(
    const RequestSpec& spec,
    const ServerId& chosen,
    const std::vector<ServerId>& configured) {
  GrantRequest ask;
  ask.fingerprint = spec.fingerprint;
  ask.request_id = spec.id;
  ask.requester = self_;
  ask.server = chosen;
  ask.first_choice = FirstChoiceServer(spec.fingerprint, configured);
  const TimePoint started = MonotonicNow();
  while (MonotonicNow() < spec.deadline) {
    {
      const std::lock_guard lock(mutex_);
      const bool waited = MonotonicNow() >= started + kMaxUnsuspectedWait;
      if (waited && !quarantine_.IsSuspect(spec.fingerprint)) {
        return chosen;
      }
      const QuarantineVerdict verdict = quarantine_.Check(
          spec.fingerprint, chosen == ask.first_choice, MonotonicNow());
      if (verdict == QuarantineVerdict::kRefuse) {
        break;
      }
      if (verdict == QuarantineVerdict::kRun) {
        return chosen;
      }
      const SuspicionRecord known = quarantine_.RecordFor(spec.fingerprint);
      ask.round = known.round;
      ask.crashed = known.crashed;
      // Every earlier ask of this request has no run any more.
      ask.last_ended = asks_[spec.id]++;
      ask.number = ask.last_ended + 1;
    }
    const auto arbiter = Arbiter();
    const GrantAnswer answer =
        arbiter ? AskArbiter(*arbiter, ask) : GrantAnswer();
    if (answer.decision == GrantDecision::kRefuse) {
      break;
    }
    if (answer.decision == GrantDecision::kRun) {
      if (!ask.crashed.empty()) {
        const GrantedRun run = {spec.id, spec.fingerprint, answer.server};
        TellAll(PeerCallKind::kGrantedRun, run.Encode());
      }
      return answer.server;
    }
    std::this_thread::sleep_for(kGrantRetryDelay);
  }
  if (MonotonicNow() >= spec.deadline) {
    return Error(ErrorKind::kDeadlineUnreachable, "no grant in time");
  }
  return Error(ErrorKind::kQuarantined, "crashed backend servers");
}

GrantAnswer QuarantineDriver::AskArbiter(const Member& arbiter,
                                         const GrantRequest& ask) {
  if (arbiter.id == self_) {
    return Grant(ask);
  }
  const auto reply = client_.Call(
      arbiter.peers, {PeerCallKind::kGrant, ask.Encode()}, kAskTimeout);
  if (!reply) {
    return {};
  }
  const auto answer = GrantAnswer::Decode(reply.value());
  return answer ? answer.value() : GrantAnswer();
}

GrantAnswer QuarantineDriver::Grant(const GrantRequest& ask) {
  const std::lock_guard lock(mutex_);
  if (!arbiter_) {
    return {};
  }
  return arbiter_->RequestGrant(ask, quarantine_, MonotonicNow());
}

void QuarantineDriver::EndGrant(const GrantEnd& end) {
  const std::lock_guard lock(mutex_);
  quarantine_.OnRemoteRunEnded(end.request_id);
  if (arbiter_) {
    arbiter_->OnRunEnded(end, quarantine_, MonotonicNow());
  }
}

bool QuarantineDriver::SuspectElsewhere(const ServerId& server) {
  const std::lock_guard lock(mutex_);
  return quarantine_.HasRemoteSuspect(server, MonotonicNow());
}

void QuarantineDriver::OnDispatched(const RequestSpec& spec,
                                    const ServerId& server) {
  const std::lock_guard lock(mutex_);
  quarantine_.OnDispatched(spec.fingerprint, server);
}

void QuarantineDriver::OnEnded(const RequestSpec& spec,
                               const ServerId& server,
                               bool whole) {
  std::vector<SuspicionRecord> cleared;
  std::optional<GrantEnd> end;
  {
    const std::lock_guard lock(mutex_);
    quarantine_.OnEnded(spec.fingerprint, server);
    if (whole) {
      quarantine_.OnServerStarted(server);
    }
    if (whole && quarantine_.IsSuspect(spec.fingerprint)) {
      quarantine_.OnSuspectCompleted(spec.fingerprint, MonotonicNow());
      cleared.push_back(quarantine_.RecordFor(spec.fingerprint));
    }
    const auto ask = asks_.extract(spec.id);
    if (!ask.empty()) {
      end = GrantEnd{spec.id, ask.mapped(),
                     quarantine_.RecordFor(spec.fingerprint)};
    }
  }
  Tell(cleared);
  if (end) {
    EndGrant(*end);
    TellAll(PeerCallKind::kGrantEnd, end->Encode());
  }
}

void QuarantineDriver::OnServerDied(const BackendServer& server,
                                    ServerDeath death) {
  std::vector<SuspicionRecord> changed;
  {
    const std::lock_guard lock(mutex_);
    if (quarantine_.IsDead(server.id)) {
      return;
    }
    const TimePoint now = MonotonicNow();
    changed =
        quarantine_.OnServerDied(server.id, server.failure_domain, death, now);
    if (arbiter_ && death == ServerDeath::kSudden) {
      arbiter_->OnServerDied(server.id, quarantine_, now);
    }
  }
  LogLine("server_died")
      .With("server", server.id.value())
      .With("death", ToName(death))
      .With("suspects", changed.size())
      .Warning();
  Tell(changed);
}

void QuarantineDriver::Tell(const std::vector<SuspicionRecord>& records) {
  for (const SuspicionRecord& record : records) {
    TellAll(PeerCallKind::kSuspicion, record.Encode());
  }
}

void QuarantineDriver::TellAll(PeerCallKind kind, const std::string& body) {
  for (const Member& member : LiveMembers()) {
    if (member.id == self_) {
      continue;
    }
    calls_.Run([this, kind, body, peer = member.peers] {
      const auto told = client_.Call(peer, {kind, body}, kTellTimeout);
      if (!told) {
        LogLine("quarantine_not_told")
            .With("kind", ToName(kind))
            .With(told.error())
            .Warning();
      }
    });
  }
}

Result<std::string> QuarantineDriver::OnGrantCall(const std::string& body) {
  BOOST_OUTCOME_TRY(ask, GrantRequest::Decode(body));
  return Grant(ask).Encode();
}

Result<std::string> QuarantineDriver::OnGrantEndCall(const std::string& body) {
  BOOST_OUTCOME_TRY(end, GrantEnd::Decode(body));
  EndGrant(end);
  return std::string();
}

Result<std::string> QuarantineDriver::OnGrantedRunCall(
    const std::string& body) {
  BOOST_OUTCOME_TRY(run, GrantedRun::Decode(body));
  const std::lock_guard lock(mutex_);
  quarantine_.OnRemoteRunGranted(run, MonotonicNow());
  return std::string();
}

Result<std::string> QuarantineDriver::OnSuspicionCall(const std::string& body) {
  BOOST_OUTCOME_TRY(record, SuspicionRecord::Decode(body));
  const std::lock_guard lock(mutex_);
  quarantine_.Merge(record, MonotonicNow());
  return std::string();
}

void QuarantineDriver::Tick() {
  std::vector<InstanceId> dead;
  for (const Member& member : members_()) {
    if (member.state == MemberState::kDead) {
      dead.push_back(member.id);
    }
  }
  const auto arbiter = Arbiter();
  const TimePoint now = MonotonicNow();
  const std::lock_guard lock(mutex_);
  quarantine_.Tick(now);
  quarantine_.Expire(now);
  if (!arbiter || arbiter->id != self_) {
    arbiter_.reset();
    return;
  }
  if (!arbiter_) {
    arbiter_ = CrashArbiter::Create(CrashArbiterSettings(), now);
  }
  for (const InstanceId& member : dead) {
    arbiter_->OnMemberDied(member, now);
  }
}

std::vector<Member> QuarantineDriver::LiveMembers() const {
  std::vector<Member> live = members_();
  std::erase_if(live, [](const Member& member) {
    return member.state == MemberState::kDead;
  });
  return live;
}

std::optional<Member> QuarantineDriver::Arbiter() const {
  const std::vector<Member> members = LiveMembers();
  std::vector<InstanceId> ids;
  for (const Member& member : members) {
    if (member.state != MemberState::kLeaving) {
      ids.push_back(member.id);
    }
  }
  const InstanceId id = SelectCrashArbiter(ids);
  for (const Member& member : members) {
    if (member.id == id) {
      return member;
    }
  }
  return std::nullopt;
}

}  // namespace qh
