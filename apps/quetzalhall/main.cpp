// quetzalhall: the operators' command-line tool. Each command has its own
// options and --help.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string_view>

#include "apps/common/program.h"
#include "apps/quetzalhall/folder_commands.h"
#include "apps/quetzalhall/log_trace.h"
#include "apps/quetzalhall/node_commands.h"
#include "qh_http_platform/http_platform.h"

namespace {

namespace po = boost::program_options;
using qh::ExitCode;
using Values = po::variables_map;

constexpr const char* kProgram = "quetzalhall";
constexpr const char* kDefaultPlatform = "127.0.0.1:7000";

const qh::cli::Output kOutput = {std::cout, std::cerr};

struct Command {
  const char* name;
  const char* purpose;
  // Name of the positional option; null for none.
  const char* argument;
  const char* argument_doc;
  // Which further options the command takes.
  bool uses_platform;
  bool uses_token;
  ExitCode (*run)(const Values& values);
};

std::string Text(const Values& values, const char* name) {
  return values[name].as<std::string>();
}

// Returns null when --platform is malformed.
std::shared_ptr<qh::HttpPlatform> MakePlatform(const Values& values) {
  const std::string address = Text(values, "platform");
  const size_t colon = address.rfind(':');
  const int port =
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (port <= 0 || port > UINT16_MAX) {
    std::cerr << "--platform: expected HOST:PORT\n";
    return nullptr;
  }
  return qh::HttpPlatform::Create(address.substr(0, colon),
                                  static_cast<uint16_t>(port));
}

ExitCode WithStore(const Values& values,
                   const std::function<ExitCode(const qh::StoreHook&)>& run) {
  const auto platform = MakePlatform(values);
  if (!platform) {
    return ExitCode::kUsage;
  }
  return run(
      [&](const qh::StoreRequest& request) { return platform->Call(request); });
}

using NodeRun = std::function<ExitCode(const qh::InstanceListHook&,
                                       const qh::cli::AdminClient&)>;

ExitCode WithNodes(const Values& values, const NodeRun& run) {
  const auto token = qh::cli::ReadToken(Text(values, "token-file"));
  if (!token) {
    std::cerr << "no token: name a file by --token-file or set "
                 "QUETZALHALL_TOKEN\n";
    return ExitCode::kUsage;
  }
  const auto platform = MakePlatform(values);
  if (!platform) {
    return ExitCode::kUsage;
  }
  return run([&] { return platform->Instances(); },
             qh::cli::AdminClient(*token));
}

ExitCode RunCheck(const Values& values) {
  return qh::cli::Check(Text(values, "FOLDER"), kOutput);
}

ExitCode RunDiff(const Values& values) {
  return WithStore(values, [&](const qh::StoreHook& store) {
    return qh::cli::Diff(Text(values, "FOLDER"), store, kOutput);
  });
}

ExitCode RunApply(const Values& values) {
  qh::cli::ApplyOptions options;
  options.folder = Text(values, "FOLDER");
  options.author = Text(values, "author");
  if (values.contains("expect")) {
    options.expected_version = values["expect"].as<uint64_t>();
  }
  return WithStore(values, [&](const qh::StoreHook& store) {
    return qh::cli::Apply(options, store, kOutput);
  });
}

ExitCode RunStatus(const Values& values) {
  return WithNodes(values, [](const auto& instances, const auto& admin) {
    return qh::cli::Status(instances, admin, kOutput);
  });
}

ExitCode RunDrain(const Values& values) {
  return WithNodes(values, [&](const auto& instances, const auto& admin) {
    return qh::cli::Drain(Text(values, "INSTANCE"), instances, admin, kOutput);
  });
}

ExitCode RunExplain(const Values& values) {
  return WithNodes(values, [&](const auto& instances, const auto& admin) {
    return qh::cli::Explain(Text(values, "REQUEST"), instances, admin, kOutput);
  });
}

// Runs `run` on the logs of --logs, or on standard input.
ExitCode WithLogs(const Values& values,
                  const std::function<ExitCode(std::istream&)>& run) {
  const std::string path = Text(values, "logs");
  if (path.empty()) {
    return run(std::cin);
  }
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    return ExitCode::kUsage;
  }
  return run(file);
}

ExitCode RunTrace(const Values& values) {
  return WithLogs(values, [&](std::istream& logs) {
    return qh::cli::TraceRequest(Text(values, "REQUEST"), logs, kOutput);
  });
}

ExitCode RunFailures(const Values& values) {
  return WithLogs(values, [](std::istream& logs) {
    return qh::cli::SummariseFailures(logs, kOutput);
  });
}

ExitCode RunReference(const Values& /*values*/) {
  return qh::cli::Reference(kOutput);
}

// clang-format off
constexpr Command kCommands[] = {
    {"check", "checks a configuration folder and prints every mistake", "FOLDER", "configuration folder", false, false, RunCheck},
    {"diff", "prints how a folder differs from the accepted configuration; exit code 1 when it does", "FOLDER", "configuration folder", true, false, RunDiff},
    {"apply", "makes a folder the accepted configuration", "FOLDER", "configuration folder", true, false, RunApply},
    {"status", "prints a table of the nodes", nullptr, nullptr, true, true, RunStatus},
    {"drain", "drains a node: it takes no new requests; open ones finish or are handed over", "INSTANCE", "id of the node", true, true, RunDrain},
    {"explain", "prints the state of a request on each node that knows it", "REQUEST", "id of the request", true, true, RunExplain},
    {"trace", "prints the log lines and the outcome of a request from the gateways' logs", "REQUEST", "id of the request", false, false, RunTrace},
    {"failures", "counts refused and failed requests in the gateways' logs by reason", nullptr, nullptr, false, false, RunFailures},
    {"reference", "prints the configuration reference", nullptr, nullptr, false, false, RunReference},
};
// clang-format on

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user ? user : "";
}

po::options_description OptionsOf(const Command& command) {
  po::options_description options("options");
  auto add = options.add_options();
  if (command.argument) {
    add(command.argument, po::value<std::string>()->required(),
        command.argument_doc);
  }
  if (command.uses_platform) {
    add("platform", po::value<std::string>()->default_value(kDefaultPlatform),
        "HOST:PORT of the platform");
  }
  if (command.uses_token) {
    add("token-file", po::value<std::string>()->default_value(""),
        "file with the operators' token; without it the environment variable "
        "QUETZALHALL_TOKEN counts");
  }
  if (command.run == RunTrace || command.run == RunFailures) {
    add("logs", po::value<std::string>()->default_value(""),
        "file with the logs of any number of nodes; standard input without it");
  }
  if (command.run == RunApply) {
    add("expect", po::value<uint64_t>(),
        "apply only if this version is in force")(
        "author", po::value<std::string>()->default_value(DefaultAuthor()),
        "kept with the accepted version");
  }
  return options;
}

void PrintCommands(std::ostream& out) {
  out << "usage: " << kProgram << " COMMAND [options]\n\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name
        << std::string(12 - std::string_view(command.name).size(), ' ')
        << command.purpose << "\n";
  }
  out << "\n`" << kProgram << " COMMAND --help` tells the options.\n"
      << "Exit codes: 0 done, 1 failed, 2 wrong command line or files, 3 the "
         "store does not say.\n";
}

int RunCommand(const Command& command, int argc, char** argv) {
  po::positional_options_description positional;
  if (command.argument) {
    positional.add(command.argument, 1);
  }
  return qh::RunProgram(
      argc - 1, argv + 1, std::string(kProgram) + " " + command.name,
      command.purpose, OptionsOf(command), command.run, positional);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintCommands(std::cout);
    return static_cast<int>(ExitCode::kOk);
  }
  if (name == "--version") {
    std::cout << qh::VersionText(kProgram) << "\n";
    return static_cast<int>(ExitCode::kOk);
  }
  for (const Command& command : kCommands) {
    if (name == command.name) {
      return RunCommand(command, argc, argv);
    }
  }
  if (!name.empty()) {
    std::cerr << kProgram << ": unknown command " << name << "\n";
  }
  PrintCommands(std::cerr);
  return static_cast<int>(ExitCode::kUsage);
}
