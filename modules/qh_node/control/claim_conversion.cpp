#include "qh_node/control/claim_conversion.h"

namespace qh {

StoredAnswer ToStoredAnswer(const CompleteAnswer& answer) {
  return {static_cast<uint32_t>(answer.status), answer.content_type,
          answer.body};
}

ClaimReply ToClaimReply(const ClaimAnswer& answer) {
  switch (answer.decision) {
    case ClaimDecision::kWon:
      return {ClaimVerdict::kWon, {}, {}};
    case ClaimDecision::kReplayed:
      return {ClaimVerdict::kReplayed,
              {static_cast<int>(answer.answer.status),
               answer.answer.content_type, answer.answer.body},
              {}};
    case ClaimDecision::kRefused:
      break;
  }
  return {ClaimVerdict::kRefused, {}, Error(answer.error, "idempotency claim")};
}

}  // namespace qh
