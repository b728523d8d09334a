// A call between gateway nodes: its kind, and a body that the module
// responsible for the kind encodes. Each call gets one reply.

#ifndef QH_PEER_PEER_CALL_H_
#define QH_PEER_PEER_CALL_H_

#include <functional>
#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/text/enum_table.h"

namespace qh {

// The names in kEnumNames are part of the request path.
enum class PeerCallKind {
  // Gossip of the membership, with the data piggybacked on it.
  kMembership,
  // Asks for the manifest and files of a newer configuration.
  kConfig,
  // Informs the receiver that the platform reclaims its instance.
  kReclaimNotice,
  // Asks the owner of a partition for a claim.
  kClaim,
  // Reports to the owner of a partition how a claimed request ended.
  kOutcome,
  // Asks the cell's arbiter whether a request may run.
  kGrant,
  // Reports to the arbiter that a granted run ended.
  kGrantEnd,
  // Informs all nodes that the arbiter granted a run of a request whose earlier
  // attempts crashed backend servers.
  kGrantedRun,
  // Reports that content is suspected of crashing backend servers, or that the
  // suspicion is withdrawn.
  kSuspicion,
  // Reports the demand of the teams on the sender.
  kDemand,
  // Hands an open request over to the receiver.
  kHandover,
  // Reports the result of a handed-over request to the node that took the
  // request over.
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
  // Opaque to qh_peer.
  std::string body;
};

// Returns the body of the reply to a call, or the error that the caller sees as
// a failed call. Runs on any of the server's handler threads.
using PeerHandler = std::function<Result<std::string>(const PeerCall&)>;

}  // namespace qh

#endif  // QH_PEER_PEER_CALL_H_
