// What prompts each server has likely read: this node's own sends, and the home
// servers that every node agrees on by rendezvous hashing.

#ifndef QH_GATEWAY_DECISIONS_PREFIX_CACHE_ESTIMATE_H_
#define QH_GATEWAY_DECISIONS_PREFIX_CACHE_ESTIMATE_H_

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
  // Prefixes remembered over all servers; the oldest go first.
  static constexpr size_t kMaxEntries = 20'000;

  // Returns one hash per prompt part: of the part and all before it.
  static std::vector<uint64_t> HashPrefixes(
      const std::vector<PromptPart>& parts);

  // Notes that `server` reads the prefixes.
  void OnSent(const ServerId& server, const std::vector<uint64_t>& prefixes);
  // Returns the tokens at the prompt's beginning that `server` has likely read.
  uint32_t CachedTokens(const ServerId& server,
                        const std::vector<uint64_t>& prefixes,
                        const std::vector<PromptPart>& parts) const;
  // Forgets all of `server`.
  void Invalidate(const ServerId& server);

 private:
  uint64_t EntryKey(const ServerId& server, uint64_t prefix) const;

  // Times that a key stands in order_.
  std::unordered_map<uint64_t, uint32_t> known_;
  std::deque<uint64_t> order_;
  // Raised when a server's memory is void.
  std::unordered_map<ServerId, uint64_t> epochs_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_PREFIX_CACHE_ESTIMATE_H_
