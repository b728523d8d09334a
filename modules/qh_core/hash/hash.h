// Hashing with xxHash. The results are the same on every node and in every
// version of the program.

#ifndef QH_CORE_HASH_HASH_H_
#define QH_CORE_HASH_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace qh {

// Returns the 64-bit hash of `bytes`.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// Returns the hash of the pair (a, b).
uint64_t HashPair(uint64_t a, uint64_t b);

// Returns the rendezvous weight of `node` for `key`; the node with the largest
// weight owns the key.
uint64_t RendezvousWeight(uint64_t key, std::string_view node);

// Returns the 128-bit hash of `bytes` as 32 lower-case hexadecimal digits.
std::string HashHex128(std::string_view bytes);

}  // namespace qh

#endif  // QH_CORE_HASH_HASH_H_
