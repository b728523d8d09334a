// How a process's descriptors are divided.

#include "qh_gateway/decisions/limits/descriptor_shares.h"

#include <catch2/catch.hpp>

namespace qh {

// Guards against listeners that together can take every descriptor.
TEST_CASE("listeners leave descriptors for servers, store and peers") {
  const uint64_t files = GENERATE(256, 3'075, 12'300, 1'048'576);
  const DescriptorShares shares = SharesOfDescriptors(files);
  const size_t sum = shares.callers + shares.peers + shares.locate +
                     shares.readiness + shares.metrics;
  CHECK(sum <= files / 5 * 4);
  CHECK(shares.callers >= files / 64 * 32);
  CHECK(shares.readiness >= 4);
}

}  // namespace qh
