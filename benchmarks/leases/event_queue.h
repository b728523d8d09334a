// Events in virtual time, run in order of their times.

#ifndef LEASES_EVENT_QUEUE_H_
#define LEASES_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "qh_core/time/time.h"

namespace qh::leases {

class EventQueue {
 public:
  TimePoint now() const { return now_; }

  // Runs `run` at `time`, or now if that has passed.
  void At(TimePoint time, std::function<void()> run);
  void After(Duration wait, std::function<void()> run);

  // Runs every event before `end`, then sets the time to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Entry {
    TimePoint time;
    // Keeps events of one time in the order in which they were added.
    uint64_t number;
    std::function<void()> run;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const;
  };

  TimePoint now_;
  uint64_t count_ = 0;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
};

}  // namespace qh::leases

#endif  // LEASES_EVENT_QUEUE_H_
