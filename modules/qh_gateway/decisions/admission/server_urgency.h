// Order of the requests for a service whose servers all have rate limits. The
// requests that don't fit are refused, and the less urgent ones first: they
// yield for some time after a more urgent one was refused.

#ifndef QH_GATEWAY_DECISIONS_ADMISSION_SERVER_URGENCY_H_
#define QH_GATEWAY_DECISIONS_ADMISSION_SERVER_URGENCY_H_

#include <map>
#include <optional>
#include <string>

#include "qh_core/time/time.h"

namespace qh {

class ServerUrgency {
 public:
  // Less urgent requests yield this long after a refusal of a more urgent one.
  static constexpr Duration kYieldTime = std::chrono::seconds(1);

  // No server had a permit for a request of `priority`, 0 the most urgent.
  void OnRefused(const std::string& service, int priority, TimePoint now);
  // Returns how long a request of `priority` still has to yield to more urgent
  // ones; nullopt if it need not.
  std::optional<Duration> TimeToYield(const std::string& service,
                                      int priority,
                                      TimePoint now) const;

 private:
  // When a request was last refused, by priority.
  using RefusedAt = std::map<int, TimePoint>;

  std::map<std::string, RefusedAt> services_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ADMISSION_SERVER_URGENCY_H_
