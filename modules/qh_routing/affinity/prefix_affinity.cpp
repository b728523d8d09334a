#include "qh_routing/affinity/prefix_affinity.h"

#include <algorithm>

namespace qh {
namespace {

// Prefixes with a count for the detection of hot prefixes.
constexpr size_t kCountedKeys = 1'024;
// Requests after which the counts are halved.
constexpr uint64_t kArrivalsPerHalving = 2'000;
// Leading blocks of a prompt that are counted at most.
constexpr size_t kMaxCountedDepth = 64;
// Requests that must be counted before prefixes are classified as hot.
constexpr double kMinArrivals = 50;
// A block is counted only if the block before it has at least this count.
constexpr double kMinParentCount = 4;
// Age after which a copy is assumed to be evicted.
constexpr Duration kCopyExpiry = std::chrono::seconds(300);

}  // namespace

PrefixAffinity::PrefixAffinity(Options options)
    : options_(options), counts_(kCountedKeys) {}

void PrefixAffinity::OnArrival(std::span<const uint64_t> blocks) {
  if (!options_.detect_hot_prefixes) {
    return;
  }
  const size_t depth = std::min(blocks.size(), kMaxCountedDepth);
  for (size_t i = 0; i < depth; ++i) {
    counts_.Add(blocks[i]);
    if (counts_.LowerBound(blocks[i]) < kMinParentCount) {
      break;
    }
  }
  arrivals_ += 1;
  if (++since_halved_ >= kArrivalsPerHalving) {
    since_halved_ = 0;
    arrivals_ /= 2;
    counts_.Halve();
  }
}

PrefixAffinity::Match PrefixAffinity::Find(std::span<const uint64_t> blocks,
                                           size_t servers,
                                           TimePoint now) const {
  Match match;
  if (blocks.empty()) {
    return match;
  }
  match.hot_blocks = HotBlocks(blocks, servers);
  match.home_key =
      blocks[std::min<size_t>(match.hot_blocks, blocks.size() - 1)];
  for (size_t depth = blocks.size(); depth > match.hot_blocks; --depth) {
    const Copies* copies = Lookup(blocks[depth - 1]);
    if (!copies) {
      continue;
    }
    for (const Copy& copy : *copies) {
      const auto end = match.holders.begin() + match.holder_count;
      const bool listed = std::any_of(match.holders.begin(), end,
                                      [&](const CacheHolder& holder) {
                                        return holder.server == copy.server;
                                      });
      if (!listed && match.holder_count < match.holders.size() &&
          IsLive(copy, now)) {
        match.holders[match.holder_count++] = {copy.server, uint32_t(depth)};
      }
    }
    if (match.holder_count == match.holders.size()) {
      break;
    }
  }
  return match;
}

void PrefixAffinity::OnStored(uint32_t server,
                              std::span<const uint64_t> blocks,
                              TimePoint now) {
  for (const uint64_t block : blocks) {
    Copies& copies = CopiesFor(block);
    Copy* slot = &copies[0];
    for (Copy& copy : copies) {
      if (copy.server == server) {
        slot = &copy;
        break;
      }
      if (slot->server != Copy::kNone &&
          (copy.server == Copy::kNone || copy.stored_at < slot->stored_at)) {
        slot = &copy;
      }
    }
    *slot = {server, now};
  }
}

void PrefixAffinity::OnDropped(uint32_t server,
                               std::span<const uint64_t> blocks,
                               TimePoint now) {
  if (blocks.empty()) {
    cache_lost_at_[server] = now;
    return;
  }
  for (const uint64_t block : blocks) {
    for (Table* table : {&recent_, &previous_}) {
      const auto found = table->find(block);
      if (found == table->end()) {
        continue;
      }
      for (Copy& copy : found->second) {
        if (copy.server == server) {
          copy = Copy();
        }
      }
    }
  }
}

const PrefixAffinity::Copies* PrefixAffinity::Lookup(uint64_t block) const {
  for (const Table* table : {&recent_, &previous_}) {
    const auto found = table->find(block);
    if (found != table->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

PrefixAffinity::Copies& PrefixAffinity::CopiesFor(uint64_t block) {
  const auto recent = recent_.find(block);
  if (recent != recent_.end()) {
    return recent->second;
  }
  if (recent_.size() >= options_.max_blocks / 2) {
    previous_ = std::move(recent_);
    recent_ = Table();
  }
  Copies copies;
  const auto old = previous_.find(block);
  if (old != previous_.end()) {
    copies = old->second;
    previous_.erase(old);
  }
  return recent_.emplace(block, copies).first->second;
}

bool PrefixAffinity::IsLive(const Copy& copy, TimePoint now) const {
  if (copy.server == Copy::kNone || now - copy.stored_at > kCopyExpiry) {
    return false;
  }
  const auto lost = cache_lost_at_.find(copy.server);
  return lost == cache_lost_at_.end() || copy.stored_at > lost->second;
}

uint32_t PrefixAffinity::HotBlocks(std::span<const uint64_t> blocks,
                                   size_t servers) const {
  if (!options_.detect_hot_prefixes || arrivals_ < kMinArrivals) {
    return 0;
  }
  const double arrivals_per_server =
      arrivals_ / double(std::max<size_t>(1, servers));
  const size_t depth = std::min(blocks.size(), kMaxCountedDepth);
  uint32_t hot = 0;
  while (hot < depth && counts_.LowerBound(blocks[hot]) > arrivals_per_server) {
    ++hot;
  }
  return hot;
}

}  // namespace qh
