#include "qh_node/control/membership_driver.h"

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr size_t kMaxConcurrentCalls = 32;

std::set<ServerId> ToSet(const std::vector<ServerId>& servers) {
  return {servers.begin(), servers.end()};
}

}  // namespace

Result<std::unique_ptr<MembershipDriver>> MembershipDriver::Create(
    const Member& self,
    uint64_t seed,
    PeerClient& client,
    MembershipDriverHooks hooks) {
  BOOST_OUTCOME_TRY(membership,
                    Membership::Create(self, MembershipOptions(), seed));
  return std::unique_ptr<MembershipDriver>(
      new MembershipDriver(std::move(membership), client, std::move(hooks)));
}

MembershipDriver::MembershipDriver(Membership membership,
                                   PeerClient& client,
                                   MembershipDriverHooks hooks)
    : client_(client),
      hooks_(std::move(hooks)),
      membership_(std::move(membership)),
      calls_(kMaxConcurrentCalls) {}

MembershipDriver::~MembershipDriver() {
  Stop();
}

void MembershipDriver::Start() {
  ticker_ = std::make_unique<Ticker>(kTickInterval, [this] { Tick(); });
}

void MembershipDriver::Stop() {
  ticker_.reset();
  calls_.Shutdown();
}

void MembershipDriver::Tick() {
  MembershipEvent status;
  status.kind = MembershipEventKind::kStatusChanged;
  status.status = hooks_.status();
  Advance(status);
  Advance({.kind = MembershipEventKind::kTick});
}

void MembershipDriver::HandleEvent(const MembershipEvent& event) {
  Advance(event);
}

Result<std::string> MembershipDriver::OnCall(const std::string& body) {
  MembershipEvent event;
  event.kind = MembershipEventKind::kRequest;
  BOOST_OUTCOME_TRY(message, GossipMessage::Decode(body));
  event.message = std::move(message);
  return Advance(event);
}

std::string MembershipDriver::Advance(const MembershipEvent& event) {
  MembershipActions actions;
  std::vector<ServerId> leaving;
  {
    const std::lock_guard lock(mutex_);
    actions = membership_.Advance(event, MonotonicNow());
    leaving = membership_.leaving_servers();
  }
  std::string reply;
  bool servers_changed = false;
  for (const MembershipAction& action : actions) {
    switch (action.kind) {
      case MembershipActionKind::kCall:
        Call(action);
        break;
      case MembershipActionKind::kReply:
        reply = action.message.Encode();
        break;
      case MembershipActionKind::kMemberChanged:
        LogLine("member_changed")
            .With("instance", action.member.id.value())
            .With("state", ToName(action.member.state))
            .Info();
        break;
      case MembershipActionKind::kServerChanged:
        servers_changed = true;
        break;
      case MembershipActionKind::kNewerConfig:
        hooks_.on_newer_config(action.peer, action.config_version);
        break;
    }
  }
  if (servers_changed) {
    hooks_.on_leaving_servers(ToSet(leaving));
  }
  return reply;
}

void MembershipDriver::Call(const MembershipAction& action) {
  calls_.Run([this, action] {
    const auto reply = client_.Call(
        action.address, {PeerCallKind::kMembership, action.message.Encode()},
        kCallTimeout);
    MembershipEvent event;
    event.peer = action.peer;
    event.sequence = action.message.sequence;
    event.kind = MembershipEventKind::kCallFailed;
    if (reply) {
      auto message = GossipMessage::Decode(reply.value());
      if (message) {
        event.kind = MembershipEventKind::kReply;
        event.message = std::move(message.value());
      }
    }
    Advance(event);
  });
}

std::vector<Member> MembershipDriver::members() const {
  const std::lock_guard lock(mutex_);
  return membership_.members();
}

bool MembershipDriver::has_joined() const {
  const std::lock_guard lock(mutex_);
  return membership_.has_joined();
}

}  // namespace qh
