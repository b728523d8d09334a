// Properties of a request that routing, claims and retries depend on.

#ifndef QH_REQUESTS_REQUEST_H_
#define QH_REQUESTS_REQUEST_H_

#include <cstdint>
#include <string>

#include "qh_config/configuration.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// Set when the request is accepted; does not change afterwards.
struct RequestSpec {
  RequestId id;
  TeamId team;
  RequestClass request_class = RequestClass::kInteractive;
  // Whether the request may run more than once. A request that is not
  // idempotent needs a claim before it is dispatched.
  bool idempotent = true;
  // Whether the answer is streamed to the caller.
  bool stream = false;
  // Set by the caller; required when the request is not idempotent.
  std::string idempotency_key;
  // Hash of the content: of the body of a model request; of method, path and
  // body of a service request. It detects an idempotency key that is reused
  // for other content, and identifies content that crashes backend servers.
  std::string fingerprint;
  // Estimate; zero for a service request.
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  // When the caller stops waiting. A stream that has started may continue
  // after the deadline.
  TimePoint deadline;
};

}  // namespace qh

#endif  // QH_REQUESTS_REQUEST_H_
