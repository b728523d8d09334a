#include "qh_routing/affinity/space_saving.h"

#include <algorithm>
#include <cassert>

namespace qh {

SpaceSaving::SpaceSaving(size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
  entries_.reserve(capacity + 1);
}

void SpaceSaving::Add(uint64_t key) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    found->second.count += 1;
    return;
  }
  Entry entry;
  if (entries_.size() >= capacity_) {
    EvictSmallest(entry);
  }
  entry.count += 1;
  entries_.emplace(key, entry);
}

double SpaceSaving::LowerBound(uint64_t key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? 0
                                 : found->second.count - found->second.error;
}

void SpaceSaving::Halve() {
  for (auto& [key, entry] : entries_) {
    entry.count /= 2;
    entry.error /= 2;
  }
}

// One sorted list is used for many evictions, so the count of the victim may
// have increased since the list was made. LowerBound stays correct because
// `error` is the whole count of the victim.
void SpaceSaving::EvictSmallest(Entry& replacement) {
  if (next_victim_ >= victims_.size() / 2) {
    victims_.clear();
    for (const auto& [key, entry] : entries_) {
      victims_.push_back(key);
    }
    std::sort(victims_.begin(), victims_.end(), [&](uint64_t a, uint64_t b) {
      const double left = entries_.at(a).count;
      const double right = entries_.at(b).count;
      return left != right ? left < right : a < b;
    });
    next_victim_ = 0;
  }
  const auto victim = entries_.find(victims_[next_victim_++]);
  replacement.count = victim->second.count;
  replacement.error = victim->second.count;
  entries_.erase(victim);
}

}  // namespace qh
