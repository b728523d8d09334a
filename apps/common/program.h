// Functions shared by the main files of all programs: command-line parsing,
// exit codes, set-up of the log and waiting for SIGTERM.

#ifndef APPS_COMMON_PROGRAM_H_
#define APPS_COMMON_PROGRAM_H_

#include <boost/program_options.hpp>
#include <functional>
#include <string>

namespace qh {

enum class ExitCode : int {
  kOk = 0,
  // The command ran and failed.
  kFailed = 1,
  // The command line or a settings file is wrong.
  kUsage = 2,
  // It is not known whether the command took effect.
  kUnknown = 3,
};

// Parses the command line, answers --help and --version, sets up the log and
// calls `run`. `options` may be extended by the program; "help", "version" and
// "log-level" are added here. `positional` names the options that may be given
// without their name.
int RunProgram(
    int argc,
    char** argv,
    const std::string& name,
    const std::string& purpose,
    boost::program_options::options_description options,
    const std::function<ExitCode(const boost::program_options::variables_map&)>&
        run,
    const boost::program_options::positional_options_description& positional =
        {});

// Returns "name version", the text of --version.
std::string VersionText(const std::string& name);

// Blocks SIGTERM and SIGINT in this thread and all started after it. Call it
// before the first thread.
void BlockStopSignals();

// Waits for SIGTERM or SIGINT, or until `stop_early`, which is called every
// 50 ms, returns true. Requires BlockStopSignals.
void WaitForStop(const std::function<bool()>& stop_early);

}  // namespace qh

#endif  // APPS_COMMON_PROGRAM_H_
