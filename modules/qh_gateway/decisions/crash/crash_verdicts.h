// What is blocked because it crashes servers: the verdicts that CrashTracker
// reached on this node or a peer. A verdict holds while requests go on being
// refused for it. Now and then one request is let through as a trial, because a
// verdict may be wrong or its cause may have been mended.

#ifndef QH_GATEWAY_DECISIONS_CRASH_CRASH_VERDICTS_H_
#define QH_GATEWAY_DECISIONS_CRASH_CRASH_VERDICTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/request_features.h"

namespace qh {

struct CrashVerdict {
  // Crashes that a verdict needs against a feature on which answers went well
  // before.
  static constexpr size_t kOnceSoundThreshold = 5;

  // In increasing order, at least one. A request that has all of them is
  // blocked. More than one if the evidence can't tell them apart.
  std::vector<Feature> features;
  // The last known crash with these features.
  TimePoint crashed;
  // When a node reached the verdict.
  TimePoint decided;
  // The last known refusal, or the decision before the first one.
  TimePoint refused;
  // Trials so far, on all nodes.
  uint32_t trials = 0;
  // Crashes that were the reason.
  size_t crashes = 0;

  // Whether an answer that began at `began` and went well clears a feature: the
  // last crash is older, or the verdict was reached without knowing of the
  // answer and has too few crashes.
  bool IsClearedBy(TimePoint began) const {
    return began > crashed || crashes < kOnceSoundThreshold;
  }
};

class CrashVerdicts {
 public:
  // A verdict ends this long after the last refusal.
  static constexpr Duration kLifetime = std::chrono::minutes(10);
  // Time from the decision to the first trial. Each further one waits twice as
  // long as the one before, because a trial may cost a server.
  static constexpr Duration kFirstTrialDelay = std::chrono::minutes(2);
  // Verdicts held; the one whose last refusal is oldest is dropped first.
  static constexpr size_t kMaxVerdicts = 256;

  // Adds a verdict or merges it with the one of the same features. Removes the
  // verdicts that it makes superfluous. Returns whether it was new.
  bool Add(const CrashVerdict& verdict);
  // Removes the verdict of exactly these features. Returns it if there was one.
  std::optional<CrashVerdict> Remove(const std::vector<Feature>& features);
  // From now on, for kLifetime, a verdict of these features is only added if it
  // was decided after `now`.
  void RefuseOlder(const std::vector<Feature>& features, TimePoint now);
  // Returns the verdict that blocks a request with these features, or null.
  const CrashVerdict* Find(const std::vector<Feature>& sorted) const;
  // Whether a verdict with this feature is held.
  bool Concerns(Feature feature) const;
  // An answer on the feature that began at `began` went well: the verdicts that
  // this clears of the feature no longer name it, and end if they name no
  // other. Returns the verdicts that ended.
  std::vector<CrashVerdict> OnSound(Feature feature, TimePoint began);
  // A server crashed with the features of one request.
  void OnCrash(const std::vector<Feature>& sorted, TimePoint at);
  // A request with these features was refused.
  void OnRefused(const std::vector<Feature>& sorted, TimePoint now);
  // Takes the trial of the verdict that blocks these features if it is due;
  // returns whether it was.
  bool TakeTrial(const std::vector<Feature>& sorted, TimePoint now);
  // Removes the verdicts that have ended.
  void Expire(TimePoint now);

  const std::vector<CrashVerdict>& all() const { return verdicts_; }

 private:
  CrashVerdict* FindMutable(const std::vector<Feature>& sorted);

  std::vector<CrashVerdict> verdicts_;
  // See RefuseOlder: by features, the time after which a verdict must have been
  // decided to be added. At most kMaxVerdicts.
  std::map<std::vector<Feature>, TimePoint> decided_after_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_CRASH_VERDICTS_H_
