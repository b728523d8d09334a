// Measures the cost of control at several sizes and fits how it grows.

#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/common/program.h"
#include "benchmarks/slopes/slopes.h"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("options");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of the runs")(
      "seconds", po::value<double>()->default_value(120),
      "virtual seconds measured at each size")("quick",
                                               "only the two smallest sizes");
  return qh::RunProgram(
      argc, argv, "bench_slopes", "measures the cost of control over sizes",
      options, [](const po::variables_map& values) {
        qh::slopes::Options measured;
        measured.seed = values["seed"].as<uint64_t>();
        measured.length = qh::FromSeconds(values["seconds"].as<double>());
        if (values.contains("quick")) {
          measured.sizes.resize(2);
        }
        std::cout << qh::slopes::Measure(measured).dump() << "\n";
        return qh::ExitCode::kOk;
      });
}
