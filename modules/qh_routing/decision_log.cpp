#include "qh_routing/decision_log.h"

#include <cassert>
#include <cmath>
#include <utility>

#include "qh_core/log/log_line.h"

namespace qh {

std::string Decision::ToString() const {
  LogLine line("decision");
  line.With("request", request.value()).With("reason", reason);
  if (!server.empty()) {
    line.With("server", server.value())
        .With("in_flight", std::lround(in_flight))
        .With("limit", std::lround(limit))
        .With("prompt_tokens", prompt_tokens)
        .With("cached_tokens", cached_tokens)
        .With("expected_first_part_ms", ToMilliseconds(expected_ttfb));
  }
  if (retry_after.count() > 0) {
    line.With("retry_after_ms", ToMilliseconds(retry_after));
  }
  return line.text();
}

DecisionLog::DecisionLog(size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
}

void DecisionLog::Record(Decision decision) {
  if (ring_.size() < capacity_) {
    ring_.emplace_back();
  } else {
    const auto overwritten = positions_.find(ring_[next_].request);
    if (overwritten != positions_.end() && overwritten->second == next_) {
      positions_.erase(overwritten);
    }
  }
  positions_[decision.request] = next_;
  ring_[next_] = std::move(decision);
  next_ = (next_ + 1) % capacity_;
}

std::optional<Decision> DecisionLog::Find(const RequestId& request) const {
  const auto found = positions_.find(request);
  if (found == positions_.end()) {
    return std::nullopt;
  }
  return ring_[found->second];
}

}  // namespace qh
