// Assigns a region's gateway nodes and backend servers to cells. A cell has
// about kNodesPerCell nodes and spans the region's failure domains. Every node
// computes the same plan from the same list of instances.

#ifndef QH_MEMBERSHIP_CELL_PLAN_H_
#define QH_MEMBERSHIP_CELL_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace qh {

// Target number of gateway nodes of a cell.
inline constexpr size_t kNodesPerCell = 25;

class CellPlan {
 public:
  // `nodes_by_region` gives the number of listed gateway nodes of each region.
  explicit CellPlan(const std::map<std::string, size_t>& nodes_by_region);

  // Returns the id of the cell of `instance`, a gateway node or backend server
  // of `region`. Cells of different regions have different ids. When the cell
  // count of a region changes, only instances that join an added cell or belong
  // to a removed one change their cell.
  uint32_t CellOf(std::string_view instance, const std::string& region) const;

  // Returns the number of cells of `region`; one for an unknown region.
  uint32_t cell_count(const std::string& region) const;

 private:
  std::map<std::string, uint32_t> cell_counts_;
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_CELL_PLAN_H_
