// Retry budget per service: bounds the retries to a share of the requests
// within a sliding window, over the whole deployment. Each node enforces its
// own part of the budget without talking to the others.

#ifndef QH_GATEWAY_DECISIONS_LIMITS_SERVICE_RETRY_BUDGET_H_
#define QH_GATEWAY_DECISIONS_LIMITS_SERVICE_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

class ServiceRetryBudget {
 public:
  struct Settings {
    // Retries per request within the window.
    double ratio = 0.1;
    // Retries within the window that all nodes together may make beyond that.
    double extra = 10;
    Duration window = std::chrono::seconds(10);
  };

  // Share of the budget that a node uses. The rest is headroom, because the
  // nodes' windows don't begin at the same time.
  static constexpr double kUsableShare = 0.7;

  explicit ServiceRetryBudget(const Settings& settings);

  // Counts a caller's request for `service`.
  void OnRequest(const std::string& service, TimePoint now);
  // Takes one retry from the budget if it allows one; returns whether it did.
  // `nodes` is the number of nodes that share Settings::extra.
  bool TryAcquire(const std::string& service, size_t nodes, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  // Removes the times that have left the window.
  void Expire(std::deque<TimePoint>& times, TimePoint now) const;

  Settings settings_;
  std::map<std::string, Window> services_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_LIMITS_SERVICE_RETRY_BUDGET_H_
