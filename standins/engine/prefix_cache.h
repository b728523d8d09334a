// An engine's cache of prompt prefixes: blocks of the prompt, the least
// recently used dropped first.

#ifndef STANDINS_ENGINE_PREFIX_CACHE_H_
#define STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace qh::standins {

// Returns the chained hash of each block of `prompt`: equal hashes mean equal
// prompts up to that block's end.
std::vector<uint64_t> PromptBlocks(std::string_view prompt);

// Thread safe.
class PrefixCache {
 public:
  // Holds `capacity` blocks.
  explicit PrefixCache(size_t capacity);

  // Returns how many leading blocks are cached, and adds all of `blocks`.
  size_t Use(const std::vector<uint64_t>& blocks);

  // Returns those leading blocks of `blocks` that are cached.
  std::vector<uint64_t> Cached(const std::vector<uint64_t>& blocks) const;

  size_t size() const;

 private:
  void Touch(uint64_t block);

  const size_t capacity_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. Most recently used first; index_ points into order_.
  std::list<uint64_t> order_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> index_;
};

}  // namespace qh::standins

#endif  // STANDINS_ENGINE_PREFIX_CACHE_H_
