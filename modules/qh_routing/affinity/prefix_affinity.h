// Which servers are likely to hold the beginning of a prompt in their prefix
// cache, without an index of the caches: what this node sent where, cache
// events as far as they came, and home servers that every node derives alike.

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
  // A server with the blocks of the prompt that it seems to hold.
  struct Holder {
    uint32_t server = 0;
    uint32_t blocks = 0;
  };

  struct Match {
    // Servers with the longest known beginning first; at most kMaxHolders.
    std::array<Holder, 4> holders;
    uint32_t holder_count = 0;
    // Leading blocks that are so frequent that every server has them.
    uint32_t hot_blocks = 0;
    // Names the prompt's home servers.
    uint64_t home_key = 0;
  };

  struct Options {
    // Remembered blocks; older ones are forgotten first.
    size_t max_blocks = 65'536;
    // Whether frequent prefixes are told apart from conversations.
    bool detect_hot_prefixes = true;
  };

  explicit PrefixAffinity(Options options);

  // Counts the prompt's blocks for the hot-prefix list. Once per request.
  void OnArrival(std::span<const uint64_t> blocks);

  // Looks up `blocks`. `servers` is the number of servers that may be chosen; a
  // prefix with more than one server's share of the traffic is hot.
  Match Find(std::span<const uint64_t> blocks,
             size_t servers,
             TimePoint now) const;

  // `server` was given, or said that it stored, these blocks.
  void OnStored(uint32_t server,
                std::span<const uint64_t> blocks,
                TimePoint now);

  // `server` said that it dropped these blocks, or lost its whole cache when
  // `blocks` is empty.
  void OnDropped(uint32_t server,
                 std::span<const uint64_t> blocks,
                 TimePoint now);

  // Blocks remembered now, for the memory bound.
  size_t size() const { return young_.size() + old_.size(); }

 private:
  struct Copy {
    static constexpr uint32_t kNone = UINT32_MAX;
    uint32_t server = kNone;
    TimePoint stored;
  };
  using Copies = std::array<Copy, 4>;
  using Table = std::unordered_map<uint64_t, Copies>;

  const Copies* Lookup(uint64_t block) const;
  bool IsLive(const Copy& copy, TimePoint now) const;
  uint32_t HotBlocks(std::span<const uint64_t> blocks, size_t servers) const;
  Copies& CopiesFor(uint64_t block);

  Options options_;
  SpaceSaving counts_;
  // Arrivals, halved together with counts_.
  double arrivals_ = 0;
  uint64_t since_halved_ = 0;
  // Two generations; the old one is dropped when the young one is full.
  // Together at most options_.max_blocks.
  Table young_;
  Table old_;
  // Copies stored before this time are void; one per server that lost its
  // cache.
  std::unordered_map<uint32_t, TimePoint> lost_at_;
};

}  // namespace qh

#endif  // QH_ROUTING_AFFINITY_PREFIX_AFFINITY_H_
