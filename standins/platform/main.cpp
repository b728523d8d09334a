// standin-platform: the platform's stand-in as a process.

#include "apps/common/program.h"
#include "qh_core/log/log_line.h"
#include "standins/platform/platform_standin.h"

namespace {

namespace po = boost::program_options;

qh::ExitCode Run(const po::variables_map& values) {
  qh::standins::PlatformSettings settings;
  settings.host = values["host"].as<std::string>();
  settings.port = values["port"].as<uint16_t>();
  settings.reads_per_second = values["reads-per-s"].as<uint32_t>();
  settings.writes_per_second = values["writes-per-s"].as<uint32_t>();
  settings.list_lag =
      std::chrono::milliseconds(values["list-lag-ms"].as<uint32_t>());
  settings.weight_bytes_per_second =
      values["weight-bytes-per-s"].as<uint64_t>();
  if (settings.weight_bytes_per_second == 0) {
    return qh::ExitCode::kUsage;
  }
  qh::BlockStopSignals();
  const auto platform = qh::standins::PlatformStandin::Start(settings);
  if (!platform) {
    qh::LogLine("start_failed").With(platform.error()).Failure();
    return qh::ExitCode::kFailed;
  }
  qh::WaitForStop([] { return false; });
  return qh::ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()(
      "host", po::value<std::string>()->default_value("127.0.0.1"), "address")(
      "port", po::value<uint16_t>()->required(), "port")(
      "reads-per-s", po::value<uint32_t>()->default_value(2'000),
      "call budget of reads; 0 is no limit")(
      "writes-per-s", po::value<uint32_t>()->default_value(400),
      "call budget of writes; 0 is no limit")(
      "list-lag-ms", po::value<uint32_t>()->default_value(500),
      "how late the instance list shows a change")(
      "weight-bytes-per-s", po::value<uint64_t>()->default_value(100 << 20),
      "rate that all downloads of weights share");
  return qh::RunProgram(argc, argv, "standin-platform",
                        "the platform's stand-in", options, Run);
}
