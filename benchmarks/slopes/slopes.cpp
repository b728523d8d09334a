#include "benchmarks/slopes/slopes.h"

#include <map>

#include "benchmarks/control/control_search.h"

namespace qh::slopes {
namespace {

// Sizes below this are one small cell and grow with it; the line is fitted to
// the sizes of whole cells, where growth goes on by more cells.
constexpr size_t kWholeCell = 25;
// Changes of configuration a day: the rate does not depend on the nodes.
constexpr double kChangesPerDay = 39'000;
constexpr double kSecondsPerDay = 86'400;
// Restarts and failures a day at kDesignNodes.
constexpr double kReplacedPerDay = 3'460;
// Kinds of faults that are left out.
constexpr Duration kNever = std::chrono::hours(24 * 365);

control::SearchOptions SearchAt(size_t nodes, const Options& options) {
  control::SearchOptions search;
  search.world.seed = options.seed;
  search.world.nodes = nodes;
  search.length = options.length;
  search.quiet = std::chrono::seconds(10);
  search.operators.mean_interval = FromSeconds(kSecondsPerDay / kChangesPerDay);
  search.operators.race_share = 0;
  // Rates of single nodes are per 25 nodes.
  const double replaced_interval =
      kSecondsPerDay / (kReplacedPerDay / kDesignNodes * 25);
  search.faults.kill = FromSeconds(replaced_interval);
  search.faults.server_notice = FromSeconds(replaced_interval / 9);
  search.faults.restart = kNever;
  search.faults.pause = kNever;
  search.faults.node_notice = kNever;
  search.faults.partition = kNever;
  search.faults.store_cut = kNever;
  search.faults.store_outage = kNever;
  search.faults.loss_burst = kNever;
  search.faults.domain_reclaim = kNever;
  return search;
}

std::map<std::string, double> Costs(const control::SearchResult& result) {
  const control::ControlMeasures& measures = result.measures;
  return {
      {"bytes_per_node_per_s", result.bytes_per_node_per_s},
      {"messages_per_node_per_s", result.messages_per_node_per_s},
      {"state_bytes_per_node", result.state_bytes_per_node},
      {"cpu_us_per_node_per_s", result.cpu_us_per_node_per_s},
      {"store_reads_per_s", result.store_reads_per_s},
      {"store_writes_per_s", result.store_writes_per_s},
      {"watch_calls_per_s", result.watch_calls_per_s},
      {"watches", result.watches},
      {"config_in_force_s_max",
       control::Percentile(measures.config_in_force_s, 1.0)},
  };
}

}  // namespace

Line Fit(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - mean_x) * (y - mean_y);
    variance += (x - mean_x) * (x - mean_x);
  }
  Line line;
  line.per_node = covariance / variance;
  line.at_zero = mean_y - line.per_node * mean_x;
  return line;
}

nlohmann::json Measure(const Options& options) {
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  nlohmann::json measured = nlohmann::json::array();
  for (const size_t nodes : options.sizes) {
    const auto result = RunSearch(SearchAt(nodes, options));
    nlohmann::json row = {{"nodes", nodes}, {"cells", result.cells}};
    for (const auto& [name, value] : Costs(result)) {
      row[name] = value;
      if (nodes >= kWholeCell || options.sizes.back() <= kWholeCell) {
        points[name].emplace_back(static_cast<double>(nodes), value);
      }
    }
    measured.push_back(row);
  }
  nlohmann::json slopes;
  for (const auto& [name, samples] : points) {
    const Line line = Fit(samples);
    slopes[name] = {{"at_zero", line.at_zero},
                    {"per_node", line.per_node},
                    {"at_1200", line.at_zero + line.per_node * kDesignNodes}};
  }
  nlohmann::json result = {
      {"seed", options.seed}, {"measured", measured}, {"slopes", slopes}};
  for (const Section& section : options.sections) {
    section(result);
  }
  return result;
}

}  // namespace qh::slopes
