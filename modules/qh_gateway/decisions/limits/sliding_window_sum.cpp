#include "qh_gateway/decisions/limits/sliding_window_sum.h"

#include <algorithm>
#include <cassert>

namespace qh {

SlidingWindowSum::SlidingWindowSum(Duration window)
    : slot_length_(
          std::max(window / static_cast<int64_t>(kSlots), Duration(1))) {
  assert(window > Duration::zero());
}

void SlidingWindowSum::Advance(TimePoint now) {
  const int64_t current = now.time_since_epoch() / slot_length_;
  if (current <= newest_) {
    return;
  }
  const auto size = static_cast<int64_t>(slots_.size());
  const int64_t passed = std::min(current - newest_, size);
  for (int64_t i = 0; i < passed; ++i) {
    double& slot = slots_[(current - i) % size];
    sum_ -= slot;
    slot = 0;
  }
  newest_ = current;
}

void SlidingWindowSum::Add(double units, TimePoint now) {
  Advance(now);
  slots_[newest_ % static_cast<int64_t>(slots_.size())] += units;
  sum_ += units;
}

void SlidingWindowSum::AddEvenly(double units, TimePoint now) {
  Advance(now);
  const double each = units / static_cast<double>(kSlots);
  const auto size = static_cast<int64_t>(slots_.size());
  for (int64_t i = 1; i < size; ++i) {
    slots_[(newest_ + i) % size] += each;
  }
  sum_ += units;
}

void SlidingWindowSum::AddAt(double units, TimePoint at, TimePoint now) {
  Advance(now);
  const int64_t slot = at.time_since_epoch() / slot_length_;
  const auto size = static_cast<int64_t>(slots_.size());
  if (slot <= newest_ - size || slot > newest_) {
    return;
  }
  slots_[slot % size] += units;
  sum_ += units;
}

std::vector<double> SlidingWindowSum::Parts(size_t count, TimePoint now) {
  Advance(now);
  std::vector<double> parts(count);
  const auto size = static_cast<int64_t>(slots_.size());
  for (int64_t i = 0; i < size; ++i) {
    parts[static_cast<size_t>(i) * count / slots_.size()] +=
        slots_[(newest_ + 1 + i) % size];
  }
  return parts;
}

double SlidingWindowSum::Sum(TimePoint now) {
  Advance(now);
  return sum_;
}

double SlidingWindowSum::LeavingWithin(Duration time, TimePoint now) {
  Advance(now);
  const auto size = static_cast<int64_t>(slots_.size());
  const int64_t slots = std::min(time / slot_length_, size - 1);
  double leaving = 0;
  for (int64_t i = 1; i <= slots; ++i) {
    leaving += slots_[(newest_ + i) % size];
  }
  return leaving;
}

Duration SlidingWindowSum::TimeUntilAtMost(double target, TimePoint now) {
  Advance(now);
  const auto size = static_cast<int64_t>(slots_.size());
  double left = sum_;
  int64_t slots = 0;
  while (left > target && slots < size) {
    ++slots;
    left -= slots_[(newest_ + slots) % size];
  }
  if (slots == 0) {
    return Duration::zero();
  }
  return TimePoint(slot_length_ * (newest_ + slots)) - now;
}

}  // namespace qh
