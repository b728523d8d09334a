// quetzalhalld: one node of the serving system.

#include "apps/common/program.h"
#include "qh_core/log/log_line.h"
#include "qh_node/node.h"

namespace {

namespace po = boost::program_options;

// How long open requests may still finish on this node once it drains; then
// they are handed over to other nodes.
constexpr auto kHandoverDelay = std::chrono::seconds(5);
// Longest wait for requests that can't be handed over.
constexpr auto kDrainLimit = std::chrono::seconds(60);

qh::ExitCode Run(const po::variables_map& values) {
  const auto settings =
      qh::NodeSettings::Load(values["config"].as<std::string>());
  if (!settings) {
    qh::LogLine("settings_invalid").With(settings.error()).Failure();
    return qh::ExitCode::kUsage;
  }
  qh::BlockStopSignals();
  const auto node = qh::Node::Start(settings.value());
  if (!node) {
    qh::LogLine("start_failed").With(node.error()).Failure();
    return qh::ExitCode::kFailed;
  }
  qh::WaitForStop([&] { return node.value()->is_draining(); });
  node.value()->Drain();
  node.value()->WaitDrained(kHandoverDelay, kDrainLimit);
  return qh::ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("config", po::value<std::string>()->required(),
                        "settings file of this node");
  return qh::RunProgram(argc, argv, "quetzalhalld",
                        "one node of the quetzalhall serving system", options,
                        Run);
}
