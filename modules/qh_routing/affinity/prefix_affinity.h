// Estimates which servers hold the beginning of a prompt in their prefix cache.
// There is no complete index of the caches. The estimate uses the requests that
// this node sent to each server, the cache events that it received, and home
// servers that every node derives from the prompt in the same way.
//
// A hot prefix is one that is so frequent, such as a common system prompt, that
// every server is assumed to have it cached. The home servers of a prompt are
// derived from the first block after its hot prefix, so that conversations with
// the same hot prefix spread over all servers.

#ifndef QH_ROUTING_AFFINITY_PREFIX_AFFINITY_H_
#define QH_ROUTING_AFFINITY_PREFIX_AFFINITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_routing/affinity/space_saving.h"

namespace qh {

// Tokens in one block of RouteQuery::prefix_blocks.
inline constexpr uint32_t kPrefixBlockTokens = 64;

class PrefixAffinity {
 public:
  // A server with the number of leading blocks that it is likely to hold.
  struct CacheHolder {
    uint32_t server = 0;
    uint32_t blocks = 0;
  };

  // What is known about a prompt.
  struct Match {
    // The first holder_count entries are the servers that are likely to hold
    // more than the hot prefix, longest prefix first.
    std::array<CacheHolder, 4> holders;
    uint32_t holder_count = 0;
    // Number of leading blocks that form a hot prefix.
    uint32_t hot_blocks = 0;
    // Key from which the prompt's home servers are derived.
    uint64_t home_key = 0;
  };

  struct Options {
    // Upper bound of the remembered blocks; the oldest are dropped first.
    size_t max_blocks = 65'536;
    // Whether hot prefixes are detected. If not, no prefix is hot.
    bool detect_hot_prefixes = true;
  };

  explicit PrefixAffinity(Options options);

  // Counts the prompt's blocks to detect hot prefixes. Call it once per
  // request.
  void OnArrival(std::span<const uint64_t> blocks);

  // Looks up `blocks`. `servers` is the number of servers that may be chosen: a
  // prefix is hot if it is in more than 1 / `servers` of the requests.
  Match Find(std::span<const uint64_t> blocks,
             size_t servers,
             TimePoint now) const;

  // `server` was sent a prompt with these blocks, or reported that it stored
  // them.
  void OnStored(uint32_t server,
                std::span<const uint64_t> blocks,
                TimePoint now);

  // `server` dropped these blocks, or lost its whole cache when `blocks` is
  // empty.
  void OnDropped(uint32_t server,
                 std::span<const uint64_t> blocks,
                 TimePoint now);

  // Number of remembered blocks.
  size_t size() const { return recent_.size() + previous_.size(); }

 private:
  // A server that is likely to hold a block; kNone marks a free entry.
  struct Copy {
    static constexpr uint32_t kNone = UINT32_MAX;
    uint32_t server = kNone;
    TimePoint stored_at;
  };
  using Copies = std::array<Copy, 4>;
  using Table = std::unordered_map<uint64_t, Copies>;

  // Returns the copies of `block`, or null if none are known.
  const Copies* Lookup(uint64_t block) const;
  // Whether the server of `copy` is likely to still hold the block.
  bool IsLive(const Copy& copy, TimePoint now) const;
  // Returns the number of leading blocks that form a hot prefix.
  uint32_t HotBlocks(std::span<const uint64_t> blocks, size_t servers) const;
  // Returns the copies of `block`, after moving them to recent_ or adding an
  // empty entry there.
  Copies& CopiesFor(uint64_t block);

  Options options_;
  SpaceSaving counts_;
  // Counted requests, halved together with counts_.
  double arrivals_ = 0;
  // Requests counted since the last halving.
  uint64_t since_halved_ = 0;
  // Two generations of blocks. When recent_ is full, it replaces previous_.
  // Together they have at most options_.max_blocks entries.
  Table recent_;
  Table previous_;
  // When servers lost their caches. Copies stored until then are invalid.
  std::unordered_map<uint32_t, TimePoint> cache_lost_at_;
};

}  // namespace qh

#endif  // QH_ROUTING_AFFINITY_PREFIX_AFFINITY_H_
