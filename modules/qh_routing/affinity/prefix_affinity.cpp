#include "qh_routing/affinity/prefix_affinity.h"

#include <algorithm>

namespace qh {
namespace {

constexpr size_t kCountedKeys = 1'024;
constexpr uint64_t kHalveAfter = 2'000;
// Deepest block that is counted.
constexpr size_t kCountedDepth = 64;
// Arrivals before the shares are trusted.
constexpr double kMinArrivals = 50;
// A block is counted once the block before it has this many counts.
constexpr double kCountedParent = 4;
// Age after which a copy is taken for evicted.
constexpr Duration kCopyLifetime = std::chrono::seconds(300);

}  // namespace

PrefixAffinity::PrefixAffinity(Options options)
    : options_(options), counts_(kCountedKeys) {}

void PrefixAffinity::OnArrival(std::span<const uint64_t> blocks) {
  if (!options_.detect_hot_prefixes) {
    return;
  }
  const size_t depth = std::min(blocks.size(), kCountedDepth);
  for (size_t i = 0; i < depth; ++i) {
    counts_.Add(blocks[i]);
    if (counts_.LowerBound(blocks[i]) < kCountedParent) {
      break;
    }
  }
  arrivals_ += 1;
  if (++since_halved_ >= kHalveAfter) {
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
      const bool known = std::any_of(
          match.holders.begin(), end,
          [&](const Holder& holder) { return holder.server == copy.server; });
      if (!known && match.holder_count < match.holders.size() &&
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
          (copy.server == Copy::kNone || copy.stored < slot->stored)) {
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
    lost_at_[server] = now;
    return;
  }
  for (const uint64_t block : blocks) {
    for (Table* table : {&young_, &old_}) {
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
  for (const Table* table : {&young_, &old_}) {
    const auto found = table->find(block);
    if (found != table->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

PrefixAffinity::Copies& PrefixAffinity::CopiesFor(uint64_t block) {
  const auto young = young_.find(block);
  if (young != young_.end()) {
    return young->second;
  }
  if (young_.size() >= options_.max_blocks / 2) {
    old_ = std::move(young_);
    young_ = Table();
  }
  Copies copies;
  const auto old = old_.find(block);
  if (old != old_.end()) {
    copies = old->second;
    old_.erase(old);
  }
  return young_.emplace(block, copies).first->second;
}

bool PrefixAffinity::IsLive(const Copy& copy, TimePoint now) const {
  if (copy.server == Copy::kNone || now - copy.stored > kCopyLifetime) {
    return false;
  }
  const auto lost = lost_at_.find(copy.server);
  return lost == lost_at_.end() || copy.stored > lost->second;
}

uint32_t PrefixAffinity::HotBlocks(std::span<const uint64_t> blocks,
                                   size_t servers) const {
  if (!options_.detect_hot_prefixes || arrivals_ < kMinArrivals) {
    return 0;
  }
  const double fair = arrivals_ / double(std::max<size_t>(1, servers));
  const size_t depth = std::min(blocks.size(), kCountedDepth);
  uint32_t hot = 0;
  while (hot < depth && counts_.LowerBound(blocks[hot]) > fair) {
    ++hot;
  }
  return hot;
}

}  // namespace qh
