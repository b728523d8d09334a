// Judges a new version by the failures and the slow responses of its canary
// requests, compared with those of the old version over the same time. Load
// patterns: a version that is bad at once, only later, only under load or only
// on one route; a good one whose servers start cold.
//
// Each comparison is made over all routes and for each route by itself, over
// the whole rollout and over a recent time, so that neither other routes nor an
// earlier sound time hide a fault. Slow responses of the warm-up don't count.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_CANARY_ANALYSIS_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_CANARY_ANALYSIS_H_

#include <deque>
#include <optional>
#include <string>

#include "qh_gateway/decisions/rollout/rollout_types.h"

namespace qh {

class CanaryAnalysis {
 public:
  // Slow responses within this part (1/2) of RolloutBounds::rollback_time from
  // the first response don't count, as the servers are cold. The rest is for
  // the verdict and its spread.
  static constexpr int kWarmUpDivisor = 2;
  // Warm-up after the switch, when servers without canary requests get load.
  static constexpr Duration kSwitchWarmUp = std::chrono::milliseconds(1'800);
  // Length of the recent time.
  static constexpr Duration kRecent = std::chrono::seconds(2);
  // Time between two snapshots of the counts.
  static constexpr Duration kSnapshotInterval = std::chrono::milliseconds(200);
  // Responses after the warm-up that a version needs to pass. With fewer, a
  // moderate share of failures can't be told from chance.
  static constexpr uint64_t kMinSamples = 12;
  // Time after a warm-up in which a fault has to show before the version
  // passes.
  static constexpr Duration kObservation = std::chrono::milliseconds(600);

  explicit CanaryAnalysis(Duration rollback_time)
      : warm_up_(rollback_time / kWarmUpDivisor) {}

  // Takes the counts since the order, summed over all nodes.
  void Update(const VersionCounts& counts, TimePoint now);
  // All traffic moves to the new version from now on.
  void OnSwitch(TimePoint now);

  // Whether responses to requests sent now count as slow if they are.
  bool IsWarm(TimePoint now) const { return warm_at_ && now >= *warm_at_; }
  // Returns why the version is bad, or nullopt while no fault is found.
  std::optional<std::string> FindFault() const;
  // Whether enough responses are known to call the version good, and none of
  // the comparisons raises a doubt.
  bool HasPassed(TimePoint now) const;
  // Responses of the new version counted so far.
  ResponseCounts total() const;

 private:
  struct Snapshot {
    TimePoint at;
    VersionCounts counts;
  };

  // Returns a fault in `since`, the counts of a span of time: bad responses of
  // the new version, at least `min_bad`, that exceed what the old version
  // explains by `sigmas` standard deviations. Slow responses count as bad only
  // if `with_slow`.
  std::optional<std::string> Compare(const VersionCounts& since,
                                     bool with_slow,
                                     double sigmas,
                                     uint64_t min_bad) const;
  // Compares the counts of every span: since the order, since the warm-up, and
  // of the recent time.
  std::optional<std::string> Find(double sigmas, uint64_t min_bad) const;

  Duration warm_up_;
  VersionCounts counts_;
  // When the first response of the new version was counted.
  std::optional<TimePoint> first_at_;
  std::optional<TimePoint> warm_at_;
  // The counts when the warm-up was over.
  std::optional<VersionCounts> warm_counts_;
  // Oldest first; the first one is about kRecent old.
  std::deque<Snapshot> history_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_CANARY_ANALYSIS_H_
