#include "tests/untrusted_clients/gateway_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "qh_net/http_parser.h"

namespace qh {
namespace {

constexpr Duration kStartLimit = std::chrono::seconds(20);
constexpr Duration kAnswerLimit = std::chrono::seconds(10);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
// Little enough to be full after a few answers.
constexpr int kReceiveBufferBytes = 4'096;
constexpr uint16_t kFirstPort = 17'140;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

std::string TargetOf(GatewayListener listener) {
  switch (listener) {
    case GatewayListener::kCallers:
      return "/safe/x";
    case GatewayListener::kReadiness:
      return "/readyz";
    case GatewayListener::kLocate:
      return "/resolution?name=h";
    case GatewayListener::kPeers:
      return "/config";
    case GatewayListener::kMetrics:
      return "/metrics";
  }
  return {};
}

// Runs the program; never returns.
[[noreturn]] void Exec(const std::string& settings, const std::string& log) {
  const rlimit files{.rlim_cur = GatewayProcess::kMaxOpenFiles,
                     .rlim_max = GatewayProcess::kMaxOpenFiles};
  setrlimit(RLIMIT_NOFILE, &files);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  // Descriptors of the test, such as other clients' sockets.
  for (int file = STDERR_FILENO + 1; file < 65'536; ++file) {
    close(file);
  }
  execl(QH_GATEWAY_PROGRAM, QH_GATEWAY_PROGRAM, "--config", settings.c_str(),
        nullptr);
  _exit(127);
}

}  // namespace

int ConnectTo(const Address& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  fcntl(socket, F_SETFL, O_NONBLOCK);
  const sockaddr_in to = ToSocketAddress(address);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
          0 &&
      errno != EINPROGRESS) {
    close(socket);
    return -1;
  }
  return socket;
}

std::string SendAndReceive(const Address& address, const std::string& request) {
  const int socket = ConnectTo(address);
  std::string received;
  if (socket < 0) {
    return received;
  }
  const TimePoint end = MonotonicNow() + kAnswerLimit;
  HttpParser answer(MessageKind::kAnswer, {});
  size_t sent = 0;
  bool open = true;
  while (open && !answer.done() && MonotonicNow() < end) {
    pollfd ready{.fd = socket,
                 .events = static_cast<short>(
                     sent < request.size() ? POLLIN | POLLOUT : POLLIN),
                 .revents = 0};
    poll(&ready, 1, static_cast<int>(ToMilliseconds(kPollInterval)));
    if ((ready.revents & POLLOUT) != 0) {
      const ssize_t size = send(socket, request.data() + sent,
                                request.size() - sent, MSG_NOSIGNAL);
      sent += size > 0 ? static_cast<size_t>(size) : 0;
    }
    if ((ready.revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
      std::array<char, 65'536> bytes{};
      const ssize_t size = recv(socket, bytes.data(), bytes.size(), 0);
      open = size > 0 || (size < 0 && errno == EAGAIN);
      if (size > 0) {
        received.append(bytes.data(), static_cast<size_t>(size));
        open = static_cast<bool>(
            answer.Feed({bytes.data(), static_cast<size_t>(size)}));
      }
    }
  }
  close(socket);
  return received;
}

int StatusOf(const std::string& received) {
  HttpParser answer(MessageKind::kAnswer, {.body_bytes = uint64_t{64} << 20U});
  return answer.Feed(received) && answer.head_done() ? answer.head().status : 0;
}

GatewayProcess::GatewayProcess()
    : host_("127." + std::to_string(1 + getpid() % 250) + "." +
            std::to_string(getpid() / 250 % 250) + ".1"),
      server_(io_, [this](size_t, const HttpHead& head) {
        ++served_requests_;
        const bool large = head.target.find("/large/") != std::string::npos;
        return ScriptedReply{
            .bytes =
                StampedAnswer(200, large ? std::string(kLargeAnswerBytes, 'x')
                                         : std::string("ok"))};
      }) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "qh-gateway-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no folder for the settings");
  }
  folder_ = pattern;
  store_.Put("config", "main",
             R"({"version":1,"limits":{"maxHeaderBytes":)" +
                 std::to_string(kMaxHeaderBytes) + R"(,"maxBodyBytes":)" +
                 std::to_string(kMaxBodyBytes) +
                 R"(,"headerTimeoutMs":60000,"idleTimeoutMs":60000},
        "routes":[{"name":"safe","host":"h","pathPrefix":"/safe/",
          "routeKind":"safe","service":"plain","timeoutMs":9000,
          "targetLatencyMs":4000,"anonymous":true}],
        "services":[{"name":"plain"}]})");
  store_.Put("servers", "s0",
             R"({"service":"plain","address":")" +
                 server_.address().ToString() +
                 R"(","zone":"d0","slots":256,"born":1,"state":"ready"})");
  Launch();
  thread_ = std::thread([this] {
    const auto work = boost::asio::make_work_guard(io_);
    io_.run();
  });
  try {
    WaitUntilReady();
  } catch (const std::exception&) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    io_.stop();
    thread_.join();
    throw;
  }
}

GatewayProcess::~GatewayProcess() {
  if (is_alive()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  io_.stop();
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Address GatewayProcess::AddressOf(GatewayListener listener) const {
  return {host_,
          static_cast<uint16_t>(kFirstPort + static_cast<int>(listener))};
}

std::string GatewayProcess::SettingsText() {
  const auto address = [this](GatewayListener listener) {
    return "\"" + AddressOf(listener).ToString() + "\"";
  };
  return R"({"node":"n0","failure_domain":"d0","region":"r","callers":)" +
         address(GatewayListener::kCallers) + R"(,"readiness":)" +
         address(GatewayListener::kReadiness) + R"(,"locate":)" +
         address(GatewayListener::kLocate) + R"(,"peers":)" +
         address(GatewayListener::kPeers) + R"(,"metrics":)" +
         address(GatewayListener::kMetrics) + R"(,"store":")" +
         store_.AddClient().ToString() + R"(","memory_mb":)" +
         std::to_string(kMemoryMb) + R"(,"max_open_files":)" +
         std::to_string(kMaxOpenFiles) + "}";
}

void GatewayProcess::Launch() {
  const std::string settings = (folder_ / "node.json").string();
  const std::string log = (folder_ / "log").string();
  std::ofstream(settings) << SettingsText();
  pid_ = fork();
  if (pid_ == 0) {
    Exec(settings, log);
  }
}

void GatewayProcess::WaitUntilReady() {
  const TimePoint start = MonotonicNow();
  while (MonotonicNow() - start < kStartLimit && is_alive()) {
    if (Ask(GatewayListener::kReadiness) == 200 &&
        Ask(GatewayListener::kCallers) == 200) {
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::ifstream log(folder_ / "log");
  throw std::runtime_error("the gateway did not start: " +
                           std::string(std::istreambuf_iterator<char>(log),
                                       std::istreambuf_iterator<char>()));
}

bool GatewayProcess::is_alive() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

size_t GatewayProcess::PeakResidentKb() const {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  return 0;
#else
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
#endif
}

size_t GatewayProcess::OpenDescriptors() const {
  std::error_code error;
  size_t count = 0;
  for (auto entry = std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid_) + "/fd", error);
       !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    ++count;
  }
  return count;
}

int GatewayProcess::Ask(GatewayListener listener) const {
  return StatusOf(SendAndReceive(
      AddressOf(listener),
      "GET " + TargetOf(listener) +
          " HTTP/1.1\r\nHost: h\r\nRequest-Id: ordinary\r\n\r\n"));
}

}  // namespace qh
