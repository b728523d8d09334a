#include "benchmarks/control/control_search.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace qh::control {

SearchResult RunSearch(const SearchOptions& options) {
  ControlWorld world(options.world);
  ControlOperators operators(world, options.operators);
  ControlFaults faults(world, options.faults);
  const TimePoint begin{};
  const TimePoint counted = begin + options.warm_up;
  const TimePoint faults_end = counted + options.length;
  const TimePoint end = faults_end + options.quiet;
  operators.Start(end - FromSeconds(10));
  world.RunUntil(counted);
  world.ResetCosts();
  if (options.with_faults) {
    faults.Start(faults_end);
  }
  world.RunUntil(end);
  world.Finish();

  const double seconds = ToSeconds(end - counted);
  const double node_seconds =
      seconds * static_cast<double>(options.world.nodes);
  const FakeTraffic& traffic = world.network().total();
  const StoreCounts& store = world.store().counts();
  SearchResult result;
  result.measures = world.measures();
  result.misjudged_applies = operators.misjudged();
  result.refused_applies = operators.refused();
  result.bytes_per_node_per_s =
      static_cast<double>(traffic.bytes + store.bytes) / node_seconds;
  result.messages_per_node_per_s =
      static_cast<double>(traffic.messages) / node_seconds;
  result.store_writes_per_s = static_cast<double>(store.writes) / seconds;
  result.store_reads_per_s = static_cast<double>(store.reads) / seconds;
  result.watch_calls_per_s = static_cast<double>(store.watches) / seconds;
  result.watches = static_cast<double>(store.watch_us) / 1e6 / seconds;
  result.cpu_us_per_node_per_s = world.cpu_us() / node_seconds;
  result.state_bytes_per_node = static_cast<double>(world.state_bytes());
  result.cells = world.cells().size();
  return result;
}

double Percentile(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(samples.size())));
  return samples[std::min(samples.size() - 1, rank == 0 ? 0 : rank - 1)];
}

nlohmann::json ToJson(const SearchResult& result) {
  const ControlMeasures& measures = result.measures;
  return {
      {"config_in_force_s_p99", Percentile(measures.config_in_force_s, 0.99)},
      {"config_in_force_s_max", Percentile(measures.config_in_force_s, 1.0)},
      {"reverts", measures.reverts},
      {"work_after_leaving_s_max", measures.work_after_leaving_s},
      {"false_deaths", measures.false_deaths},
      {"death_detect_s_p99", Percentile(measures.death_detect_s, 0.99)},
      {"unhealed", measures.unhealed},
      {"not_ready", measures.not_ready},
      {"accepted", measures.accepted},
      {"refused_applies", result.refused_applies},
      {"misjudged_applies", result.misjudged_applies},
      {"bytes_per_node_per_s", result.bytes_per_node_per_s},
      {"messages_per_node_per_s", result.messages_per_node_per_s},
      {"store_writes_per_s", result.store_writes_per_s},
      {"store_reads_per_s", result.store_reads_per_s},
      {"watch_calls_per_s", result.watch_calls_per_s},
      {"watches", result.watches},
      {"cpu_us_per_node_per_s", result.cpu_us_per_node_per_s},
      {"state_bytes_per_node", result.state_bytes_per_node},
      {"cells", result.cells},
  };
}

}  // namespace qh::control
