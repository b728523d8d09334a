// Encodings for the handover of a request to a peer: the caller's request as
// received, and the result of a call that stayed on the old node.

#ifndef QH_NODE_HANDOVER_HANDOVER_PAYLOAD_H_
#define QH_NODE_HANDOVER_HANDOVER_PAYLOAD_H_

#include <string>

#include "qh_node/serving/request_record.h"

namespace qh {

// Serializes `payload` for HandoverRecord::payload.
std::string EncodePayload(const RequestPayload& payload);

// Parses the output of EncodePayload. Fails with kPeerMalformed.
Result<RequestPayload> DecodePayload(const std::string& bytes);

// Result of a call that stayed on the old node, for the peer that took over its
// request.
struct HandoverResult {
  RequestId id;
  // The answer, or the error that the caller gets.
  Result<CompleteAnswer> result = Error(ErrorKind::kOutcomeUnknown, "");

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<HandoverResult> Decode(const std::string& bytes);
};

}  // namespace qh

#endif  // QH_NODE_HANDOVER_HANDOVER_PAYLOAD_H_
