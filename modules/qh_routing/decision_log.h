// Keeps the last routing decisions of a node, for `quetzalhall explain
// REQUEST`.

#ifndef QH_ROUTING_DECISION_LOG_H_
#define QH_ROUTING_DECISION_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "qh_core/errors/error_kind.h"
#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"

namespace qh {

// A routing or admission decision about one request.
struct Decision {
  RequestId request;
  TimePoint at;
  // Empty when no server was chosen.
  ServerId server;
  // A fixed name, e.g. "prefix_holder" or "deadline_unreachable". Not owned;
  // refers to static text.
  std::string_view reason;
  // Estimated requests of all nodes in flight on the server, and its limit.
  double in_flight = 0;
  double limit = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  // Expected time from dispatch to the first byte of the answer.
  Duration expected_ttfb{};
  // Zero unless refused.
  Duration retry_after{};

  // Returns the decision as a log line of key=value pairs.
  std::string ToString() const;
};

class DecisionLog {
 public:
  // Keeps the last `capacity` decisions.
  explicit DecisionLog(size_t capacity);

  void Record(Decision decision);

  // Returns the last decision about `request`, or nothing if none is kept.
  std::optional<Decision> Find(const RequestId& request) const;

 private:
  size_t capacity_;
  // Ring buffer of at most capacity_ decisions; the next one goes to next_.
  std::vector<Decision> ring_;
  size_t next_ = 0;
  // Position in ring_ of each request's last decision.
  std::unordered_map<RequestId, size_t> positions_;
};

}  // namespace qh

#endif  // QH_ROUTING_DECISION_LOG_H_
