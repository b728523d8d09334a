// The updates that a node still has to gossip. Each update is sent a limited
// number of times, which the caller derives from the logarithm of the member
// count; the updates with the most transmissions left go first.

#ifndef QH_MEMBERSHIP_GOSSIP_QUEUE_H_
#define QH_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <algorithm>
#include <map>
#include <vector>

namespace qh {

// `Key` identifies the member or backend server that an update is about.
template <typename Key>
class GossipQueue {
 public:
  // Queues an update about `key` for `transmissions` messages, which must be at
  // least one. Replaces an earlier update about the same key.
  void Add(const Key& key, uint32_t transmissions) {
    transmissions_left_[key] = transmissions;
  }

  // Returns the keys with the most transmissions left, at most `limit`, and
  // counts one transmission for each.
  std::vector<Key> Take(size_t limit) {
    std::vector<std::pair<uint32_t, Key>> order;
    order.reserve(transmissions_left_.size());
    for (const auto& [key, left] : transmissions_left_) {
      order.emplace_back(left, key);
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    order.resize(std::min(limit, order.size()));
    std::vector<Key> keys;
    for (const auto& [left, key] : order) {
      keys.push_back(key);
      if (--transmissions_left_[key] == 0) {
        transmissions_left_.erase(key);
      }
    }
    return keys;
  }

  bool empty() const { return transmissions_left_.empty(); }
  size_t size() const { return transmissions_left_.size(); }

 private:
  // Transmissions left by key; never zero.
  std::map<Key, uint32_t> transmissions_left_;
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_GOSSIP_QUEUE_H_
