#include "standins/engine/load_history.h"

namespace qh::standins {

LoadHistory::LoadHistory(Duration lag) : lag_(lag) {}

void LoadHistory::Add(const BatchCounts& counts, TimePoint now) {
  const std::lock_guard lock(mutex_);
  samples_.push_back({now, counts});
  while (samples_.size() > 1 && samples_[1].time + lag_ <= now) {
    samples_.pop_front();
  }
}

BatchCounts LoadHistory::Report(TimePoint now) {
  const std::lock_guard lock(mutex_);
  while (samples_.size() > 1 && samples_[1].time + lag_ <= now) {
    samples_.pop_front();
  }
  const bool known = !samples_.empty() && samples_[0].time + lag_ <= now;
  return known ? samples_[0].counts : BatchCounts();
}

}  // namespace qh::standins
