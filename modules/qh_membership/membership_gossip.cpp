// The part of Membership that merges records received from peers and composes
// messages.

#include <algorithm>
#include <cmath>
#include <functional>

#include "qh_core/hash/hash.h"
#include "qh_membership/membership.h"

namespace qh {
namespace {

// An update is sent this many times the binary logarithm of the member count.
constexpr uint32_t kTransmissionFactor = 3;
// Limits of every message except kSync.
constexpr size_t kMaxMemberUpdates = 8;
constexpr size_t kMaxNoticeUpdates = 64;
constexpr size_t kMaxStatuses = 8;
// Limits of kSync.
constexpr size_t kMaxSyncMembers = 128;
constexpr size_t kMaxSyncServers = 1'024;
// How long kSync includes a member after its death.
constexpr Duration kDeadSyncPeriod = std::chrono::seconds(30);
// Shortest time between the extra syncs with members that became live again
// after their death or that know other notices.
constexpr Duration kRateLimitedSyncInterval = std::chrono::milliseconds(500);

}  // namespace

void Membership::MergeMessage(const GossipMessage& message, TimePoint now) {
  for (const Member& member : message.members) {
    MergeMember(member, now);
  }
  table_.MergeStatus(message.sender);
  const Member* sender = table_.Find(message.sender.id);
  if (sender != nullptr && sender->state == MemberState::kLeaving) {
    // A leaving member does not refute a suspicion, since it stays leaving. Its
    // message shows that it responds.
    suspicions_.erase(message.sender.id);
  }
  for (const MemberStatus& status : message.statuses) {
    table_.MergeStatus(status);
  }
  for (const ServerNotice& server : message.servers) {
    MergeServer(server, now);
  }
  CheckNoticesHash(message, now);
  NoteConfigVersion(message.sender.id, message.sender.config_version);
  for (const Member& member : message.members) {
    NoteConfigVersion(member.id, member.config_version);
  }
  for (const MemberStatus& status : message.statuses) {
    NoteConfigVersion(status.id, status.config_version);
  }
}

void Membership::CheckNoticesHash(const GossipMessage& message, TimePoint now) {
  // While updates are being gossiped a difference is normal, and a kSync has
  // just delivered all notices.
  if (options_.guards.push_updates && notice_updates_.empty() &&
      message.kind != GossipMessageKind::kSync &&
      message.notices_hash != notices_hash_) {
    CallSyncRateLimited(message.sender.id, now);
  }
}

ServerNotice Membership::WithCurrentAge(const Notice& notice) const {
  ServerNotice aged = notice.notice;
  aged.age_s = static_cast<uint32_t>(ToSeconds(now_ - notice.changed));
  return aged;
}

void Membership::UpdateNoticesHash() {
  notices_hash_ = 0;
  for (const auto& [id, notice] : notices_) {
    const uint64_t state =
        notice.notice.version * 2 + (notice.notice.leaving ? 1 : 0);
    notices_hash_ ^= HashPair(Hash64(id.value()), state);
  }
}

void Membership::NoteConfigVersion(const InstanceId& peer, uint64_t version) {
  if (version <= newest_config_ || peer == self_.id) {
    return;
  }
  newest_config_ = version;
  MembershipAction action;
  action.kind = MembershipActionKind::kNewerConfig;
  action.peer = peer;
  action.config_version = version;
  actions_.push_back(std::move(action));
}

void Membership::MergeMember(const Member& incoming, TimePoint now) {
  if (incoming.id == self_.id) {
    MergeSelf(incoming);
    return;
  }
  Member record = incoming;
  if (incoming.cell != self_.cell) {
    if (table_.Find(incoming.id) == nullptr) {
      return;
    }
    // The member has moved to another cell, so it is gone from this one.
    record.state = MemberState::kDead;
  }
  const Member* known = table_.Find(incoming.id);
  const bool was_leaving =
      known != nullptr && known->state == MemberState::kLeaving;
  const bool was_dead = known != nullptr && known->state == MemberState::kDead;
  if (record.state == MemberState::kDead && incoming.cell == self_.cell &&
      known != nullptr && !was_dead && options_.guards.incarnation) {
    // The report may come from the other side of a partition, so the member is
    // only suspected and gets time to refute it.
    if (record.incarnation < known->incarnation) {
      return;
    }
    suspicions_.try_emplace(incoming.id, now);
    record.state = MemberState::kSuspect;
  }
  if (!table_.Merge(record, now)) {
    return;
  }
  Announce(incoming.id, now);
  if (was_dead && record.state != MemberState::kDead) {
    CallSyncRateLimited(incoming.id, now);
  }
  if (record.state == MemberState::kLeaving && !was_leaving) {
    SchedulePush(options_.push_rounds);
  }
}

void Membership::CallSyncRateLimited(const InstanceId& peer, TimePoint now) {
  if (now >= next_rate_limited_sync_) {
    next_rate_limited_sync_ = now + kRateLimitedSyncInterval;
    CallSync(peer, now);
  }
}

void Membership::MergeSelf(const Member& incoming) {
  if (incoming.status_version > self_.status_version &&
      incoming.incarnation >= self_.incarnation) {
    // An earlier process of this instance reached a larger status version.
    self_.status_version = incoming.status_version + 1;
  }
  const bool same = incoming.state == self_.state &&
                    incoming.peers == self_.peers &&
                    incoming.callers == self_.callers;
  if (incoming.incarnation > self_.incarnation ||
      (incoming.incarnation == self_.incarnation && !same &&
       incoming.state >= self_.state)) {
    self_.incarnation = incoming.incarnation + 1;
    ++self_.status_version;
    AnnounceSelf();
  }
}

void Membership::MergeServer(const ServerNotice& incoming, TimePoint now) {
  const TimePoint changed = now - std::chrono::seconds(incoming.age_s);
  if (now - changed > options_.notice_retention) {
    return;
  }
  const auto [position, is_new] =
      notices_.try_emplace(incoming.id, Notice{incoming, changed});
  if (!is_new) {
    ServerNotice& known = position->second.notice;
    const bool newer = incoming.version > known.version ||
                       (incoming.version == known.version && incoming.leaving &&
                        !known.leaving);
    if (!newer) {
      return;
    }
    known = incoming;
    position->second.changed = changed;
  }
  UpdateNoticesHash();
  notice_updates_.Add(incoming.id, TransmissionCount());
  MembershipAction action;
  action.kind = MembershipActionKind::kServerChanged;
  action.server = incoming;
  actions_.push_back(std::move(action));
  SchedulePush(options_.push_rounds);
}

void Membership::MarkProbeAnswered(const InstanceId& id) {
  if (probe_ && probe_->target == id) {
    // The probe stays until the end of the interval, when the next one starts.
    probe_->target = InstanceId();
  }
}

void Membership::Suspect(const InstanceId& id, TimePoint now) {
  const Member* member = table_.Find(id);
  if (member == nullptr || member->state == MemberState::kDead) {
    return;
  }
  suspicions_.try_emplace(id, now);
  if (member->state == MemberState::kLive &&
      table_.SetState(id, MemberState::kSuspect, now)) {
    Announce(id, now);
  }
}

void Membership::Announce(const InstanceId& id, TimePoint now) {
  const Member& member = *table_.Find(id);
  if (member.state == MemberState::kSuspect) {
    suspicions_.try_emplace(id, now);
    SchedulePush(1);
  } else {
    suspicions_.erase(id);
  }
  member_updates_.Add(id, TransmissionCount());
  MembershipAction action;
  action.kind = MembershipActionKind::kMemberChanged;
  action.member = member;
  actions_.push_back(std::move(action));
}

void Membership::AnnounceSelf() {
  member_updates_.Add(self_.id, TransmissionCount());
}

void Membership::SchedulePush(uint32_t rounds) {
  if (options_.guards.push_updates) {
    push_rounds_left_ = std::max(push_rounds_left_, rounds);
  }
}

GossipMessage Membership::MakeMessage(GossipMessageKind kind,
                                      uint64_t sequence) {
  GossipMessage message;
  message.kind = kind;
  message.sender = StatusOf(self_);
  message.sequence = sequence;
  message.notices_hash = notices_hash_;
  return message;
}

void Membership::AddUpdates(const InstanceId& receiver,
                            GossipMessage& message) {
  const Member* known_receiver = table_.Find(receiver);
  if (known_receiver != nullptr &&
      (known_receiver->state == MemberState::kSuspect ||
       known_receiver->state == MemberState::kDead)) {
    // Lets the receiver refute its suspicion or death.
    message.members.push_back(*known_receiver);
  }
  for (const InstanceId& id : member_updates_.Take(kMaxMemberUpdates)) {
    if (id == self_.id) {
      message.members.push_back(self_);
    } else if (const Member* member = table_.Find(id)) {
      message.members.push_back(*member);
    }
  }
  for (const ServerId& id : notice_updates_.Take(kMaxNoticeUpdates)) {
    const auto found = notices_.find(id);
    if (found != notices_.end()) {
      message.servers.push_back(WithCurrentAge(found->second));
    }
  }
}

void Membership::AddStatuses(GossipMessage& message) {
  const size_t count = std::min(kMaxStatuses, table_.size());
  std::vector<Member> members;
  table_.ForEach([&](const Member& member) {
    if (member.state != MemberState::kDead && member.id > status_cursor_ &&
        members.size() < count) {
      members.push_back(member);
    }
  });
  for (const Member& member : members) {
    message.statuses.push_back(StatusOf(member));
  }
  status_cursor_ = members.size() < count ? InstanceId() : members.back().id;
}

GossipMessage Membership::MakeSync(uint64_t sequence, TimePoint now) {
  GossipMessage message = MakeMessage(GossipMessageKind::kSync, sequence);
  message.members.push_back(self_);
  std::vector<Member> members;
  const TimePoint dead_since = now - kDeadSyncPeriod;
  table_.ForEach([&](const Member& member) {
    if (member.state != MemberState::kDead ||
        table_.ChangedAt(member.id) > dead_since) {
      members.push_back(member);
    }
  });
  while (members.size() > kMaxSyncMembers) {
    const size_t drop = rng_.Below(members.size());
    members.erase(members.begin() + static_cast<ptrdiff_t>(drop));
  }
  message.members.insert(message.members.end(), members.begin(), members.end());
  for (const auto& [id, notice] : notices_) {
    if (message.servers.size() < kMaxSyncServers) {
      message.servers.push_back(WithCurrentAge(notice));
    }
  }
  return message;
}

void Membership::Call(const InstanceId& peer, GossipMessage message) {
  const Member* contact = FindContact(peer);
  if (contact == nullptr) {
    return;
  }
  MembershipAction action;
  action.kind = MembershipActionKind::kCall;
  action.peer = peer;
  action.address = contact->peers;
  action.message = std::move(message);
  actions_.push_back(std::move(action));
}

void Membership::CallSync(const InstanceId& peer, TimePoint now) {
  Call(peer, MakeSync(next_sequence_++, now));
}

std::vector<InstanceId> Membership::PickRandomMembers(
    size_t count,
    const std::function<bool(const Member&)>& accepts) {
  std::vector<InstanceId> ids;
  table_.ForEach([&](const Member& member) {
    if (accepts(member)) {
      ids.push_back(member.id);
    }
  });
  for (size_t i = ids.size(); i > 1; --i) {
    std::swap(ids[i - 1], ids[rng_.Below(i)]);
  }
  ids.resize(std::min(count, ids.size()));
  return ids;
}

const Member* Membership::FindContact(const InstanceId& id) const {
  if (const Member* known = table_.Find(id)) {
    return known;
  }
  const auto listed = listed_.find(id);
  return listed == listed_.end() ? nullptr : &listed->second;
}

Duration Membership::SuspicionTimeout() const {
  const double nodes = static_cast<double>(table_.size() + 1);
  const double scale = std::max(1.0, std::log10(nodes));
  return FromSeconds(options_.suspicion_factor * scale *
                     ToSeconds(options_.probe_interval));
}

uint32_t Membership::TransmissionCount() const {
  const double nodes = static_cast<double>(table_.size() + 2);
  return kTransmissionFactor *
         static_cast<uint32_t>(std::ceil(std::log2(nodes)));
}

std::vector<Member> Membership::members() const {
  std::vector<Member> all = table_.members();
  all.insert(std::lower_bound(
                 all.begin(), all.end(), self_,
                 [](const Member& a, const Member& b) { return a.id < b.id; }),
             self_);
  return all;
}

size_t Membership::live_count() const {
  return table_.live_count() + (self_.state == MemberState::kLive ? 1 : 0);
}

std::vector<ServerId> Membership::leaving_servers() const {
  std::vector<ServerId> servers;
  for (const auto& [id, notice] : notices_) {
    if (notice.notice.leaving) {
      servers.push_back(id);
    }
  }
  return servers;
}

bool Membership::IsLeaving(const ServerId& server) const {
  const auto found = notices_.find(server);
  return found != notices_.end() && found->second.notice.leaving;
}

size_t Membership::state_bytes() const {
  constexpr size_t kNoticeBytes = sizeof(Notice) + 2 * sizeof(ServerId);
  return sizeof(*this) + table_.state_bytes() +
         listed_.size() * sizeof(Member) * 2 + notices_.size() * kNoticeBytes +
         (member_updates_.size() + notice_updates_.size() + suspicions_.size() +
          probe_order_.size() + relays_.size()) *
             sizeof(Relay);
}

}  // namespace qh
