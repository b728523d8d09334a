// Space-Saving counter: finds the most frequent keys of a stream in fixed
// memory. The owner halves the counts from time to time, so that keys that are
// no longer frequent are evicted.

#ifndef QH_ROUTING_AFFINITY_SPACE_SAVING_H_
#define QH_ROUTING_AFFINITY_SPACE_SAVING_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace qh {

class SpaceSaving {
 public:
  // Keeps counts of `capacity` keys, at least one.
  explicit SpaceSaving(size_t capacity);

  // Counts one occurrence of `key`.
  void Add(uint64_t key);

  // Halves every count.
  void Halve();

  // Returns a lower bound of the count of `key`; zero if the key is not kept.
  double LowerBound(uint64_t key) const;

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double count = 0;
    // Upper bound of the part of `count` that belongs to evicted keys.
    double error = 0;
  };

  // Evicts a key of small count, whose count `replacement` inherits.
  void EvictSmallest(Entry& replacement);

  size_t capacity_;
  // At most capacity_ entries.
  std::unordered_map<uint64_t, Entry> entries_;
  // Keys in ascending order of their counts when the list was made. Those
  // before next_victim_ have been evicted.
  std::vector<uint64_t> victims_;
  size_t next_victim_ = 0;
};

}  // namespace qh

#endif  // QH_ROUTING_AFFINITY_SPACE_SAVING_H_
