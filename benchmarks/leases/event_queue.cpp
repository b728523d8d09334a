#include "benchmarks/leases/event_queue.h"

#include <algorithm>
#include <tuple>

namespace qh::leases {

bool EventQueue::Later::operator()(const Entry& a, const Entry& b) const {
  return std::tie(a.time, a.number) > std::tie(b.time, b.number);
}

void EventQueue::At(TimePoint time, std::function<void()> run) {
  entries_.push({std::max(time, now_), count_++, std::move(run)});
}

void EventQueue::After(Duration wait, std::function<void()> run) {
  At(now_ + wait, std::move(run));
}

void EventQueue::RunUntil(TimePoint end) {
  while (!entries_.empty() && entries_.top().time < end) {
    // The queue gives const access only; the entry is popped right after.
    Entry entry = std::move(const_cast<Entry&>(entries_.top()));
    entries_.pop();
    now_ = entry.time;
    entry.run();
  }
  now_ = end;
}

}  // namespace qh::leases
