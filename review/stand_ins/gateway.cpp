#include "gateway.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "http.h"

namespace review {
namespace {

constexpr int kCallTimeoutMs = 500;
constexpr int kOk = 200;
constexpr int kFilePermissions = 0644;

std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Gateway::Gateway(std::string program,
                 std::string folder,
                 std::string node,
                 std::string zone,
                 std::string store,
                 std::string cloud)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      node_(std::move(node)),
      zone_(std::move(zone)),
      store_(std::move(store)),
      cloud_(std::move(cloud)),
      callers_(FreePort()),
      readiness_(FreePort()),
      locate_(FreePort()),
      peers_(FreePort()),
      metrics_(FreePort()) {}

Gateway::~Gateway() {
  Kill();
}

std::string Gateway::callers() const {
  return Loopback(callers_);
}

// The values are those of the bounds and limits of menzaterv-quetzal.
void Gateway::WriteSettings(bool first) const {
  const nlohmann::json settings{{"node", node_},
                                {"failure_domain", zone_},
                                {"region", "hu-central"},
                                {"callers", callers()},
                                {"readiness", Loopback(readiness_)},
                                {"locate", Loopback(locate_)},
                                {"peers", Loopback(peers_)},
                                {"metrics", Loopback(metrics_)},
                                {"store", store_},
                                {"store_reads_per_second", 2000},
                                {"cloud", cloud_},
                                {"link_mbps", 1500.0},
                                {"first_start", first},
                                {"server_heartbeat_ms", 1200},
                                {"locate_ttl_max_s", 5},
                                {"server_drain_ms", 2000},
                                {"config_apply_ms", 2000},
                                {"stop_grace_s", 8},
                                {"lease_ms", 3000},
                                {"usage_window_s", 5},
                                {"usage_due_s", 10},
                                {"repeat_ratio", 0.2},
                                {"repeat_extra", 58},
                                {"repeat_window_s", 10},
                                {"limit_window_s", 8},
                                {"limit_overage", 0.1},
                                {"limit_tolerance", 140000}};
  std::ofstream(folder_ + "/" + node_ + ".json") << settings.dump(2);
}

void Gateway::Start(bool first) {
  WriteSettings(first);
  const std::string settings = folder_ + "/" + node_ + ".json";
  const std::string log = folder_ + "/" + node_ + ".log";
  process_ = fork();
  if (process_ != 0) {
    return;
  }
  // The process ends with this one in any case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                       kFilePermissions);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(),
        static_cast<char*>(nullptr));
  _exit(1);
}

void Gateway::Signal(int signal) const {
  if (process_ > 0) {
    kill(process_, signal);
  }
}

void Gateway::Kill() {
  if (process_ > 0) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  process_ = -1;
}

bool Gateway::Runs() {
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ > 0;
}

bool Gateway::WaitReady(int64_t limit_ms) const {
  const int64_t end = WallMs() + limit_ms;
  while (WallMs() < end) {
    const auto answer = Call(Loopback(readiness_),
                             "GET /readyz HTTP/1.1\r\nHost: node\r\n"
                             "Connection: close\r\n\r\n",
                             kCallTimeoutMs);
    if (answer && answer->Status() == kOk) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

}  // namespace review
