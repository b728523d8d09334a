#include "qh_node/control/claim_driver.h"

#include <thread>

#include "qh_core/hash/hash.h"
#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kClaimTimeout = std::chrono::seconds(2);
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(2'200);
constexpr Duration kReportTimeout = std::chrono::seconds(1);
constexpr Duration kFlushTimeout = std::chrono::seconds(3);
constexpr int kReportAttempts = 3;
constexpr size_t kMaxConcurrentCalls = 64;

ClaimAnswer MakeUnavailableAnswer(const RequestId& request) {
  ClaimAnswer answer;
  answer.request_id = request;
  answer.decision = ClaimDecision::kRefused;
  answer.error = ErrorKind::kClaimUnavailable;
  return answer;
}

// Returns the wall clock minus the monotonic clock.
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
      calls_(kMaxConcurrentCalls) {}

ClaimDriver::~ClaimDriver() {
  Stop();
}

void ClaimDriver::Start() {
  ticker_ = std::make_unique<Ticker>(kTickInterval, [this] { Tick(); });
}

void ClaimDriver::Stop() {
  const TimePoint flush_deadline = MonotonicNow() + kFlushTimeout;
  while (ticker_ && HasPendingWrites() && MonotonicNow() < flush_deadline) {
    std::this_thread::sleep_for(kTickInterval);
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [id, waiter] : waiters_) {
      waiter->set_value(MakeUnavailableAnswer(id));
    }
    waiters_.clear();
  }
  ticker_.reset();
  calls_.Shutdown();
}

bool ClaimDriver::HasPendingWrites() {
  const std::lock_guard lock(mutex_);
  for (const auto& [partition, log] : logs_) {
    if (log.pending_requests() > 0 || log.pending_outcomes() > 0) {
      return true;
    }
  }
  return false;
}

ClaimAnswer ClaimDriver::Claim(const RequestSpec& spec) {
  ClaimRequest request;
  request.key = ClaimKey(spec.team, spec.idempotency_key);
  request.fingerprint = spec.fingerprint;
  request.request_id = spec.id;
  request.claimant = self_;
  request.wait = kClaimTimeout;
  request.run_time = std::max(spec.deadline - MonotonicNow(), Duration::zero());
  return RequestClaim(request);
}

// A repeated claim of the same request gets the same answer from any node.
// Therefore, if the owner's answer is lost, the claim can be repeated locally.
ClaimAnswer ClaimDriver::RequestClaim(const ClaimRequest& request) {
  const auto owner = RemoteOwner(ClaimPartition(request.key));
  if (owner) {
    const auto reply = client_.Call(
        owner->peers, {PeerCallKind::kClaim, request.Encode()}, kOwnerTimeout);
    if (reply) {
      auto answer = ClaimAnswer::Decode(reply.value());
      if (answer) {
        return std::move(answer.value());
      }
    }
    LogLine("claim_owner_unreachable")
        .With("request", request.request_id.value())
        .With("owner", owner->id.value())
        .Warning();
  }
  return SubmitLocally(request);
}

ClaimAnswer ClaimDriver::SubmitLocally(const ClaimRequest& request) {
  auto waiter = std::make_shared<std::promise<ClaimAnswer>>();
  auto answer = waiter->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || !waiters_.emplace(request.request_id, waiter).second) {
      return MakeUnavailableAnswer(request.request_id);
    }
    const uint32_t partition = ClaimPartition(request.key);
    Execute(partition, LogFor(partition).Submit(request, MonotonicNow()));
  }
  return answer.get();
}

void ClaimDriver::ReportOutcome(const RequestSpec& spec,
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
    calls_.Run([this, report = std::move(report)] { DeliverReport(report); });
  }
}

void ClaimDriver::DeliverReport(const OutcomeReport& report) {
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
  Execute(partition, LogFor(partition).Report(report, MonotonicNow()));
}

Result<std::string> ClaimDriver::OnClaimCall(const std::string& body) {
  BOOST_OUTCOME_TRY(request, ClaimRequest::Decode(body));
  return SubmitLocally(request).Encode();
}

Result<std::string> ClaimDriver::OnOutcomeCall(const std::string& body) {
  BOOST_OUTCOME_TRY(report, OutcomeReport::Decode(body));
  const uint32_t partition = ClaimPartition(report.key);
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return Error(ErrorKind::kDraining, "claim logs are closed");
  }
  Execute(partition, LogFor(partition).Report(report, MonotonicNow()));
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
    Execute(partition, log.Tick(MonotonicNow()));
  }
}

ClaimLog& ClaimDriver::LogFor(uint32_t partition) {
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

void ClaimDriver::Execute(uint32_t partition, ClaimLog::Actions actions) {
  for (ClaimAction& action : actions) {
    switch (action.kind) {
      case ClaimActionKind::kAnswer:
        ResolveWaiter(action.answer);
        break;
      case ClaimActionKind::kStore:
        if (!stopping_) {
          calls_.Run([this, partition, token = action.token,
                      request = std::move(action.request)] {
            CallStore(partition, token, request);
          });
        }
        break;
    }
  }
}

void ClaimDriver::ResolveWaiter(const ClaimAnswer& answer) {
  const auto waiter = waiters_.extract(answer.request_id);
  if (!waiter.empty()) {
    waiter.mapped()->set_value(answer);
  }
}

void ClaimDriver::CallStore(uint32_t partition,
                            uint64_t token,
                            const StoreRequest& request) {
  const StoreReply reply = hooks_.store(request);
  const std::lock_guard lock(mutex_);
  Execute(partition,
          LogFor(partition).OnStoreReply(token, reply, MonotonicNow()));
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
