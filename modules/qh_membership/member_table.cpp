#include "qh_membership/member_table.h"

namespace qh {
namespace {

// Overhead of a std::map node: three pointers and the color, padded.
constexpr size_t kTreeNodeBytes = 4 * sizeof(void*);

void CopyStatus(const MemberStatus& status, Member& member) {
  member.status_version = status.status_version;
  member.config_version = status.config_version;
  member.open_requests = status.open_requests;
  member.ready = status.ready;
}

bool HasSameAddressesAndCell(const Member& a, const Member& b) {
  return a.callers == b.callers && a.peers == b.peers && a.cell == b.cell;
}

}  // namespace

bool Supersedes(const Member& incoming, const Member& known) {
  if (incoming.incarnation != known.incarnation) {
    return incoming.incarnation > known.incarnation;
  }
  return incoming.state > known.state;
}

MemberStatus StatusOf(const Member& member) {
  return {member.id,
          member.incarnation,
          member.status_version,
          member.config_version,
          member.open_requests,
          member.ready};
}

MemberTable::MemberTable(bool check_incarnation)
    : check_incarnation_(check_incarnation) {}

bool MemberTable::Merge(const Member& incoming, TimePoint now) {
  const auto [position, is_new] =
      entries_.try_emplace(incoming.id, Entry{incoming, now});
  if (is_new) {
    return true;
  }
  Entry& entry = position->second;
  const bool replaces =
      !check_incarnation_ || Supersedes(incoming, entry.member);
  const bool is_changed =
      replaces && (incoming.state != entry.member.state ||
                   incoming.incarnation != entry.member.incarnation ||
                   !HasSameAddressesAndCell(incoming, entry.member));
  const bool newer_status =
      incoming.incarnation > entry.member.incarnation ||
      (incoming.incarnation == entry.member.incarnation &&
       incoming.status_version > entry.member.status_version);
  if (replaces) {
    const Member before = entry.member;
    entry.changed = incoming.state == before.state ? entry.changed : now;
    entry.member = incoming;
    if (!newer_status) {
      CopyStatus(StatusOf(before), entry.member);
      entry.member.digest = before.digest;
    }
  } else if (newer_status) {
    CopyStatus(StatusOf(incoming), entry.member);
    entry.member.digest = incoming.digest;
  }
  return is_changed;
}

void MemberTable::MergeStatus(const MemberStatus& incoming) {
  const auto found = entries_.find(incoming.id);
  if (found == entries_.end()) {
    return;
  }
  Member& member = found->second.member;
  if (incoming.incarnation == member.incarnation &&
      incoming.status_version > member.status_version) {
    CopyStatus(incoming, member);
  }
}

const Member* MemberTable::Find(const InstanceId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.member;
}

TimePoint MemberTable::ChangedAt(const InstanceId& id) const {
  return entries_.at(id).changed;
}

bool MemberTable::SetState(const InstanceId& id,
                           MemberState state,
                           TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.member.state == state) {
    return false;
  }
  found->second.member.state = state;
  found->second.changed = now;
  return true;
}

void MemberTable::DropDeadBefore(TimePoint limit) {
  std::erase_if(entries_, [&](const auto& row) {
    return row.second.member.state == MemberState::kDead &&
           row.second.changed < limit;
  });
}

std::vector<Member> MemberTable::members() const {
  std::vector<Member> all;
  all.reserve(entries_.size());
  ForEach([&](const Member& member) { all.push_back(member); });
  return all;
}

size_t MemberTable::live_count() const {
  size_t count = 0;
  ForEach([&](const Member& member) {
    count += member.state == MemberState::kLive ||
             member.state == MemberState::kSuspect;
  });
  return count;
}

size_t MemberTable::state_bytes() const {
  size_t bytes = sizeof(*this);
  for (const auto& [id, entry] : entries_) {
    bytes += kTreeNodeBytes + sizeof(id) + sizeof(entry) +
             id.value().capacity() + entry.member.id.value().capacity() +
             entry.member.failure_domain.value().capacity() +
             entry.member.callers.host.capacity() +
             entry.member.peers.host.capacity() +
             entry.member.admin.host.capacity() +
             entry.member.digest.capacity();
  }
  return bytes;
}

}  // namespace qh
