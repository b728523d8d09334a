// Case: model servers that are leaving crash. Some of their streams have no
// length, so that they end with their connection. Counts the streams that reach
// a caller as complete without their last events.
//
// Usage: leaving_case GATEWAY FOLDER RECORD TROUBLE
//        leaving_case engine NUMBER
// TROUBLE: 1 with crashes of leaving servers, 0 without crashes, "crash" with
// crashes of servers that are not leaving. The second form runs one server; it
// prints its address and serves until it is killed.

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "gateway.h"
#include "http.h"
#include "store.h"

namespace review {
namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kNotRun = 2;

constexpr size_t kNodes = 2;
constexpr size_t kEngines = 4;
constexpr size_t kClients = 60;
constexpr int kEvents = 40;
constexpr int64_t kEventPauseMs = 100;
// Every second server sends one of so many answers without a length.
constexpr size_t kUnframedOneOf = 20;

// Servers that leave, one after the other.
constexpr size_t kLeaving = 12;
constexpr int64_t kLeaveEveryMs = 5'000;
constexpr int64_t kWarmUpMs = 5'000;
// From a server's notice to its crash; less than drainMs.
constexpr int64_t kCrashAfterMs = 1'500;
// A server's entry goes after three heartbeats of silence.
constexpr int64_t kEntryLifeMs = 3'600;

constexpr int64_t kReadyLimitMs = 10'000;
constexpr int kClientTimeoutMs = 16'000;

std::string Chunk(const std::string& text) {
  std::string size(4, '0');
  constexpr const char* kDigits = "0123456789abcdef";
  for (size_t i = 0, rest = text.size(); i < size.size(); ++i, rest /= 16) {
    size[size.size() - 1 - i] = kDigits[rest % 16];
  }
  return size + "\r\n" + text + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: words\n\n";
}

// Runs one model server until the process is killed.
int RunEngine(size_t number) {
  std::atomic<size_t> answers = 0;
  const Server server([&](const Message& request, Connection& connection) {
    const std::string id = request.Field("request-id");
    const bool unframed =
        number % 2 == 0 && ++answers % kUnframedOneOf == kUnframedOneOf / 2;
    bool open = connection.Write(
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n") +
        (unframed ? "Connection: close\r\n"
                  : "Transfer-Encoding: chunked\r\n") +
        "Request-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n\r\n");
    for (int event = 1; open && event <= kEvents; ++event) {
      open = connection.Write(unframed ? Event(event) : Chunk(Event(event)));
      SleepMs(kEventPauseMs);
    }
    return !unframed && open && connection.Write("0\r\n\r\n");
  });
  std::cout << server.address() << std::endl;
  while (true) {
    pause();
  }
}

// A process that runs one model server.
class Engine {
 public:
  explicit Engine(size_t number) : id_("i-" + std::to_string(number)) {
    int ends[2] = {-1, -1};
    if (pipe(ends) != 0) {
      std::abort();
    }
    const std::string text = std::to_string(number);
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(ends[1], STDOUT_FILENO);
      close(ends[0]);
      close(ends[1]);
      execl("/proc/self/exe", "leaving_case", "engine", text.c_str(),
            static_cast<char*>(nullptr));
      _exit(1);
    }
    close(ends[1]);
    char c = 0;
    while (read(ends[0], &c, 1) == 1 && c != '\n') {
      address_ += c;
    }
    close(ends[0]);
  }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  ~Engine() { Kill(); }

  void Kill() {
    if (process_ > 0) {
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
    }
    process_ = -1;
  }
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }

 private:
  std::string id_;
  std::string address_;
  pid_t process_ = -1;
};

class LeavingCase {
 public:
  LeavingCase(const std::string& gateway,
              const std::string& folder,
              const std::string& record,
              const std::string& trouble)
      : start_ms_(WallMs()),
        record_(record),
        leaves_(trouble != "crash"),
        crashes_(trouble != "0"),
        cloud_([](const Message&, Connection& connection) {
          return connection.Write(Answer(200, {}, ""));
        }) {
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<Gateway>(
          gateway, folder, "edge-" + std::to_string(i),
          "zone-" + std::to_string(i), store_.address(), cloud_.address()));
    }
  }

  int Run() {
    WriteConfig();
    for (size_t i = 0; i < kEngines; ++i) {
      AddEngine();
    }
    for (const auto& node : nodes_) {
      node->Start(true);
    }
    for (const auto& node : nodes_) {
      if (!node->WaitReady(kReadyLimitMs)) {
        Note("a node did not become ready");
        return kNotRun;
      }
    }
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kNodes * kClients; ++i) {
      clients.emplace_back([this, i] { SendStreams(i % kNodes, i); });
    }
    SleepMs(kWarmUpMs);
    for (size_t i = 0; i < kLeaving; ++i) {
      const int64_t began = WallMs();
      ReplaceEngine(i);
      SleepMs(kLeaveEveryMs - (WallMs() - began));
    }
    stopped_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    return Judge();
  }

 private:
  void Note(const std::string& line) {
    const std::lock_guard lock(record_mutex_);
    record_ << WallMs() - start_ms_ << " ms  " << line << std::endl;
  }

  void WriteConfig() {
    using nlohmann::json;
    const json draft{{"name", "menu-draft"},    {"host", "h"},
                     {"pathPrefix", "/draft/"}, {"routeKind", "stream"},
                     {"service", "pool"},       {"timeoutMs", 15'000},
                     {"targetLatencyMs", 1000}, {"gapTargetMs", 500},
                     {"maxAttempts", 1},        {"priority", 1}};
    store_.Put("config", "main",
               {{"version", 3},
                {"routes", {draft}},
                {"services",
                 {{{"name", "pool"},
                   {"maxConns", 370},
                   {"engine", {{"slots", 64}, {"kvCapacity", 765'419}}}}}}});
  }

  void AddEngine() {
    engines_.push_back(std::make_unique<Engine>(engines_.size()));
    PutEngine(*engines_.back(), "ready");
  }

  void PutEngine(const Engine& engine, const std::string& state) {
    store_.Put("servers", engine.id(),
               {{"service", "pool"},
                {"address", engine.address()},
                {"zone", "zone-0"},
                {"version", "1"},
                {"slots", 64},
                {"state", state},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", start_ms_}});
  }

  // A new server starts, an old one gives notice and crashes before its time.
  void ReplaceEngine(size_t number) {
    Engine& engine = *engines_[number];
    AddEngine();
    if (leaves_) {
      PutEngine(engine, "draining");
      Note(engine.id() + " is leaving");
    }
    SleepMs(kCrashAfterMs);
    if (crashes_) {
      engine.Kill();
      Note(engine.id() + " crashes");
    }
    std::thread([this, id = engine.id()] {
      SleepMs(kEntryLifeMs);
      store_.Remove("servers", id);
    }).detach();
  }

  // Sends streams, each on a new channel.
  void SendStreams(size_t node, size_t client) {
    for (size_t number = 0; !stopped_; ++number) {
      const int socket = Connect(nodes_[node]->callers());
      if (socket < 0) {
        SleepMs(kEventPauseMs);
        continue;
      }
      Connection channel(socket);
      const std::string id =
          "s" + std::to_string(client) + "-" + std::to_string(number);
      Note("sent " + id);
      const bool written = channel.Write(
          "POST /draft/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
          "\r\nModel: m\r\nToken-Count: 1460,200\r\nDeadline-Ms: 15000\r\n"
          "Connection: close\r\nContent-Length: 2\r\n\r\nab");
      const auto head = written ? channel.Read(kClientTimeoutMs) : std::nullopt;
      if (head && head->Status() == 200) {
        NoteStream(id, channel.ReadToEnd(kClientTimeoutMs));
      } else {
        Note("answered " + id + ": " +
             std::to_string(head ? head->Status() : 0));
        SleepMs(kEventPauseMs);
      }
      close(socket);
    }
  }

  void NoteStream(const std::string& id, const std::string& body) {
    const bool complete = body.ends_with("0\r\n\r\n");
    int last = kEvents;
    while (last > 0 && body.find(Event(last)) == std::string::npos) {
      --last;
    }
    Note("answered " + id + ": 200, last event " + std::to_string(last) +
         (complete ? ", complete" : ", broken off"));
    ++(complete ? complete_ : broken_off_);
    if (complete && last < kEvents) {
      ++short_;
      Note("ORDER: " + id + " ended as complete after event " +
           std::to_string(last) + " of " + std::to_string(kEvents));
    }
  }

  int Judge() {
    Note("streams complete " + std::to_string(complete_) + ", broken off " +
         std::to_string(broken_off_));
    Note((short_ > 0 ? "ORDER is broken: " : "ORDER held: ") +
         std::to_string(short_) + " streams");
    return short_ > 0 ? kBroken : kHeld;
  }

  int64_t start_ms_;
  std::mutex record_mutex_;
  std::ofstream record_;
  bool leaves_;
  bool crashes_;
  std::atomic<bool> stopped_ = false;
  std::atomic<size_t> complete_ = 0;
  std::atomic<size_t> broken_off_ = 0;
  std::atomic<size_t> short_ = 0;
  Store store_;
  Server cloud_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Gateway>> nodes_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "engine") {
    return review::RunEngine(std::strtoul(argv[2], nullptr, 10));
  }
  if (argc != 5) {
    std::cerr << "usage: leaving_case GATEWAY FOLDER RECORD TROUBLE\n";
    return review::kNotRun;
  }
  return review::LeavingCase(argv[1], argv[2], argv[3], argv[4]).Run();
}
