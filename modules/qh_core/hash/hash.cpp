#include "qh_core/hash/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace qh {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashPair(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> pair = {a, b};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

uint64_t RendezvousWeight(uint64_t key, std::string_view node) {
  return Hash64(node, key);
}

std::string HashHex128(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

}  // namespace qh
