#include "qh_node/control/claim_driver.h"

#include <thread>

#include "qh_core/hash/hash.h"
#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kAskWait = std::chrono::seconds(2);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(2'200);
constexpr Duration kReportTimeout = std::chrono::seconds(1);
constexpr Duration kFlushLimit = std::chrono::seconds(3);
constexpr int kReportAttempts = 3;
constexpr size_t kMaxCalls = 64;

ClaimAnswer Unavailable(const RequestId& ask) {
  ClaimAnswer answer;
  answer.request_id = ask;
  answer.decision = ClaimDecision::kRefused;
  answer.error = ErrorKind::kClaimUnavailable;
  return answer;
}

Duration WallOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(wall) -
         MonotonicNow().time_since_epoch();
}

}  // namespace

ClaimDriver::ClaimDriver(const InstanceId& self,
                         uint64_t seed,
                         PeerClient& client,
                         ClaimDriverHooks hooks)
    : self_(self),
      seed_(seed),
      client_(client),
      hooks_(std::move(hooks)),
      calls_(kMaxCalls) {}

ClaimDriver::~ClaimDriver() {
  Stop();
}

void ClaimDriver::Start() {
  ticker_ = std::make_unique<Ticker>(kTickInterval, [this] { Tick(); });
}

void ClaimDriver::Stop() {
  const TimePoint limit = MonotonicNow() + kFlushLimit;
  while (ticker_ && HasWaiting() && MonotonicNow() < limit) {
    std::this_thread::sleep_for(kTickInterval);
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [id, waiter] : waiters_) {
      waiter->set_value(Unavailable(id));
    }
    waiters_.clear();
  }
  ticker_.reset();
  calls_.Shutdown();
}

bool ClaimDriver::HasWaiting() {
  const std::lock_guard lock(mutex_);
  for (const auto& [partition, log] : logs_) {
    if (log.pending_requests() > 0 || log.pending_outcomes() > 0) {
      return true;
    }
  }
  return false;
}

ClaimAnswer ClaimDriver::Claim(const RequestSpec& spec) {
  ClaimRequest ask;
  ask.key = ClaimKey(spec.team, spec.idempotency_key);
  ask.fingerprint = spec.fingerprint;
  ask.request_id = spec.id;
  ask.claimant = self_;
  ask.wait = kAskWait;
  ask.run_time = std::max(spec.deadline - MonotonicNow(), Duration::zero());
  return AskOwner(ask);
}

// Asking again, here or there, gives the same asker the same verdict, so a lost
// answer is followed by an ask in this node's own log.
ClaimAnswer ClaimDriver::AskOwner(const ClaimRequest& ask) {
  const auto owner = RemoteOwner(ClaimPartition(ask.key));
  if (owner) {
    const auto reply = client_.Call(
        owner->peers, {PeerCallKind::kClaim, ask.Encode()}, kPeerTimeout);
    if (reply) {
      auto answer = ClaimAnswer::Decode(reply.value());
      if (answer) {
        return std::move(answer.value());
      }
    }
    LogLine("claim_owner_unreachable")
        .With("request", ask.request_id.value())
        .With("owner", owner->id.value())
        .Warning();
  }
  return AskHere(ask);
}

ClaimAnswer ClaimDriver::AskHere(const ClaimRequest& ask) {
  auto waiter = std::make_shared<std::promise<ClaimAnswer>>();
  auto answer = waiter->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || !waiters_.emplace(ask.request_id, waiter).second) {
      return Unavailable(ask.request_id);
    }
    const uint32_t partition = ClaimPartition(ask.key);
    Carry(partition, LogOf(partition).Submit(ask, MonotonicNow()));
  }
  return answer.get();
}

void ClaimDriver::Report(const RequestSpec& spec,
                         OutcomeKind kind,
                         StoredAnswer answer) {
  OutcomeReport report;
  report.key = ClaimKey(spec.team, spec.idempotency_key);
  report.fingerprint = spec.fingerprint;
  report.request_id = spec.id;
  report.kind = kind;
  report.answer = std::move(answer);
  const std::lock_guard lock(mutex_);
  if (!stopping_) {
    calls_.Run([this, report = std::move(report)] { ReportTo(report); });
  }
}

void ClaimDriver::ReportTo(const OutcomeReport& report) {
  const uint32_t partition = ClaimPartition(report.key);
  for (int attempt = 0; attempt < kReportAttempts; ++attempt) {
    const auto owner = RemoteOwner(partition);
    if (!owner) {
      break;
    }
    if (client_.Call(owner->peers, {PeerCallKind::kOutcome, report.Encode()},
                     kReportTimeout)) {
      return;
    }
  }
  const std::lock_guard lock(mutex_);
  Carry(partition, LogOf(partition).Report(report, MonotonicNow()));
}

Result<std::string> ClaimDriver::OnClaimCall(const std::string& body) {
  BOOST_OUTCOME_TRY(ask, ClaimRequest::Decode(body));
  return AskHere(ask).Encode();
}

Result<std::string> ClaimDriver::OnOutcomeCall(const std::string& body) {
  BOOST_OUTCOME_TRY(report, OutcomeReport::Decode(body));
  const uint32_t partition = ClaimPartition(report.key);
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return Error(ErrorKind::kDraining, "claim logs are closed");
  }
  Carry(partition, LogOf(partition).Report(report, MonotonicNow()));
  return std::string();
}

void ClaimDriver::Tick() {
  std::set<InstanceId> dead;
  for (const Member& member : hooks_.members()) {
    if (member.state == MemberState::kDead) {
      dead.insert(member.id);
    }
  }
  const std::lock_guard lock(mutex_);
  for (auto& [partition, log] : logs_) {
    log.SetDeadMembers(dead);
    Carry(partition, log.Tick(MonotonicNow()));
  }
}

ClaimLog& ClaimDriver::LogOf(uint32_t partition) {
  const auto found = logs_.find(partition);
  if (found != logs_.end()) {
    return found->second;
  }
  ClaimLogSettings settings;
  settings.wall_offset = WallOffset();
  auto log =
      ClaimLog::Create(partition, settings, HashPair(seed_, partition)).value();
  return logs_.emplace(partition, std::move(log)).first->second;
}

void ClaimDriver::Carry(uint32_t partition, ClaimLog::Actions actions) {
  for (ClaimAction& action : actions) {
    switch (action.kind) {
      case ClaimActionKind::kAnswer:
        Answer(action.answer);
        break;
      case ClaimActionKind::kStore:
        if (!stopping_) {
          calls_.Run([this, partition, token = action.token,
                      request = std::move(action.request)] {
            Call(partition, token, request);
          });
        }
        break;
    }
  }
}

void ClaimDriver::Answer(const ClaimAnswer& answer) {
  const auto node = waiters_.extract(answer.request_id);
  if (!node.empty()) {
    node.mapped()->set_value(answer);
  }
}

void ClaimDriver::Call(uint32_t partition,
                       uint64_t token,
                       const StoreRequest& request) {
  const StoreReply reply = hooks_.store(request);
  const std::lock_guard lock(mutex_);
  Carry(partition, LogOf(partition).OnStoreReply(token, reply, MonotonicNow()));
}

std::optional<Member> ClaimDriver::RemoteOwner(uint32_t partition) const {
  const std::vector<Member> members = hooks_.members();
  std::vector<InstanceId> live;
  for (const Member& member : members) {
    if (member.state == MemberState::kLive && member.ready) {
      live.push_back(member.id);
    }
  }
  const InstanceId owner = ClaimOwner(partition, live);
  if (owner.empty() || owner == self_) {
    return std::nullopt;
  }
  for (const Member& member : members) {
    if (member.id == owner) {
      return member;
    }
  }
  return std::nullopt;
}

}  // namespace qh
