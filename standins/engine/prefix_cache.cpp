#include "standins/engine/prefix_cache.h"

#include "qh_core/hash/hash.h"

namespace qh::standins {
namespace {

constexpr size_t kBlockBytes = 256;

}  // namespace

std::vector<uint64_t> PromptBlocks(std::string_view prompt) {
  std::vector<uint64_t> blocks;
  uint64_t hash = 0;
  for (size_t at = 0; at < prompt.size(); at += kBlockBytes) {
    hash = Hash64(prompt.substr(at, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

PrefixCache::PrefixCache(size_t capacity) : capacity_(capacity) {}

size_t PrefixCache::Use(const std::vector<uint64_t>& blocks) {
  const size_t cached = Cached(blocks).size();
  const std::lock_guard lock(mutex_);
  // The last block first, so that a prefix outlives what follows it.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    Touch(*block);
  }
  while (order_.size() > capacity_) {
    index_.erase(order_.back());
    order_.pop_back();
  }
  return cached;
}

std::vector<uint64_t> PrefixCache::Cached(
    const std::vector<uint64_t>& blocks) const {
  const std::lock_guard lock(mutex_);
  std::vector<uint64_t> cached;
  for (const uint64_t block : blocks) {
    if (!index_.contains(block)) {
      break;
    }
    cached.push_back(block);
  }
  return cached;
}

size_t PrefixCache::size() const {
  const std::lock_guard lock(mutex_);
  return order_.size();
}

void PrefixCache::Touch(uint64_t block) {
  const auto found = index_.find(block);
  if (found != index_.end()) {
    order_.erase(found->second);
  }
  order_.push_front(block);
  index_[block] = order_.begin();
}

}  // namespace qh::standins
