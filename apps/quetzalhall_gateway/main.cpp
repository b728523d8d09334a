// quetzalhall-gateway: one gateway node of quetzalhall on the users' platform.

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <exception>

#include "apps/common/program.h"
#include "platform/platform_codec.h"
#include "qh_core/log/stdout_log.h"
#include "qh_gateway/control/gateway_node.h"

namespace {

namespace po = boost::program_options;

// Concurrency hint: only the main thread runs the io_context.
constexpr int kThreads = 1;

// Runs the loop until the node stops it. An unexpected error ends what it came
// from, such as one request, and nothing else.
void RunLoop(boost::asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      qh::LogLine("unexpected_error").With("what", error.what()).Warning();
    }
  }
}

// Loads the settings and serves until the node is asked to stop.
qh::ExitCode Run(const po::variables_map& values) {
  const std::string path = values["config"].as<std::string>();
  const auto settings = qh::GatewaySettings::Load(path);
  if (!settings) {
    qh::LogLine("settings_invalid").With(settings.error()).Failure();
    return qh::ExitCode::kUsage;
  }
  if (values["check"].as<bool>()) {
    return qh::ExitCode::kOk;
  }
  qh::LogToStdout(settings.value().node.value());
  std::signal(SIGPIPE, SIG_IGN);
  const qh::WireCodec codec = qh::platform::MakeCodec();
  boost::asio::io_context io(kThreads);
  const auto node = qh::GatewayNode::Create(
      io, codec, settings.value(),
      [path] { return qh::GatewaySettings::Load(path); });
  if (!node) {
    qh::LogLine("start_failed").With(node.error()).Failure();
    qh::FlushLog();
    return qh::ExitCode::kFailed;
  }
  node.value()->Start();
  RunLoop(io);
  return qh::ExitCode::kOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("config", po::value<std::string>()->required(),
                        "settings file of this node")(
      "check", po::bool_switch(), "check the settings file and exit");
  return qh::RunProgram(
      argc, argv, "quetzalhall-gateway",
      "one gateway node of quetzalhall on the users' platform", options, Run);
}
