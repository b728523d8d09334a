// The cost of control over the number of nodes: runs the control search's world
// without faults, but with the day's rate of replaced nodes, at each size, fits
// a straight line to each cost and reads it at the size to design for.

#ifndef BENCHMARKS_SLOPES_SLOPES_H_
#define BENCHMARKS_SLOPES_SLOPES_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

#include "qh_core/time/time.h"

namespace qh::slopes {

// Nodes of the size to design for.
inline constexpr double kDesignNodes = 1'200;

// A section measured by other means, such as real processes: adds its keys.
using Section = std::function<void(nlohmann::json&)>;

struct Options {
  uint64_t seed = 1;
  std::vector<size_t> sizes = {5, 25, 50, 100, 200};
  Duration length = std::chrono::seconds(120);
  std::vector<Section> sections;
};

// value = at_zero + per_node * nodes, by least squares.
struct Line {
  double at_zero = 0;
  double per_node = 0;
};

// Returns the line through `points` of (nodes, value) with the least squared
// error; at least two different node counts.
Line Fit(const std::vector<std::pair<double, double>>& points);

// Runs all sizes. Returns per cost the values measured, the line, and its value
// at kDesignNodes.
nlohmann::json Measure(const Options& options);

}  // namespace qh::slopes

#endif  // BENCHMARKS_SLOPES_SLOPES_H_
