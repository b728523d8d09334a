#include "standins/engine/batch_slots.h"

namespace qh::standins {

BatchSlots::BatchSlots(uint32_t slots) : slots_(slots) {}

void BatchSlots::Enter(int32_t priority) {
  std::unique_lock lock(mutex_);
  const auto place =
      waiting_.emplace(-static_cast<int64_t>(priority), next_number_++).first;
  changed_.wait(lock, [&] {
    return place == waiting_.begin() && (slots_ == 0 || running_ < slots_);
  });
  waiting_.erase(place);
  ++running_;
  changed_.notify_all();
}

void BatchSlots::Leave() {
  const std::lock_guard lock(mutex_);
  --running_;
  changed_.notify_all();
}

BatchCounts BatchSlots::counts() const {
  const std::lock_guard lock(mutex_);
  return {running_, static_cast<uint32_t>(waiting_.size())};
}

}  // namespace qh::standins
