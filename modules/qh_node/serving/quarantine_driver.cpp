#include "qh_node/serving/quarantine_driver.h"

#include <thread>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kGrantTimeout = std::chrono::milliseconds(300);
constexpr Duration kAnnouncementTimeout = std::chrono::milliseconds(700);
// Maximum wait for a grant for content that is not suspect, so that the loss of
// the arbiter does not block it.
constexpr Duration kMaxUnsuspectedWait = std::chrono::milliseconds(500);
constexpr size_t kMaxConcurrentCalls = 32;

}  // namespace

QuarantineDriver::QuarantineDriver(const InstanceId& self,
                                   PeerClient& client,
                                   MembersHook members)
    : self_(self),
      client_(client),
      members_(std::move(members)),
      quarantine_(CrashQuarantine::Create(CrashQuarantineSettings())),
      calls_(kMaxConcurrentCalls) {}

Result<ServerId> QuarantineDriver::Admit(
    const RequestSpec& spec,
    const ServerId& chosen,
    const std::vector<ServerId>& configured) {
  GrantRequest request;
  request.fingerprint = spec.fingerprint;
  request.request_id = spec.id;
  request.requester = self_;
  request.server = chosen;
  request.first_choice = FirstChoiceServer(spec.fingerprint, configured);
  const TimePoint start = MonotonicNow();
  while (MonotonicNow() < spec.deadline) {
    {
      const std::lock_guard lock(mutex_);
      const bool waited_long = MonotonicNow() >= start + kMaxUnsuspectedWait;
      if (waited_long && !quarantine_.IsSuspect(spec.fingerprint)) {
        return chosen;
      }
      const QuarantineVerdict verdict = quarantine_.Check(
          spec.fingerprint, chosen == request.first_choice, MonotonicNow());
      if (verdict == QuarantineVerdict::kRefuse) {
        break;
      }
      if (verdict == QuarantineVerdict::kRun) {
        return chosen;
      }
      const SuspicionRecord record = quarantine_.RecordFor(spec.fingerprint);
      request.round = record.round;
      request.crashed = record.crashed;
      // Runs of this request's earlier grant requests have all ended.
      request.last_ended = grant_request_numbers_[spec.id]++;
      request.number = request.last_ended + 1;
    }
    const auto arbiter = FindArbiter();
    const GrantAnswer answer =
        arbiter ? RequestGrant(*arbiter, request) : GrantAnswer();
    if (answer.decision == GrantDecision::kRefuse) {
      break;
    }
    if (answer.decision == GrantDecision::kRun) {
      if (!request.crashed.empty()) {
        const GrantedRun run = {spec.id, spec.fingerprint, answer.server};
        SendToPeers(PeerCallKind::kGrantedRun, run.Encode());
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

GrantAnswer QuarantineDriver::RequestGrant(const Member& arbiter,
                                           const GrantRequest& request) {
  if (arbiter.id == self_) {
    return GrantAsArbiter(request);
  }
  const auto reply = client_.Call(
      arbiter.peers, {PeerCallKind::kGrant, request.Encode()}, kGrantTimeout);
  if (!reply) {
    return {};
  }
  const auto answer = GrantAnswer::Decode(reply.value());
  return answer ? answer.value() : GrantAnswer();
}

GrantAnswer QuarantineDriver::GrantAsArbiter(const GrantRequest& request) {
  const std::lock_guard lock(mutex_);
  if (!arbiter_) {
    return {};
  }
  return arbiter_->RequestGrant(request, quarantine_, MonotonicNow());
}

void QuarantineDriver::EndGrant(const GrantEnd& grant_end) {
  const std::lock_guard lock(mutex_);
  quarantine_.OnRemoteRunEnded(grant_end.request_id);
  if (arbiter_) {
    arbiter_->OnRunEnded(grant_end, quarantine_, MonotonicNow());
  }
}

bool QuarantineDriver::HasRemoteSuspect(const ServerId& server) {
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
                               bool completed) {
  std::vector<SuspicionRecord> cleared;
  std::optional<GrantEnd> grant_end;
  {
    const std::lock_guard lock(mutex_);
    quarantine_.OnEnded(spec.fingerprint, server);
    if (completed) {
      quarantine_.OnServerStarted(server);
    }
    if (completed && quarantine_.IsSuspect(spec.fingerprint)) {
      quarantine_.OnSuspectCompleted(spec.fingerprint, MonotonicNow());
      cleared.push_back(quarantine_.RecordFor(spec.fingerprint));
    }
    const auto number = grant_request_numbers_.extract(spec.id);
    if (!number.empty()) {
      grant_end = GrantEnd{spec.id, number.mapped(),
                           quarantine_.RecordFor(spec.fingerprint)};
    }
  }
  AnnounceRecords(cleared);
  if (grant_end) {
    EndGrant(*grant_end);
    SendToPeers(PeerCallKind::kGrantEnd, grant_end->Encode());
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
  AnnounceRecords(changed);
}

void QuarantineDriver::AnnounceRecords(
    const std::vector<SuspicionRecord>& records) {
  for (const SuspicionRecord& record : records) {
    SendToPeers(PeerCallKind::kSuspicion, record.Encode());
  }
}

void QuarantineDriver::SendToPeers(PeerCallKind kind, const std::string& body) {
  for (const Member& member : LiveMembers()) {
    if (member.id == self_) {
      continue;
    }
    calls_.Run([this, kind, body, peer = member.peers] {
      const auto reply = client_.Call(peer, {kind, body}, kAnnouncementTimeout);
      if (!reply) {
        LogLine("quarantine_not_told")
            .With("kind", ToName(kind))
            .With(reply.error())
            .Warning();
      }
    });
  }
}

Result<std::string> QuarantineDriver::OnGrantCall(const std::string& body) {
  BOOST_OUTCOME_TRY(request, GrantRequest::Decode(body));
  return GrantAsArbiter(request).Encode();
}

Result<std::string> QuarantineDriver::OnGrantEndCall(const std::string& body) {
  BOOST_OUTCOME_TRY(grant_end, GrantEnd::Decode(body));
  EndGrant(grant_end);
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
  const auto arbiter = FindArbiter();
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

std::optional<Member> QuarantineDriver::FindArbiter() const {
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
