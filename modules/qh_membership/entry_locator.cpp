#include "qh_membership/entry_locator.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// A node with more open requests than this multiple of the mean is overloaded
// and sorted behind the others.
constexpr double kOverloadFactor = 1.25;

// Returns the number of open requests above which a member of `entries` is
// overloaded. The added one keeps a single open request from counting as
// overload when the mean is small.
double OverloadThreshold(const std::vector<Member>& entries) {
  double total = 0;
  for (const Member& member : entries) {
    total += member.open_requests;
  }
  return 1 + kOverloadFactor * total / static_cast<double>(entries.size());
}

}  // namespace

std::vector<Member> LocateEntries(const EntryQuery& query,
                                  const std::vector<Member>& members) {
  std::vector<Member> entries;
  for (const Member& member : members) {
    if (member.state == MemberState::kLive && member.ready) {
      entries.push_back(member);
    }
  }
  if (entries.empty()) {
    return entries;
  }
  const double overload_threshold = OverloadThreshold(entries);
  // An overloaded node of the caller's failure domain is sorted behind nodes of
  // other domains that are not overloaded.
  const auto group = [&](const Member& member) {
    const int is_overloaded = member.open_requests > overload_threshold ? 1 : 0;
    const int is_far =
        member.failure_domain == query.caller_failure_domain ? 0 : 1;
    return 2 * is_overloaded + is_far;
  };
  const auto rank = [&](const Member& member) {
    return RendezvousWeight(query.affinity_key, member.id.value());
  };
  std::sort(
      entries.begin(), entries.end(), [&](const Member& a, const Member& b) {
        return group(a) != group(b) ? group(a) < group(b) : rank(a) > rank(b);
      });
  return entries;
}

}  // namespace qh
