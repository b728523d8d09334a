// The one message that nodes of a cell exchange, and its bytes. Every call over
// the peer link carries a GossipMessage and is answered by one.

#ifndef QH_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define QH_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_membership/member.h"

namespace qh {

// Name of the call on the peer link that carries a GossipMessage.
inline constexpr const char* kMembershipCall = "membership";

// Largest encoded message that Decode accepts.
inline constexpr size_t kMaxGossipMessageBytes = 256 << 10;

enum class GossipMessageKind {
  // Asks for an acknowledgement.
  kPing,
  // Answers every other kind but kSync.
  kAck,
  // Asks the receiver to ping `target`.
  kPingRequest,
  // Tells that `target` answered a ping that was asked for.
  kIndirectAck,
  // Carries news at once.
  kPush,
  // Carries the sender's members; answered by the receiver's.
  kSync,
};

template <>
inline constexpr EnumName<GossipMessageKind> kEnumNames<GossipMessageKind>[] = {
    {GossipMessageKind::kPing, "ping"},
    {GossipMessageKind::kAck, "ack"},
    {GossipMessageKind::kPingRequest, "ping_request"},
    {GossipMessageKind::kIndirectAck, "indirect_ack"},
    {GossipMessageKind::kPush, "push"},
    {GossipMessageKind::kSync, "sync"},
};

// The part of a member's record that changes often.
struct MemberStatus {
  InstanceId id;
  uint64_t incarnation = 0;
  uint64_t beat = 0;
  uint64_t config_version = 0;
  uint32_t open_requests = 0;
  bool ready = false;
};

struct GossipMessage {
  GossipMessageKind kind = GossipMessageKind::kPing;
  // The sender's own status; its id names the sender.
  MemberStatus sender;
  // Number of the call, chosen by the caller; the answer repeats it.
  uint64_t sequence = 0;
  // Subject of kPingRequest and kIndirectAck.
  InstanceId target;
  // Hash of all notices that the sender knows; equal on nodes that know the
  // same.
  uint64_t notices_hash = 0;
  // Full records: news, or all members in kSync.
  std::vector<Member> members;
  // Status of further members.
  std::vector<MemberStatus> statuses;
  // Backend servers that leave, or that were said to.
  std::vector<ServerNotice> servers;

  // Returns the message as msgpack bytes.
  std::string Encode() const;

  // Reads what Encode wrote. Fields that a newer version appended are ignored,
  // fields that an older one lacks keep their defaults, records with unknown
  // states are dropped. Fails with kPeerMalformed.
  static Result<GossipMessage> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_GOSSIP_MESSAGE_H_
