#include "qh_gateway/decisions/placement/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace qh {

bool OutlierDetector::OnAttemptEnded(const ServerId& server,
                                     AttemptOutcome outcome,
                                     TimePoint now) {
  if (outcome == AttemptOutcome::kAbandoned) {
    return false;
  }
  Record& record = servers_[server];
  if (outcome != AttemptOutcome::kUnreachable) {
    const bool failed = outcome != AttemptOutcome::kAnswered &&
                        outcome != AttemptOutcome::kRejected;
    const double before = DecayedFailureShare(record, now);
    record.failure_share =
        before + kFailureSmoothing * ((failed ? 1.0 : 0.0) - before);
    record.updated_at = now;
  }
  if (outcome == AttemptOutcome::kAnswered ||
      outcome == AttemptOutcome::kFailed ||
      outcome == AttemptOutcome::kRejected) {
    record.consecutive_failures = 0;
    record.ejection = kBaseEjection;
    return false;
  }
  record.consecutive_failures +=
      outcome == AttemptOutcome::kUnreachable ? kFailuresToEject : 1;
  if (record.consecutive_failures < kFailuresToEject ||
      now < record.ejected_until) {
    return false;
  }
  record.ejected_until = now + record.ejection;
  record.ejection = std::min<Duration>(2 * record.ejection, kMaxEjection);
  // One more failure after the ejection ejects it again.
  record.consecutive_failures = kFailuresToEject - 1;
  return true;
}

bool OutlierDetector::IsEjected(const ServerId& server, TimePoint now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

double OutlierDetector::DecayedFailureShare(const Record& record,
                                            TimePoint now) {
  const double halvings =
      ToSeconds(now - record.updated_at) / ToSeconds(kFailureHalfLife);
  return record.failure_share * std::exp2(-halvings);
}

double OutlierDetector::FailureShare(const ServerId& server,
                                     TimePoint now) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : DecayedFailureShare(found->second, now);
}

void OutlierDetector::Reset(const ServerId& server) {
  servers_.erase(server);
}

}  // namespace qh
