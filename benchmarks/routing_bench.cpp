// Routing under load and faults in virtual time: the product's policy beside
// baselines, over engine fakes. The last line printed is JSON.

#include <algorithm>
#include <iostream>

#include "apps/common/program.h"
#include "benchmarks/routing/simulation.h"

namespace qh::bench {
namespace {

namespace po = boost::program_options;

// Limit of the first team against what it offers at load 1; the others get
// kOtherLimit.
constexpr double kFirstLimit = 1.5;
constexpr double kOtherLimit = 3;

std::vector<uint64_t> TeamLimits(const Deployment& deployment) {
  std::vector<uint64_t> limits;
  for (const double tokens : NominalTokensPerSecond(deployment)) {
    const double factor = limits.empty() ? kFirstLimit : kOtherLimit;
    limits.push_back(uint64_t(tokens * 60 * factor));
  }
  return limits;
}

ExitCode Run(const po::variables_map& values) {
  const auto deployment =
      FindDeployment(values["deployment"].as<std::string>());
  const auto fault = FromName<Fault>(values["fault"].as<std::string>());
  if (!deployment || !fault) {
    std::cerr << (fault ? deployment.error().detail()
                        : "unknown fault; one of " + NameList<Fault>())
              << "\n";
    return ExitCode::kUsage;
  }
  const std::string policy = values["policy"].as<std::string>();
  std::vector<std::string> policies = PolicyNames();
  if (policy != "all") {
    if (std::find(policies.begin(), policies.end(), policy) == policies.end()) {
      std::cerr << "unknown policy " << policy << "\n";
      return ExitCode::kUsage;
    }
    policies = {policy};
  }
  TrafficOptions traffic;
  traffic.seed = values["seed"].as<uint64_t>();
  traffic.load = values["load"].as<double>();
  traffic.flood = values["flood"].as<double>();
  traffic.length = std::chrono::seconds(values["seconds"].as<uint32_t>());
  AddToTraffic(*fault, traffic);
  const std::vector<Turn> turns = MakeTraffic(deployment.value(), traffic);
  const std::vector<uint64_t> limits = TeamLimits(deployment.value());
  std::string line;
  for (const std::string& name : policies) {
    SimulationOptions options;
    options.policy = name;
    options.seed = traffic.seed;
    options.length = traffic.length;
    Rng rng(traffic.seed, 4);
    Simulation simulation(deployment.value(), turns, limits,
                          PlanFault(*fault, deployment.value(), rng), options);
    const std::string summary =
        SummaryJson(deployment.value(), turns, limits, simulation.Run());
    std::cout << name << " " << summary << std::endl;
    line += (line.empty() ? "" : ",") + ("\"" + name + "\":") + summary;
  }
  std::cout << "{\"deployment\":\"" << deployment.value().name
            << "\",\"fault\":\"" << ToName(*fault)
            << "\",\"seed\":" << traffic.seed << ",\"load\":" << traffic.load
            << ",\"policies\":{" << line << "},\"lower_bound\":"
            << LowerBoundJson(deployment.value(), turns, traffic.length)
            << "}\n";
  return ExitCode::kOk;
}

}  // namespace
}  // namespace qh::bench

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("options");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of traffic, faults and decisions")(
      "deployment", po::value<std::string>()->default_value("rettungsschwimm"),
      "rettungsschwimm, menzaterv or large-cell")(
      "policy", po::value<std::string>()->default_value("all"),
      "a policy, or all")(
      "fault", po::value<std::string>()->default_value("none"),
      "none, domain-reclaim, wave, stale-load, brownout or "
      "hot-prefix")("load", po::value<double>()->default_value(1.0),
                    "offered load as a share of the nominal capacity")(
      "flood", po::value<double>()->default_value(1.0),
      "times its share that the first team sends")(
      "seconds", po::value<uint32_t>()->default_value(150),
      "virtual seconds in which requests arrive");
  return qh::RunProgram(argc, argv, "bench_routing",
                        "routing under load and faults", options,
                        qh::bench::Run);
}
