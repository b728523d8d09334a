// Searches for schedules of faults under which membership or configuration
// break their bounds, in virtual time over the product's own objects.

#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/common/program.h"
#include "benchmarks/control/control_search.h"

namespace {

using qh::control::SearchOptions;

nlohmann::json RunBench(const boost::program_options::variables_map& values) {
  SearchOptions options;
  options.world.seed = values["seed"].as<uint64_t>();
  options.world.nodes = values["nodes"].as<size_t>();
  options.world.loss = values["loss"].as<double>();
  options.length = qh::FromSeconds(values["seconds"].as<double>());
  options.with_faults = !values.contains("no-faults");
  nlohmann::json result = ToJson(RunSearch(options));
  result["seed"] = options.world.seed;
  result["nodes"] = options.world.nodes;
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("options");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of the run")(
      "nodes", po::value<size_t>()->default_value(25), "nodes of the region")(
      "seconds", po::value<double>()->default_value(240),
      "virtual seconds with faults")("loss",
                                     po::value<double>()->default_value(0.01),
                                     "share of messages lost")(
      "no-faults", "run without faults, for the cost of control");
  return qh::RunProgram(argc, argv, "bench_control",
                        "searches for faults that break the control bounds",
                        options, [](const po::variables_map& values) {
                          std::cout << RunBench(values).dump() << "\n";
                          return qh::ExitCode::kOk;
                        });
}
