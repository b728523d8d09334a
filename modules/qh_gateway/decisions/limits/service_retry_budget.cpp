#include "qh_gateway/decisions/limits/service_retry_budget.h"

#include <algorithm>

namespace qh {

ServiceRetryBudget::ServiceRetryBudget(const Settings& settings)
    : settings_(settings) {}

void ServiceRetryBudget::Expire(std::deque<TimePoint>& times,
                                TimePoint now) const {
  while (!times.empty() && times.front() + settings_.window < now) {
    times.pop_front();
  }
}

void ServiceRetryBudget::OnRequest(const std::string& service, TimePoint now) {
  Window& window = services_[service];
  window.requests.push_back(now);
  Expire(window.requests, now);
}

bool ServiceRetryBudget::TryAcquire(const std::string& service,
                                    size_t nodes,
                                    TimePoint now) {
  Window& window = services_[service];
  Expire(window.requests, now);
  Expire(window.retries, now);
  const double allowed =
      settings_.ratio * static_cast<double>(window.requests.size()) +
      settings_.extra / static_cast<double>(std::max<size_t>(nodes, 1));
  if (static_cast<double>(window.retries.size()) + 1 > kUsableShare * allowed) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace qh
