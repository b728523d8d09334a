#include "qh_gateway/decisions/limits/descriptor_shares.h"

#include <algorithm>

namespace qh {
namespace {

// Least that any listener may have open.
constexpr uint64_t kMinConnections = 4;

size_t Part(uint64_t files, uint64_t parts_of_64) {
  return static_cast<size_t>(
      std::max(kMinConnections, files / 64 * parts_of_64));
}

}  // namespace

DescriptorShares SharesOfDescriptors(uint64_t max_open_files) {
  // 14/64 are left. Each running request needs a second descriptor for its
  // server, so no more than half is for callers.
  return {.callers = Part(max_open_files, 32),
          .peers = Part(max_open_files, 8),
          .locate = Part(max_open_files, 8),
          .readiness = Part(max_open_files, 1),
          .metrics = Part(max_open_files, 1)};
}

}  // namespace qh
