#include "qh_membership/cell_plan.h"

#include <array>
#include <cmath>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// The steps are far apart, so that losing a few nodes keeps the cell count and
// with it every instance in its cell.
constexpr std::array<uint32_t, 15> kCellCounts = {
    1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192};

// Returns the step of kCellCounts that is closest to the wanted count on a
// logarithmic scale.
uint32_t CellCountFor(size_t nodes) {
  const double target_count =
      static_cast<double>(nodes) / static_cast<double>(kNodesPerCell);
  uint32_t best = 1;
  for (const uint32_t count : kCellCounts) {
    const double distance = std::abs(std::log((target_count + 1e-9) / count));
    if (distance < std::abs(std::log((target_count + 1e-9) / best))) {
      best = count;
    }
  }
  return best;
}

uint32_t CellId(const std::string& region, uint32_t index) {
  return static_cast<uint32_t>(HashPair(Hash64(region), index));
}

}  // namespace

CellPlan::CellPlan(const std::map<std::string, size_t>& nodes_by_region) {
  for (const auto& [region, nodes] : nodes_by_region) {
    cell_counts_[region] = CellCountFor(nodes);
  }
}

uint32_t CellPlan::cell_count(const std::string& region) const {
  const auto found = cell_counts_.find(region);
  return found == cell_counts_.end() ? 1 : found->second;
}

uint32_t CellPlan::CellOf(std::string_view instance,
                          const std::string& region) const {
  const uint32_t count = cell_count(region);
  uint32_t best = 0;
  uint64_t best_weight = 0;
  for (uint32_t index = 0; index < count; ++index) {
    const uint32_t cell = CellId(region, index);
    const uint64_t weight = RendezvousWeight(cell, instance);
    if (weight >= best_weight) {
      best = cell;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace qh
