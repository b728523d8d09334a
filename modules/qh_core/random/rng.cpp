#include "qh_core/random/rng.h"

#include <cassert>
#include <cmath>

namespace qh {

Rng::Rng(uint64_t seed, uint64_t stream) : engine_(seed, stream) {}

uint64_t Rng::Next() {
  return engine_();
}

uint64_t Rng::Below(uint64_t bound) {
  assert(bound > 0);
  return pcg_extras::bounded_rand(engine_, bound);
}

double Rng::Uniform() {
  constexpr double kScale = 1.0 / (1ull << 53);
  return static_cast<double>(Next() >> 11) * kScale;
}

bool Rng::Chance(double probability) {
  return Uniform() < probability;
}

double Rng::Exponential(double mean) {
  return -mean * std::log1p(-Uniform());
}

Duration Rng::Between(Duration low, Duration high) {
  assert(low < high);
  return low + Duration(Below(static_cast<uint64_t>((high - low).count())));
}

}  // namespace qh
