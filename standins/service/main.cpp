// standin-service: a booking service's stand-in as a process.

#include "apps/common/program.h"
#include "qh_core/log/log_line.h"
#include "standins/service/service_standin.h"

namespace {

namespace po = boost::program_options;

qh::ExitCode Run(const po::variables_map& values) {
  qh::standins::ServiceSettings settings;
  settings.id = values["id"].as<std::string>();
  settings.host = values["host"].as<std::string>();
  settings.port = values["port"].as<uint16_t>();
  settings.work = std::chrono::milliseconds(values["work-ms"].as<uint32_t>());
  qh::BlockStopSignals();
  const auto service = qh::standins::ServiceStandin::Start(settings);
  if (!service) {
    qh::LogLine("start_failed").With(service.error()).Failure();
    return qh::ExitCode::kFailed;
  }
  qh::WaitForStop([] { return false; });
  return qh::ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()(
      "id", po::value<std::string>()->default_value("service"), "server id")(
      "host", po::value<std::string>()->default_value("127.0.0.1"), "address")(
      "port", po::value<uint16_t>()->required(), "port")(
      "work-ms", po::value<uint32_t>()->default_value(5),
      "time that a write takes");
  return qh::RunProgram(argc, argv, "standin-service",
                        "a booking service's stand-in", options, Run);
}
