// Runs accepted requests to their end. Each call of RequestRunner::Run runs one
// RequestSession on the calling thread.

#ifndef QH_NODE_SERVING_REQUEST_RUNNER_H_
#define QH_NODE_SERVING_REQUEST_RUNNER_H_

#include <functional>

#include "qh_node/serving/dispatcher.h"
#include "qh_node/serving/quarantine_driver.h"
#include "qh_node/serving/request_table.h"
#include "qh_node/upstream/backend_client.h"
#include "qh_requests/claims/claim_messages.h"

namespace qh {

// Result of claiming an idempotency key.
enum class ClaimVerdict {
  // This request holds the claim and may run.
  kWon,
  // An earlier request with this key was answered; ClaimReply::answer is its
  // answer.
  kReplayed,
  // Refuse the request with ClaimReply::error.
  kRefused,
};

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  CompleteAnswer answer;
  Error error;
};

// Calls from the runner to the rest of the node. All are thread safe.
struct RunnerHooks {
  std::function<ConfigurationPtr()> configuration;
  // Claims the request's idempotency key. Blocks until the claim is durable.
  std::function<ClaimReply(const RequestSpec&)> claim;
  // Records how a claimed request ended. `answer` is used for kAnswered only.
  std::function<
      void(const RequestSpec&, OutcomeKind, const CompleteAnswer& answer)>
      end_claim;
  // Reports the result of a non-idempotent call to the peer that took over
  // `record`. The call itself stays on this node until it ends.
  std::function<void(const RequestRecord& record,
                     const Result<CompleteAnswer>&)>
      report_result;
  // Whether a backend server is known to be leaving.
  std::function<bool(const ServerId&)> is_leaving;
};

// The parts of the node that a RequestSession uses. The referenced objects must
// outlive the runner.
struct RunnerDependencies {
  Dispatcher& dispatcher;
  QuarantineDriver& quarantine;
  BackendClient& backends;
  RunnerHooks hooks;
};

// Thread safe.
class RequestRunner {
 public:
  explicit RequestRunner(RunnerDependencies dependencies)
      : deps_(std::move(dependencies)) {}

  // Runs `record` on the calling thread and returns when it has ended.
  void Run(RequestRecord& record);

 private:
  RunnerDependencies deps_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_RUNNER_H_
