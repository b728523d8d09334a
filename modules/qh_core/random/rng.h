// Seeded random numbers (PCG). The pure state machines make all random choices
// with an Rng whose seed the caller chooses, so that runs can be repeated.

#ifndef QH_CORE_RANDOM_RNG_H_
#define QH_CORE_RANDOM_RNG_H_

#include <cstdint>
#include <pcg_random.hpp>

#include "qh_core/time/time.h"

namespace qh {

class Rng {
 public:
  explicit Rng(uint64_t seed, uint64_t stream = 0);

  // Returns 64 random bits.
  uint64_t Next();

  // Returns a number in [0, bound). `bound` must be positive.
  uint64_t Below(uint64_t bound);

  // Returns a number in [0, 1).
  double Uniform();

  // Returns true with probability `probability`.
  bool Chance(double probability);

  // Returns a draw from the exponential distribution with `mean`.
  double Exponential(double mean);

  // Returns a duration in [low, high). `low` must be less than `high`.
  Duration Between(Duration low, Duration high);

 private:
  pcg64 engine_;
};

}  // namespace qh

#endif  // QH_CORE_RANDOM_RNG_H_
