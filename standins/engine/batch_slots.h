// An engine's batch: so many requests run at once, the others wait by priority.

#ifndef STANDINS_ENGINE_BATCH_SLOTS_H_
#define STANDINS_ENGINE_BATCH_SLOTS_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace qh::standins {

struct BatchCounts {
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// Thread safe.
class BatchSlots {
 public:
  // `slots` requests run at once; zero is no limit.
  explicit BatchSlots(uint32_t slots);

  // Waits for a slot; larger priorities go first, equal ones in order.
  void Enter(int32_t priority);
  void Leave();

  BatchCounts counts() const;

 private:
  const uint32_t slots_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // All below are guarded by mutex_.
  uint32_t running_ = 0;
  uint64_t next_number_ = 0;
  // (negated priority, arrival number); the first may enter next.
  std::set<std::pair<int64_t, uint64_t>> waiting_;
};

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_BATCH_SLOTS_H_
