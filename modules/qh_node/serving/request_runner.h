// Runs one request to its end: each Run is a RequestSession on the calling
// thread.

#ifndef QH_NODE_SERVING_REQUEST_RUNNER_H_
#define QH_NODE_SERVING_REQUEST_RUNNER_H_

#include <functional>

#include "qh_node/serving/dispatcher.h"
#include "qh_node/serving/quarantine_driver.h"
#include "qh_node/serving/request_table.h"
#include "qh_node/upstream/backend_client.h"
#include "qh_requests/claims/claim_messages.h"

namespace qh {

// What asking for the claim of an idempotency key gave.
enum class ClaimVerdict {
  // This request is the first; run it.
  kWon,
  // An earlier run answered; `answer` is its answer.
  kReplayed,
  // Refuse with `error`.
  kRefused,
};

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  WholeAnswer answer;
  Error error;
};

// How the runner reaches the rest of the node. All are thread safe.
struct RunnerHooks {
  std::function<ConfigurationPtr()> configuration;
  // Asks for the claim and waits until it is durable.
  std::function<ClaimReply(const RequestSpec&)> claim;
  // Records how a claimed request ended; `answer` counts for kAnswered.
  std::function<
      void(const RequestSpec&, OutcomeKind, const WholeAnswer& answer)>
      end_claim;
  // Tells the peer that took `record` over how a call that could not be moved
  // itself ended here.
  std::function<void(const RequestRecord& record, const Result<WholeAnswer>&)>
      report_result;
  // Whether a backend server is known to leave.
  std::function<bool(const ServerId&)> is_leaving;
};

// The parts of the node that a request's run uses.
struct RunnerParts {
  Dispatcher& dispatcher;
  QuarantineDriver& quarantine;
  BackendClient& backends;
  RunnerHooks hooks;
};

// Thread safe.
class RequestRunner {
 public:
  explicit RequestRunner(RunnerParts parts) : parts_(std::move(parts)) {}

  // Runs `record` until it ended, on the calling thread.
  void Run(RequestRecord& record);

 private:
  RunnerParts parts_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_RUNNER_H_
