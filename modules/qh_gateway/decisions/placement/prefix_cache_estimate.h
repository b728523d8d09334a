// Estimates which prompt prefixes each engine has in its cache, from the
// requests that this node sent to it.

#ifndef QH_GATEWAY_DECISIONS_PLACEMENT_PREFIX_CACHE_ESTIMATE_H_
#define QH_GATEWAY_DECISIONS_PLACEMENT_PREFIX_CACHE_ESTIMATE_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "qh_core/ids/ids.h"
#include "qh_core/time/time.h"
#include "qh_gateway/model/caller_request.h"

namespace qh {

class PrefixCacheEstimate {
 public:
  // Prefixes kept over all servers; the oldest are dropped first.
  static constexpr size_t kMaxEntries = 20'000;

  // Returns one hash for each prompt part, over the part and all parts before
  // it.
  static std::vector<uint64_t> HashPrefixes(
      const std::vector<PromptPart>& parts);

  // A prompt with these prefixes was sent to `server`, which caches them.
  void OnSent(const ServerId& server, const std::vector<uint64_t>& prefixes);
  // Returns how many tokens at the beginning of the prompt `server` has likely
  // cached. `prefixes` are the hashes of `parts`.
  uint32_t CachedTokens(const ServerId& server,
                        const std::vector<uint64_t>& prefixes,
                        const std::vector<PromptPart>& parts) const;
  // Forgets all prefixes of `server`, e.g. because its process restarted.
  void Invalidate(const ServerId& server);

 private:
  // Key of a prefix on the current process of `server`.
  uint64_t EntryKey(const ServerId& server, uint64_t prefix) const;

  // How often each key is in order_.
  std::unordered_map<uint64_t, uint32_t> known_;
  // Keys in the order in which they were added.
  std::deque<uint64_t> order_;
  // Incremented when a server's cache is invalidated, which changes its keys.
  std::unordered_map<ServerId, uint64_t> epochs_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PLACEMENT_PREFIX_CACHE_ESTIMATE_H_
