#include "benchmarks/proxy/node_process.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace qh::bench {

Result<std::unique_ptr<NodeProcess>> NodeProcess::Start(
    const std::string& settings_file) {
  const std::string program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() /
      "quetzalhalld";
  std::array<std::string, 5> words = {program, "--config", settings_file,
                                      "--log-level", "warning"};
  std::array<char*, 6> arguments{};
  for (size_t i = 0; i < words.size(); ++i) {
    arguments[i] = words[i].data();
  }
  pid_t pid = 0;
  if (posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments.data(),
                  environ) != 0) {
    return Error(ErrorKind::kInternal, "can't start " + program);
  }
  return std::unique_ptr<NodeProcess>(new NodeProcess(pid));
}

NodeProcess::~NodeProcess() {
  kill(pid_, SIGTERM);
  int status = 0;
  waitpid(pid_, &status, 0);
}

uint64_t NodeProcess::RssKb() const {
  std::ifstream stream("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; stream >> word;) {
    if (word == "VmRSS:") {
      uint64_t kb = 0;
      stream >> kb;
      return kb;
    }
  }
  return 0;
}

}  // namespace qh::bench
