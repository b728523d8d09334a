// Converts between what the runner of requests and the driver of idempotency
// claims say of an answer.

#ifndef QH_NODE_CONTROL_CLAIM_CONVERSION_H_
#define QH_NODE_CONTROL_CLAIM_CONVERSION_H_

#include "qh_node/control/claim_driver.h"
#include "qh_node/serving/request_runner.h"

namespace qh {

// Returns the answer as it is kept for repeated requests.
StoredAnswer ToStoredAnswer(const CompleteAnswer& answer);

// Returns what the runner is told of a claim's decision.
ClaimReply ToClaimReply(const ClaimAnswer& answer);

}  // namespace qh

#endif  // QH_NODE_CONTROL_CLAIM_CONVERSION_H_
