#include "qh_gateway/decisions/placement/prefix_cache_estimate.h"

#include "qh_core/hash/hash.h"

namespace qh {

std::vector<uint64_t> PrefixCacheEstimate::HashPrefixes(
    const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> prefixes;
  uint64_t prefix = 0;
  for (const PromptPart& part : parts) {
    prefix = HashPair(prefix, part.id);
    prefixes.push_back(prefix);
  }
  return prefixes;
}

uint64_t PrefixCacheEstimate::EntryKey(const ServerId& server,
                                       uint64_t prefix) const {
  const auto epoch = epochs_.find(server);
  return HashPair(
      Hash64(server.value(), epoch == epochs_.end() ? 0 : epoch->second),
      prefix);
}

void PrefixCacheEstimate::OnSent(const ServerId& server,
                                 const std::vector<uint64_t>& prefixes) {
  for (const uint64_t prefix : prefixes) {
    const uint64_t key = EntryKey(server, prefix);
    ++known_[key];
    order_.push_back(key);
  }
  while (order_.size() > kMaxEntries) {
    const auto oldest = known_.find(order_.front());
    if (--oldest->second == 0) {
      known_.erase(oldest);
    }
    order_.pop_front();
  }
}

uint32_t PrefixCacheEstimate::CachedTokens(
    const ServerId& server,
    const std::vector<uint64_t>& prefixes,
    const std::vector<PromptPart>& parts) const {
  uint32_t tokens = 0;
  for (size_t i = 0; i < prefixes.size(); ++i) {
    if (!known_.contains(EntryKey(server, prefixes[i]))) {
      break;
    }
    tokens += parts[i].tokens;
  }
  return tokens;
}

void PrefixCacheEstimate::Invalidate(const ServerId& server) {
  ++epochs_[server];
}

}  // namespace qh
