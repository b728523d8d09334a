// Selects the gateway nodes that a caller may connect to: live nodes that are
// ready, those in the caller's failure domain first, overloaded ones last.

#ifndef QH_MEMBERSHIP_ENTRY_LOCATOR_H_
#define QH_MEMBERSHIP_ENTRY_LOCATOR_H_

#include <cstdint>
#include <vector>

#include "qh_membership/member.h"

namespace qh {

struct EntryQuery {
  // Hash of the team and conversation. Equal keys get the same order as long as
  // the members and their load groups stay the same.
  uint64_t affinity_key = 0;
  // Empty when unknown.
  FailureDomainId caller_failure_domain;
};

// Returns the live and ready members in the order in which the caller should
// try them: not overloaded before overloaded, then members of the caller's
// failure domain before others, then by rendezvous weight of the affinity key.
std::vector<Member> LocateEntries(const EntryQuery& query,
                                  const std::vector<Member>& members);

}  // namespace qh

#endif  // QH_MEMBERSHIP_ENTRY_LOCATOR_H_
