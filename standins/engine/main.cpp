// standin-engine: a model engine's stand-in as a process.

#include "apps/common/program.h"
#include "qh_core/log/log_line.h"
#include "standins/engine/engine_standin.h"

namespace {

namespace po = boost::program_options;

qh::ExitCode Run(const po::variables_map& values) {
  qh::standins::EngineSettings settings;
  settings.id = values["id"].as<std::string>();
  settings.host = values["host"].as<std::string>();
  settings.port = values["port"].as<uint16_t>();
  settings.crash_marker = values["crash-marker"].as<std::string>();
  settings.first_token =
      std::chrono::milliseconds(values["first-token-ms"].as<uint32_t>());
  settings.token_interval =
      std::chrono::milliseconds(values["token-ms"].as<uint32_t>());
  settings.block_prefill =
      std::chrono::milliseconds(values["block-prefill-ms"].as<uint32_t>());
  settings.cache_blocks = values["cache-blocks"].as<uint32_t>();
  settings.slots = values["slots"].as<uint32_t>();
  settings.load_lag =
      std::chrono::milliseconds(values["load-lag-ms"].as<uint32_t>());
  settings.checks_fencing = !values["ignore-fencing"].as<bool>();
  qh::BlockStopSignals();
  const auto engine = qh::standins::EngineStandin::Start(settings);
  if (!engine) {
    qh::LogLine("start_failed").With(engine.error()).Failure();
    return qh::ExitCode::kFailed;
  }
  qh::WaitForStop([] { return false; });
  return qh::ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("id", po::value<std::string>()->default_value("engine"),
                        "server id")(
      "host", po::value<std::string>()->default_value("127.0.0.1"), "address")(
      "port", po::value<uint16_t>()->required(), "port")(
      "crash-marker", po::value<std::string>()->default_value(""),
      "a prompt with this text ends the process")(
      "first-token-ms", po::value<uint32_t>()->default_value(20),
      "time to the first token")("token-ms",
                                 po::value<uint32_t>()->default_value(5),
                                 "time between tokens")(
      "block-prefill-ms", po::value<uint32_t>()->default_value(0),
      "time for each prompt block of 256 bytes that is not cached")(
      "cache-blocks", po::value<uint32_t>()->default_value(4'096),
      "prompt blocks that the cache holds")(
      "slots", po::value<uint32_t>()->default_value(0),
      "requests that run at once; 0 is no limit")(
      "load-lag-ms", po::value<uint32_t>()->default_value(500),
      "how late the load report is")(
      "ignore-fencing", po::bool_switch(),
      "take orders with an old fencing number too");
  return qh::RunProgram(argc, argv, "standin-engine",
                        "a model engine's stand-in", options, Run);
}
