// The members that one node knows, and the rules by which a newer record
// replaces an older one.

#ifndef QH_MEMBERSHIP_MEMBER_TABLE_H_
#define QH_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <vector>

#include "qh_membership/gossip_message.h"
#include "qh_membership/member.h"

namespace qh {

class MemberTable {
 public:
  // With `check_incarnation` false every record replaces the one before; only
  // the search for the guard's effect does that.
  explicit MemberTable(bool check_incarnation);

  // Merges a record. Returns whether state, incarnation, addresses or cell
  // changed, which is news to pass on.
  bool Merge(const Member& incoming, TimePoint now);

  // Merges a status; ignored for an unknown member.
  void MergeStatus(const MemberStatus& incoming);

  // Returns the record, or null.
  const Member* Find(const InstanceId& id) const;

  // Returns when the state of a known member was last set.
  TimePoint ChangedAt(const InstanceId& id) const;

  // Sets the state of a known member at its present incarnation. Returns
  // whether it changed.
  bool SetState(const InstanceId& id, MemberState state, TimePoint now);

  // Drops members dead since before `limit`.
  void DropDeadBefore(TimePoint limit);

  // Returns all members, sorted by id.
  std::vector<Member> members() const;
  size_t size() const { return entries_.size(); }
  // Returns the number of members that are neither dead nor leaving.
  size_t live_count() const;
  // Returns the bytes that the table holds.
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
    // When `member.state` was last set.
    TimePoint changed;
  };

  const bool check_incarnation_;
  std::map<InstanceId, Entry> entries_;
};

// Returns whether `incoming` replaces `known`: by the larger incarnation, then
// by the graver state.
bool Supersedes(const Member& incoming, const Member& known);

// Returns the status part of `member`.
MemberStatus StatusOf(const Member& member);

}  // namespace qh

#endif  // QH_MEMBERSHIP_MEMBER_TABLE_H_
