#include "qh_gateway/decisions/admission/server_urgency.h"

#include <algorithm>

namespace qh {

void ServerUrgency::OnRefused(const std::string& service,
                              int priority,
                              TimePoint now) {
  services_[service][priority] = now;
}

std::optional<Duration> ServerUrgency::TimeToYield(const std::string& service,
                                                   int priority,
                                                   TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  std::optional<Duration> longest;
  for (const auto& [refused, at] : found->second) {
    const Duration left = at + kYieldTime - now;
    if (refused < priority && left > Duration::zero()) {
      longest = std::max(left, longest.value_or(left));
    }
  }
  return longest;
}

}  // namespace qh
