// Keeps the requests that are sent a second time a bounded share of all, summed
// over the deployment: each node keeps to its own part of the allowance.

#ifndef QH_GATEWAY_DECISIONS_SERVICE_RETRY_BUDGET_H_
#define QH_GATEWAY_DECISIONS_SERVICE_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

class ServiceRetryBudget {
 public:
  struct Settings {
    // Repeats per request over the window.
    double ratio = 0.1;
    // Repeats over the window that all nodes together may make besides.
    double extra = 10;
    Duration window = std::chrono::seconds(10);
  };

  // Part of the allowance that is used; the rest covers windows that do not
  // fall together on all nodes.
  static constexpr double kUsableShare = 0.7;

  explicit ServiceRetryBudget(const Settings& settings);

  // Counts a request for `service` from a caller.
  void OnRequest(const std::string& service, TimePoint now);
  // Takes one repeat; returns whether it may be made. `nodes` share the extra.
  bool TryAcquire(const std::string& service, size_t nodes, TimePoint now);

 private:
  struct Window {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void Expire(std::deque<TimePoint>& times, TimePoint now) const;

  Settings settings_;
  std::map<std::string, Window> services_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_SERVICE_RETRY_BUDGET_H_
