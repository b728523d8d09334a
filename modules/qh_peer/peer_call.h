// What nodes send each other: a kind, and a body that the module of that kind
// encodes. A call gets one reply.

#ifndef QH_PEER_PEER_CALL_H_
#define QH_PEER_PEER_CALL_H_

#include <functional>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/text/enum_table.h"

namespace qh {

enum class PeerCallKind {
  // Membership and what is piggybacked on it.
  kMembership,
  // Manifest and files of the configuration.
  kConfig,
  // Tells the receiver that the platform reclaims its instance.
  kReclaimNotice,
  // Asks the owner of a partition for a claim.
  kClaim,
  // Tells the owner of a partition how a claimed request ended.
  kOutcome,
  // Asks the cell's arbiter whether a request may run.
  kGrant,
  // Tells the arbiter that a granted run ended.
  kGrantEnd,
  kGrantedRun,
  // Tells that content may crash backend servers, or does not after all.
  kSuspicion,
  // Tells the demand of the teams on the sender.
  kDemand,
  // Hands an open request over.
  kHandover,
  // Tells the peer that took a request over how it ended.
  kHandoverResult,
};

template <>
inline constexpr EnumName<PeerCallKind> kEnumNames<PeerCallKind>[] = {
    {PeerCallKind::kMembership, "membership"},
    {PeerCallKind::kConfig, "config"},
    {PeerCallKind::kReclaimNotice, "reclaim_notice"},
    {PeerCallKind::kClaim, "claim"},
    {PeerCallKind::kOutcome, "outcome"},
    {PeerCallKind::kGrant, "grant"},
    {PeerCallKind::kGrantEnd, "grant_end"},
    {PeerCallKind::kGrantedRun, "granted_run"},
    {PeerCallKind::kSuspicion, "suspicion"},
    {PeerCallKind::kDemand, "demand"},
    {PeerCallKind::kHandover, "handover"},
    {PeerCallKind::kHandoverResult, "handover_result"},
};

struct PeerCall {
  PeerCallKind kind = PeerCallKind::kMembership;
  std::string body;
};

// Answers one message. Called on any of the server's threads.
using PeerHandler = std::function<Result<std::string>(const PeerCall&)>;

}  // namespace qh

#endif  // QH_PEER_PEER_CALL_H_
