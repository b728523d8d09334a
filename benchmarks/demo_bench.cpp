// The demo's driver. scripts/demo runs it step by step: plan, list, wait,
// drive.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "apps/common/program.h"
#include "benchmarks/demo/demo_cloud.h"
#include "benchmarks/demo/demo_drive.h"

namespace {

namespace po = boost::program_options;
using qh::ExitCode;

constexpr auto kReadyLimit = std::chrono::seconds(30);

ExitCode CodeOf(const qh::Result<void>& result) {
  if (!result) {
    std::cerr << result.error().detail() << "\n";
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

// scripts/demo keeps the id of each process that it started in a file.
void Terminate(const std::string& work, const std::string& process) {
  std::ifstream stream(std::filesystem::path(work) / "pids" / process);
  pid_t pid = 0;
  if (stream >> pid && pid > 1) {
    kill(pid, SIGTERM);
  }
}

ExitCode Drive(const qh::demo::DemoPlan& plan,
               const po::variables_map& values) {
  const std::string work = values["work"].as<std::string>();
  qh::demo::DriveOptions options;
  options.seed = values["seed"].as<uint64_t>();
  options.length = std::chrono::seconds(values["seconds"].as<uint32_t>());
  options.callers = values["callers"].as<uint32_t>();
  options.stop_engine = [&](const std::string& engine) {
    Terminate(work, engine);
  };
  qh::demo::DemoReport report;
  const auto driven = qh::demo::Drive(plan, options, report);
  std::cout << report.Table();
  if (!driven) {
    std::cerr << driven.error().detail() << "\n";
  }
  std::cout << report.Json() << "\n";
  return driven && report.held() ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Run(const po::variables_map& values) {
  const std::string step = values["STEP"].as<std::string>();
  const std::string work = values["work"].as<std::string>();
  if (step == "plan") {
    return CodeOf(
        qh::demo::WritePlan(values["config"].as<std::string>(), work));
  }
  const auto plan = qh::demo::ReadPlan(work);
  if (!plan) {
    std::cerr << plan.error().detail() << "\n";
    return ExitCode::kUsage;
  }
  if (step == "list") {
    return CodeOf(qh::demo::ListInstances(plan.value()));
  }
  if (step == "wait") {
    return CodeOf(qh::demo::WaitReady(plan.value(), kReadyLimit));
  }
  if (step == "drive") {
    return Drive(plan.value(), values);
  }
  std::cerr << "unknown step " << step << "; see --help\n";
  return ExitCode::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("STEP", po::value<std::string>()->required(),
                        "plan, list, wait or drive")(
      "work", po::value<std::string>()->required(),
      "folder for the demo's files")(
      "config", po::value<std::string>()->default_value(""),
      "configuration folder")("seed", po::value<uint64_t>()->default_value(1),
                              "seed of the work")(
      "seconds", po::value<uint32_t>()->default_value(20), "length of the run")(
      "callers", po::value<uint32_t>()->default_value(24),
      "callers at the same time");
  po::positional_options_description positional;
  positional.add("STEP", 1);
  return qh::RunProgram(argc, argv, "bench_demo", "the demo's driver", options,
                        Run, positional);
}
