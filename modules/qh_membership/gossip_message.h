// The message of the membership gossip and its encoding. Every membership call
// between gateway nodes carries a GossipMessage and is answered by one.

#ifndef QH_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define QH_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_membership/member.h"

namespace qh {

// Name of the call between peers that carries a GossipMessage.
inline constexpr const char* kMembershipCall = "membership";

// Size of the largest encoded message that Decode accepts.
inline constexpr size_t kMaxGossipMessageBytes = 256 << 10;

enum class GossipMessageKind {
  // Asks for a kAck.
  kPing,
  // Answers every other kind except kSync.
  kAck,
  // Asks the receiver to ping `target`.
  kPingRequest,
  // Reports to the sender of a kPingRequest that `target` answered the ping.
  kIndirectAck,
  // Carries urgent updates ahead of the next probe.
  kPush,
  // Carries all members and notices of the sender; answered by a kSync with
  // those of the receiver.
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

// The part of a member's record that changes often. See Member for the fields.
struct MemberStatus {
  InstanceId id;
  uint64_t incarnation = 0;
  uint64_t status_version = 0;
  uint64_t config_version = 0;
  uint32_t open_requests = 0;
  bool ready = false;
};

// Fields that a kind does not use keep their defaults.
struct GossipMessage {
  GossipMessageKind kind = GossipMessageKind::kPing;
  // The sender's status; its id identifies the sender.
  MemberStatus sender;
  // Number of the call, chosen by the caller; the answer carries the same one.
  uint64_t sequence = 0;
  // Subject of kPingRequest and kIndirectAck.
  InstanceId target;
  // Hash of all notices that the sender knows, regardless of their age and
  // order; nodes that know the same notices have the same hash.
  uint64_t notices_hash = 0;
  // Full records: updates, or all members in kSync.
  std::vector<Member> members;
  // Statuses of further members.
  std::vector<MemberStatus> statuses;
  // Notices of backend servers that leave, and withdrawals of such notices.
  std::vector<ServerNotice> servers;

  // Returns the message as msgpack bytes.
  std::string Encode() const;

  // Decodes the output of Encode. Fields that a newer version has appended are
  // ignored, fields that an older one lacks keep their defaults, and records
  // with unknown states are dropped. Fails with kPeerMalformed.
  static Result<GossipMessage> Decode(std::string_view bytes);
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_GOSSIP_MESSAGE_H_
