// The table of members that one gateway node knows, and the rules by which a
// newer record replaces an older one.

#ifndef QH_MEMBERSHIP_MEMBER_TABLE_H_
#define QH_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <vector>

#include "qh_membership/gossip_message.h"
#include "qh_membership/member.h"

namespace qh {

// Not thread safe.
class MemberTable {
 public:
  // When `check_incarnation` is false, every record replaces the previous one.
  // Only tests and the control search do that, to show which failures the check
  // prevents.
  explicit MemberTable(bool check_incarnation);

  // Merges a record received at `now`. Returns whether the member is new or its
  // state, incarnation, caller or peer address, or cell changed; the caller
  // then gossips the record.
  bool Merge(const Member& incoming, TimePoint now);

  // Merges a status. Ignored when the member is unknown, when its incarnation
  // differs or when the status is not newer.
  void MergeStatus(const MemberStatus& incoming);

  // Returns the record, or null when the member is unknown. The pointer is
  // valid until the member is removed.
  const Member* Find(const InstanceId& id) const;

  // Returns when the state of the member last changed. The member must be
  // known.
  TimePoint ChangedAt(const InstanceId& id) const;

  // Sets the state of a member and keeps its incarnation. Returns whether the
  // state changed; false for an unknown member.
  bool SetState(const InstanceId& id, MemberState state, TimePoint now);

  // Removes members that have been dead since before `limit`.
  void DropDeadBefore(TimePoint limit);

  // Returns all members, sorted by id.
  std::vector<Member> members() const;
  size_t size() const { return entries_.size(); }
  // Returns the number of members that are neither dead nor leaving.
  size_t live_count() const;
  // Returns the approximate memory use of the table in bytes.
  size_t state_bytes() const;

  // Calls `visit(member)` for each member, sorted by id.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [id, entry] : entries_) {
      visit(entry.member);
    }
  }

 private:
  struct Entry {
    Member member;
    // When `member.state` last changed.
    TimePoint changed;
  };

  const bool check_incarnation_;
  std::map<InstanceId, Entry> entries_;
};

// Returns whether `incoming` replaces `known`: the larger incarnation wins,
// then the later state in the order of MemberState.
bool Supersedes(const Member& incoming, const Member& known);

// Returns the status part of `member`.
MemberStatus StatusOf(const Member& member);

}  // namespace qh

#endif  // QH_MEMBERSHIP_MEMBER_TABLE_H_
