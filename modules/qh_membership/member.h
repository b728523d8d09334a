// The record that a gateway node keeps of another one, and the notice that a
// backend server is about to leave.

#ifndef QH_MEMBERSHIP_MEMBER_H_
#define QH_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

#include "qh_config/configuration.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"

namespace qh {

// Declared in the order of precedence: at equal incarnations the later state
// wins. Sent over the wire by number.
enum class MemberState { kLive, kSuspect, kLeaving, kDead };

template <>
inline constexpr EnumName<MemberState> kEnumNames<MemberState>[] = {
    {MemberState::kLive, "live"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kDead, "dead"},
};

struct Member {
  InstanceId id;
  FailureDomainId failure_domain;
  // Listening address for callers.
  Address callers;
  // Listening address for other gateway nodes.
  Address peers;
  // Listening address for operators.
  Address admin;
  MemberState state = MemberState::kLive;
  // Raised by the member itself when its state changes and to refute a
  // suspicion. The record with the larger incarnation wins.
  uint64_t incarnation = 0;
  // Counts the status updates of the member: `ready`, `config_version`,
  // `open_requests` and `digest`. The larger one wins within one incarnation.
  uint64_t status_version = 0;
  // Cell that the member has assigned itself to.
  uint32_t cell = 0;
  // Whether the member accepts requests of callers.
  bool ready = false;
  // Version of the configuration in force on the member.
  uint64_t config_version = 0;
  // Number of requests in flight on the member; LocateEntries orders by it.
  uint32_t open_requests = 0;
  // Opaque to membership; routing and quarantine publish data to peers in it.
  // At most kMaxDigestBytes.
  std::string digest;
};

// Limits the share of a gossip message that digests take up.
inline constexpr size_t kMaxDigestBytes = 512;

// Announces that a backend server is about to leave, or that it stays after an
// earlier notice.
struct ServerNotice {
  ServerId id;
  // Counts the server's notices and withdrawals. The larger version wins; at
  // equal versions the notice that says leaving wins.
  uint64_t version = 0;
  // False once the notice has been withdrawn.
  bool leaving = false;
  // Seconds since this version was first announced, so that all nodes drop it
  // at the same time.
  uint32_t age_s = 0;
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_MEMBER_H_
