// One run of the control search: nodes, operators and faults from a seed, and
// the figures that came out.

#ifndef BENCHMARKS_CONTROL_CONTROL_SEARCH_H_
#define BENCHMARKS_CONTROL_CONTROL_SEARCH_H_

#include <nlohmann/json_fwd.hpp>

#include "benchmarks/control/control_faults.h"
#include "benchmarks/control/control_operators.h"
#include "benchmarks/control/control_world.h"

namespace qh::control {

struct SearchOptions {
  WorldOptions world;
  OperatorOptions operators;
  FaultRates faults;
  bool with_faults = true;
  // Before faults and the counting of costs begin.
  Duration warm_up = FromSeconds(15);
  Duration length = FromSeconds(240);
  // Without new faults at the end.
  Duration quiet = FromSeconds(120);
};

struct SearchResult {
  ControlMeasures measures;
  uint64_t misjudged_applies = 0;
  uint64_t refused_applies = 0;
  double bytes_per_node_per_s = 0;
  double messages_per_node_per_s = 0;
  double store_writes_per_s = 0;
  double store_reads_per_s = 0;
  // Mean number of watches held, and watch calls a second.
  double watches = 0;
  double watch_calls_per_s = 0;
  double cpu_us_per_node_per_s = 0;
  double state_bytes_per_node = 0;
  size_t cells = 0;
};

// Runs one search.
SearchResult RunSearch(const SearchOptions& options);

// Returns the value that a share `share` of `samples` does not exceed; zero
// without samples.
double Percentile(std::vector<double> samples, double share);

// Returns the result under the keys of the bench.
nlohmann::json ToJson(const SearchResult& result);

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_SEARCH_H_
