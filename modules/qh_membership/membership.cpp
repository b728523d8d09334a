// The part of Membership that reacts to events: ticks, calls, lists and
// notices. membership_gossip.cpp merges records and composes messages.

#include "qh_membership/membership.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace qh {
namespace {

// Time between rounds of join calls to listed nodes that are not in the table.
constexpr Duration kJoinInterval = std::chrono::seconds(1);
// Random unknown nodes that are called in each round.
constexpr size_t kJoinCalls = 3;
// After more rounds of unanswered join calls than this, a node acts as the
// first one of its cell.
constexpr uint32_t kMaxUnansweredJoins = 5;

bool IsDead(const Member& member) {
  return member.state == MemberState::kDead;
}

bool IsNotDead(const Member& member) {
  return !IsDead(member);
}

}  // namespace

Result<Membership> Membership::Create(const Member& self,
                                      const MembershipOptions& options,
                                      uint64_t seed) {
  if (self.id.empty() || self.peers.host.empty()) {
    return Error(ErrorKind::kConfigInvalid,
                 "membership: this node has no id or no peer address");
  }
  return Membership(self, options, seed);
}

Membership::Membership(const Member& self,
                       const MembershipOptions& options,
                       uint64_t seed)
    : options_(options),
      rng_(seed),
      self_(self),
      table_(options.guards.incarnation) {}

MembershipActions Membership::Advance(const MembershipEvent& event,
                                      TimePoint now) {
  actions_.clear();
  now_ = now;
  switch (event.kind) {
    case MembershipEventKind::kTick:
      OnTick(now);
      break;
    case MembershipEventKind::kRequest:
      OnRequest(event.message, now);
      break;
    case MembershipEventKind::kReply:
      OnReply(event.message, now);
      break;
    case MembershipEventKind::kCallFailed:
      OnCallFailed(event);
      break;
    case MembershipEventKind::kInstancesListed:
      OnInstancesListed(event.listed);
      break;
    case MembershipEventKind::kReclaimNotice:
      SetLeaving(true);
      break;
    case MembershipEventKind::kReclaimWithdrawn:
      SetLeaving(false);
      break;
    case MembershipEventKind::kServerNotice:
      OnServerNotice(event.server, now);
      break;
    case MembershipEventKind::kStatusChanged:
      OnStatus(event.status);
      break;
  }
  return std::move(actions_);
}

void Membership::OnTick(TimePoint now) {
  const bool paused = last_tick_ && now - *last_tick_ > options_.pause_gap;
  last_tick_ = now;
  if (paused && options_.guards.tick_gap) {
    RecoverFromPause(now);
  }
  AdvanceProbe(now);
  AdvanceSuspicions(now);
  AdvancePush(now);
  AdvanceJoinAndSync(now);
  DropExpired(now);
}

void Membership::RecoverFromPause(TimePoint now) {
  // Answers that this node missed during the pause do not mean that the other
  // nodes are unresponsive: restart the probe and all suspicions.
  probe_.reset();
  relays_.clear();
  for (auto& [id, started] : suspicions_) {
    started = now;
  }
  for (const InstanceId& peer :
       PickRandomMembers(options_.indirect_probes, IsNotDead)) {
    CallSync(peer, now);
  }
}

void Membership::AdvanceProbe(TimePoint now) {
  if (!probe_) {
    StartProbe(now);
    return;
  }
  if (now - probe_->started >= options_.probe_interval) {
    if (!probe_->target.empty()) {
      Suspect(probe_->target, now);
    }
    StartProbe(now);
    return;
  }
  if (!probe_->target.empty() && !probe_->indirect_sent &&
      now - probe_->started >= options_.probe_timeout) {
    SendIndirectProbes();
  }
}

void Membership::StartProbe(TimePoint now) {
  probe_.reset();
  if (probe_order_.empty()) {
    probe_order_ = PickRandomMembers(table_.size(), IsNotDead);
  }
  while (!probe_order_.empty()) {
    const InstanceId target = probe_order_.back();
    probe_order_.pop_back();
    const Member* member = table_.Find(target);
    if (member == nullptr || IsDead(*member)) {
      continue;
    }
    GossipMessage ping =
        MakeMessage(GossipMessageKind::kPing, next_sequence_++);
    ping.members.push_back(self_);
    probe_ = Probe{target, ping.sequence, now, false};
    AddUpdates(target, ping);
    AddStatuses(ping);
    Call(target, std::move(ping));
    return;
  }
}

void Membership::SendIndirectProbes() {
  probe_->indirect_sent = true;
  const auto relays =
      PickRandomMembers(options_.indirect_probes, [&](const Member& member) {
        return IsNotDead(member) && member.id != probe_->target;
      });
  for (const InstanceId& relay : relays) {
    GossipMessage request =
        MakeMessage(GossipMessageKind::kPingRequest, probe_->sequence);
    request.target = probe_->target;
    AddUpdates(relay, request);
    Call(relay, std::move(request));
  }
}

void Membership::AdvanceSuspicions(TimePoint now) {
  const Duration timeout = SuspicionTimeout();
  std::vector<InstanceId> expired;
  for (const auto& [id, started] : suspicions_) {
    if (now - started >= timeout) {
      expired.push_back(id);
    }
  }
  for (const InstanceId& id : expired) {
    suspicions_.erase(id);
    if (table_.SetState(id, MemberState::kDead, now)) {
      Announce(id, now);
      SchedulePush(1);
    }
  }
}

void Membership::AdvancePush(TimePoint now) {
  if (push_rounds_left_ == 0 || now < next_push_) {
    return;
  }
  --push_rounds_left_;
  next_push_ = now + options_.push_interval;
  for (const InstanceId& peer :
       PickRandomMembers(options_.push_fanout, IsNotDead)) {
    GossipMessage push =
        MakeMessage(GossipMessageKind::kPush, next_sequence_++);
    AddUpdates(peer, push);
    Call(peer, std::move(push));
  }
}

void Membership::AdvanceJoinAndSync(TimePoint now) {
  if (now >= next_join_) {
    next_join_ = now + kJoinInterval;
    CallUnknownNodes(now);
    // Detects listed members that become reachable again after a partition.
    for (const InstanceId& peer :
         PickRandomMembers(1, [this](const Member& member) {
           return IsDead(member) && listed_.contains(member.id);
         })) {
      GossipMessage ping =
          MakeMessage(GossipMessageKind::kPing, next_sequence_++);
      ping.members.push_back(self_);
      AddUpdates(peer, ping);
      Call(peer, std::move(ping));
    }
    if (!has_joined_ && has_instance_list_ &&
        ++unanswered_joins_ > kMaxUnansweredJoins) {
      has_joined_ = true;
    }
  }
  if (now < next_sync_) {
    return;
  }
  next_sync_ = now + options_.sync_interval +
               rng_.Between(Duration::zero(), options_.sync_interval / 4);
  for (const InstanceId& peer : PickRandomMembers(1, IsNotDead)) {
    CallSync(peer, now);
  }
  // Detects members that were declared dead by mistake and are not listed.
  for (const InstanceId& peer : PickRandomMembers(1, IsDead)) {
    CallSync(peer, now);
  }
}

void Membership::CallUnknownNodes(TimePoint now) {
  std::vector<InstanceId> same_domain;
  std::vector<InstanceId> unknown;
  for (const auto& [id, member] : listed_) {
    if (table_.Find(id) == nullptr) {
      unknown.push_back(id);
      if (member.failure_domain == self_.failure_domain) {
        same_domain.push_back(id);
      }
    }
  }
  // Nodes of other failure domains may be unreachable, so one node of this
  // domain is always called.
  if (!same_domain.empty()) {
    CallSync(same_domain[rng_.Below(same_domain.size())], now);
  }
  for (size_t i = 0; i < kJoinCalls && !unknown.empty(); ++i) {
    const size_t pick = rng_.Below(unknown.size());
    CallSync(unknown[pick], now);
    unknown.erase(unknown.begin() + static_cast<ptrdiff_t>(pick));
  }
}

void Membership::DropExpired(TimePoint now) {
  table_.DropDeadBefore(now - options_.dead_retention);
  const size_t expired_notices = std::erase_if(notices_, [&](const auto& row) {
    return now - row.second.changed > options_.notice_retention;
  });
  if (expired_notices > 0) {
    UpdateNoticesHash();
  }
  std::erase_if(relays_, [&](const auto& row) {
    return now - row.second.started > options_.probe_interval;
  });
}

void Membership::OnRequest(const GossipMessage& message, TimePoint now) {
  MergeMessage(message, now);
  GossipMessage reply;
  if (message.kind == GossipMessageKind::kSync) {
    reply = MakeSync(message.sequence, now);
  } else {
    reply = MakeMessage(GossipMessageKind::kAck, message.sequence);
    AddUpdates(message.sender.id, reply);
  }
  if (message.kind == GossipMessageKind::kPing) {
    AddStatuses(reply);
  }
  if (message.kind == GossipMessageKind::kIndirectAck && probe_ &&
      probe_->target == message.target &&
      probe_->sequence == message.sequence) {
    MarkProbeAnswered(message.target);
  }
  if (message.kind == GossipMessageKind::kPingRequest &&
      table_.Find(message.target) != nullptr) {
    GossipMessage ping =
        MakeMessage(GossipMessageKind::kPing, next_sequence_++);
    relays_[ping.sequence] = {message.sender.id, message.sequence, now};
    AddUpdates(message.target, ping);
    Call(message.target, std::move(ping));
  }
  MembershipAction action;
  action.kind = MembershipActionKind::kReply;
  action.peer = message.sender.id;
  action.message = std::move(reply);
  actions_.push_back(std::move(action));
}

void Membership::OnReply(const GossipMessage& message, TimePoint now) {
  MergeMessage(message, now);
  has_joined_ = has_joined_ || message.kind == GossipMessageKind::kSync;
  if (probe_ && probe_->sequence == message.sequence &&
      probe_->target == message.sender.id) {
    MarkProbeAnswered(message.sender.id);
  }
  const auto relay = relays_.find(message.sequence);
  if (relay == relays_.end()) {
    return;
  }
  GossipMessage ack = MakeMessage(GossipMessageKind::kIndirectAck,
                                  relay->second.origin_sequence);
  ack.target = message.sender.id;
  Call(relay->second.origin, std::move(ack));
  relays_.erase(relay);
}

void Membership::OnCallFailed(const MembershipEvent& event) {
  relays_.erase(event.sequence);
  if (probe_ && probe_->sequence == event.sequence &&
      probe_->target == event.peer && !probe_->indirect_sent) {
    SendIndirectProbes();
  }
}

void Membership::OnInstancesListed(const std::vector<Member>& listed) {
  listed_.clear();
  has_instance_list_ = true;
  for (const Member& member : listed) {
    if (member.id != self_.id && member.state == MemberState::kLive) {
      listed_[member.id] = member;
    }
  }
  has_joined_ = has_joined_ || listed_.empty();
}

void Membership::OnServerNotice(const ServerNotice& server, TimePoint now) {
  const auto known = notices_.find(server.id);
  if (known == notices_.end()) {
    if (server.leaving) {
      MergeServer({server.id, 1, true}, now);
    }
    return;
  }
  if (known->second.notice.leaving != server.leaving) {
    MergeServer({server.id, known->second.notice.version + 1, server.leaving},
                now);
  }
}

void Membership::OnStatus(const LocalStatus& status) {
  ++self_.status_version;
  if (status.config_version > self_.config_version) {
    newest_config_ = std::max(newest_config_, status.config_version);
    SchedulePush(1);
  }
  self_.config_version = status.config_version;
  self_.open_requests = status.open_requests;
  self_.digest = status.digest.substr(0, kMaxDigestBytes);
  if (self_.ready != status.ready) {
    self_.ready = status.ready;
    AnnounceSelf();
  }
}

void Membership::SetLeaving(bool leaving) {
  const MemberState state =
      leaving ? MemberState::kLeaving : MemberState::kLive;
  if (self_.state == state) {
    return;
  }
  self_.state = state;
  ++self_.incarnation;
  AnnounceSelf();
  SchedulePush(options_.push_rounds);
}

}  // namespace qh
