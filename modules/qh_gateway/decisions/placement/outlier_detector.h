// Outlier detection for backend servers. A server that can't be reached, or
// that breaks connections or times out several times in a row, is ejected: it
// gets no requests for a while. The detector also keeps each server's failure
// share, so that a server that fails more requests than the others of its
// service gets fewer of them.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_OUTLIER_DETECTOR_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <map>

#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// How an attempt, one dispatch of a request to a server, ended.
enum class AttemptOutcome {
  kAnswered,
  // The server answered with a status from 500 to 599.
  kFailed,
  // The server answered that it did not run the request.
  kRejected,
  // No connection could be made.
  kUnreachable,
  // The connection broke before the answer was complete.
  kBroken,
  // No answer within the timeout.
  kUnresponsive,
  // The caller left or the request's deadline passed. This says nothing about
  // the server.
  kAbandoned,
};

template <>
inline constexpr EnumName<AttemptOutcome> kEnumNames<AttemptOutcome>[] = {
    {AttemptOutcome::kAnswered, "answered"},
    {AttemptOutcome::kFailed, "failed"},
    {AttemptOutcome::kRejected, "rejected"},
    {AttemptOutcome::kUnreachable, "unreachable"},
    {AttemptOutcome::kBroken, "broken"},
    {AttemptOutcome::kUnresponsive, "silent"},
    {AttemptOutcome::kAbandoned, "abandoned"},
};

class OutlierDetector {
 public:
  // Length of a server's first ejection; each further one lasts twice as long,
  // up to kMaxEjection.
  static constexpr Duration kBaseEjection = std::chrono::milliseconds(500);
  static constexpr Duration kMaxEjection = std::chrono::seconds(4);
  // Broken connections and timeouts in a row after which a server is ejected. A
  // server that can't be reached is ejected at once.
  static constexpr uint32_t kFailuresToEject = 3;
  // Smoothing factor of the failure share: the weight of the newest attempt.
  static constexpr double kFailureSmoothing = 0.1;
  // The failure share of a server that gets no requests halves in this time.
  static constexpr Duration kFailureHalfLife = std::chrono::seconds(2);

  // Records an attempt's outcome. Returns whether it caused the server's
  // ejection.
  bool OnAttemptEnded(const ServerId& server,
                      AttemptOutcome outcome,
                      TimePoint now);
  // Whether the server is ejected and must get no requests at `now`.
  bool IsEjected(const ServerId& server, TimePoint now) const;
  // Exponentially weighted share of recent attempts that failed, broke or timed
  // out, 0 to 1. Attempts that found the server unreachable don't count.
  double FailureShare(const ServerId& server, TimePoint now) const;
  // Forgets everything about `server`, e.g. because its process restarted.
  void Reset(const ServerId& server);

 private:
  struct Record {
    uint32_t consecutive_failures = 0;
    // Length of the next ejection.
    Duration ejection = kBaseEjection;
    TimePoint ejected_until;
    // Failure share as of `updated_at`, without the decay since then.
    double failure_share = 0;
    TimePoint updated_at;
  };

  // Returns the record's failure share, decayed to `now`.
  static double DecayedFailureShare(const Record& record, TimePoint now);

  std::map<ServerId, Record> servers_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_OUTLIER_DETECTOR_H_
