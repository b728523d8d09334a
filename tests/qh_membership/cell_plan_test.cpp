// Cell plan: size and failure domains of the cells, and their stability when
// the number of nodes changes.

#include "qh_membership/cell_plan.h"

#include <catch2/catch.hpp>
#include <set>

namespace qh {

TEST_CASE("a small region is one cell") {
  const CellPlan plan({{"r", 5}});
  CHECK(plan.cell_count("r") == 1);
  CHECK(plan.CellOf("a", "r") == plan.CellOf("b", "r"));
}

TEST_CASE("a large region's cells hold about 25 nodes and span its domains") {
  const CellPlan plan({{"r", 1'200}});
  CHECK(plan.cell_count("r") == 48);
  std::map<uint32_t, std::set<int>> domains;
  std::map<uint32_t, int> nodes;
  for (int i = 0; i < 1'200; ++i) {
    const uint32_t cell = plan.CellOf("node-" + std::to_string(i), "r");
    ++nodes[cell];
    domains[cell].insert(i % 4);
  }
  CHECK(nodes.size() == 48);
  int spanning = 0;
  for (const auto& [cell, count] : nodes) {
    CHECK(count >= 10);
    CHECK(count <= 45);
    // Each cell still spans two failure domains when any one is lost.
    CHECK(domains[cell].size() >= 3);
    spanning += domains[cell].size() == 4;
  }
  CHECK(spanning >= 46);
}

TEST_CASE("losing a few nodes changes no cell, growth changes few cells") {
  const CellPlan before({{"r", 200}});
  const CellPlan fewer({{"r", 190}});
  const CellPlan more({{"r", 300}});
  CHECK(before.cell_count("r") == 8);
  CHECK(more.cell_count("r") == 12);
  int changed = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string node = "node-" + std::to_string(i);
    CHECK(before.CellOf(node, "r") == fewer.CellOf(node, "r"));
    changed += before.CellOf(node, "r") != more.CellOf(node, "r");
  }
  CHECK(changed < 150);
}

TEST_CASE("two regions have no cell in common") {
  const CellPlan plan({{"r", 200}, {"s", 200}});
  std::set<uint32_t> cells;
  for (int i = 0; i < 200; ++i) {
    cells.insert(plan.CellOf("node-" + std::to_string(i), "r"));
    cells.insert(plan.CellOf("node-" + std::to_string(i), "s"));
  }
  CHECK(cells.size() == 16);
}

}  // namespace qh
