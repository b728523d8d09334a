#include "apps/common/program.h"

#include <csignal>
#include <ctime>
#include <iostream>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

namespace po = boost::program_options;

constexpr const char* kVersion = "0.1.0";
constexpr timespec kStopPoll = {.tv_sec = 0, .tv_nsec = 50'000'000};

LogLevel LevelNamed(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Returns the usage line of a program with positional options.
std::string UsageLine(const std::string& name,
                      const po::positional_options_description& positional) {
  std::string line = "usage: " + name + " [options]";
  for (unsigned i = 0; i < positional.max_total_count(); ++i) {
    line += " " + positional.name_for_position(i);
  }
  return line + "\n";
}

}  // namespace

std::string VersionText(const std::string& name) {
  return name + " " + kVersion;
}

int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               po::options_description options,
               const std::function<ExitCode(const po::variables_map&)>& run,
               const po::positional_options_description& positional) {
  options.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "log-level", po::value<std::string>()->default_value("info"),
      "debug, info, warning or error");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
    if (values.contains("help")) {
      std::cout << name << ": " << purpose << "\n"
                << UsageLine(name, positional) << options;
      return static_cast<int>(ExitCode::kOk);
    }
    if (values.contains("version")) {
      std::cout << VersionText(name) << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << name << ": " << error.what() << "; see --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  InitLog(name, LevelNamed(values["log-level"].as<std::string>()));
  return static_cast<int>(run(values));
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStop(const std::function<bool()>& stop_early) {
  const sigset_t signals = StopSignals();
  while (!stop_early()) {
    if (sigtimedwait(&signals, nullptr, &kStopPoll) > 0) {
      return;
    }
  }
}

}  // namespace qh
