// What an engine reports of its load: the state of some time ago.

#ifndef STANDINS_ENGINE_LOAD_HISTORY_H_
#define STANDINS_ENGINE_LOAD_HISTORY_H_

#include <deque>
#include <mutex>

#include "qh_core/time/time.h"
#include "standins/engine/batch_slots.h"

namespace qh::standins {

// Thread safe.
class LoadHistory {
 public:
  explicit LoadHistory(Duration lag);

  // Records the counts at `now`.
  void Add(const BatchCounts& counts, TimePoint now);

  // Returns the counts as they were `lag` before `now`.
  BatchCounts Report(TimePoint now);

 private:
  struct Sample {
    TimePoint time;
    BatchCounts counts;
  };

  const Duration lag_;
  std::mutex mutex_;
  // Guarded by mutex_. In order of time; the first is the oldest still needed.
  std::deque<Sample> samples_;
};

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_LOAD_HISTORY_H_
