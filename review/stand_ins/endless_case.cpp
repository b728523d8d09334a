// Case: some answers of a service turn into bytes without end. The platform
// kills a process that exceeds its memory and starts it again. Counts the
// requests of kept channels that had reached a sound server of another service
// and got no answer.
//
// Usage: endless_case GATEWAY FOLDER RECORD TROUBLE
// TROUBLE: 1 with endless answers, 0 without.

#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
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
// Servers that spoil answers, and the answers that each of them spoils: one of
// so many.
constexpr size_t kSpoilingEngines = 2;
constexpr size_t kSpoiledOneOf = 50;
constexpr int kEvents = 20;
constexpr int64_t kEventPauseMs = 40;
// Events before the bytes without end.
constexpr int kEventsBefore = 2;
// Rate of the bytes without end, below linkMbps of a machine.
constexpr int64_t kEndlessBytesPerMs = 125'000;
constexpr int64_t kBurstMs = 4;

constexpr int64_t kBookingMs = 200;
constexpr size_t kBookingClients = 6;
constexpr size_t kStreamClients = 8;
constexpr int kClientTimeoutMs = 16'000;
constexpr int64_t kReconnectMs = 100;

// limits.memoryMb of the smallest machine of menzaterv-quetzal.
constexpr int64_t kMemoryLimitKb = int64_t{390} * 1024;
constexpr int64_t kMemoryPollMs = 10;
constexpr int64_t kRestartMs = 300;

constexpr int64_t kReadyLimitMs = 10'000;
constexpr int64_t kRunMs = 60'000;
// LOST is broken by more requests than this.
constexpr size_t kMaxLost = 3;

// Returns the resident memory of a process, or 0.
int64_t MemoryKb(pid_t process) {
  std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
  int64_t pages = 0;
  int64_t resident = 0;
  statm >> pages >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

std::string Chunk(const std::string& text) {
  std::string size(8, '0');
  constexpr const char* kDigits = "0123456789abcdef";
  for (size_t i = 0, rest = text.size(); i < size.size(); ++i, rest /= 16) {
    size[size.size() - 1 - i] = kDigits[rest % 16];
  }
  return size + "\r\n" + text + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: words\n\n";
}

class EndlessCase {
 public:
  EndlessCase(const std::string& gateway,
              const std::string& folder,
              const std::string& record,
              bool spoils)
      : start_ms_(WallMs()),
        record_(record),
        spoils_(spoils),
        cloud_([](const Message&, Connection& connection) {
          return connection.Write(Answer(200, {}, ""));
        }),
        booking_([this](const Message& request, Connection& connection) {
          return Book(request, connection);
        }) {
    for (size_t i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<Server>(
          [this, i](const Message& request, Connection& connection) {
            return Stream(i, request, connection);
          }));
    }
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<Gateway>(
          gateway, folder, "edge-" + std::to_string(i),
          "zone-" + std::to_string(i), store_.address(), cloud_.address()));
    }
  }

  int Run() {
    WriteObjects();
    for (const auto& node : nodes_) {
      node->Start(true);
    }
    for (const auto& node : nodes_) {
      if (!node->WaitReady(kReadyLimitMs)) {
        Note("a node did not become ready");
        return kNotRun;
      }
    }
    std::vector<std::thread> threads;
    for (size_t node = 0; node < kNodes; ++node) {
      threads.emplace_back([this, node] { WatchMemory(node); });
      for (size_t i = 0; i < kBookingClients; ++i) {
        threads.emplace_back([this, node, i] { SendBookings(node, i); });
      }
      for (size_t i = 0; i < kStreamClients; ++i) {
        threads.emplace_back([this, node, i] { SendStreams(node, i); });
      }
    }
    SleepMs(kRunMs);
    // The clients end first: what is open then is still answered.
    clients_stopped_ = true;
    for (size_t i = 0; i < threads.size(); ++i) {
      const bool watches = i % (1 + kBookingClients + kStreamClients) == 0;
      if (!watches) {
        threads[i].join();
      }
    }
    stopped_ = true;
    for (std::thread& thread : threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return Judge();
  }

 private:
  void Note(const std::string& line) {
    const std::lock_guard lock(record_mutex_);
    record_ << WallMs() - start_ms_ << " ms  " << line << std::endl;
  }

  void WriteObjects() {
    using nlohmann::json;
    const json draft{{"name", "menu-draft"},    {"host", "h"},
                     {"pathPrefix", "/draft/"}, {"routeKind", "stream"},
                     {"service", "pool"},       {"timeoutMs", 15'000},
                     {"targetLatencyMs", 1000}, {"gapTargetMs", 500},
                     {"maxAttempts", 1},        {"priority", 1}};
    const json book{
        {"name", "credit-book"},  {"host", "h"},       {"pathPrefix", "/book/"},
        {"routeKind", "unsafe"},  {"service", "meal"}, {"timeoutMs", 800},
        {"targetLatencyMs", 300}, {"maxAttempts", 1},  {"priority", 2}};
    store_.Put("config", "main",
               {{"version", 3},
                {"routes", {draft, book}},
                {"services",
                 {{{"name", "pool"},
                   {"maxConns", 370},
                   {"engine", {{"slots", 64}, {"kvCapacity", 765'419}}}},
                  {{"name", "meal"}, {"maxConns", 110}}}}});
    for (size_t i = 0; i < kEngines; ++i) {
      PutServer("i-engine-" + std::to_string(i), "pool", 64, *engines_[i]);
    }
    PutServer("i-meal", "meal", 24, booking_);
  }

  void PutServer(const std::string& id,
                 const std::string& service,
                 int slots,
                 const Server& server) {
    store_.Put("servers", id,
               {{"service", service},
                {"address", server.address()},
                {"zone", "zone-0"},
                {"version", "1"},
                {"slots", slots},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", start_ms_}});
  }

  // A sound server of the booking service.
  bool Book(const Message& request, Connection& connection) {
    const std::string id = request.Field("request-id");
    {
      const std::lock_guard lock(mutex_);
      begun_.insert(id);
    }
    Note("run " + id);
    SleepMs(kBookingMs);
    return connection.Write(Answer(
        200, {{"Request-Id", id}, {"Server-Stamp", "stamp-" + id}}, "booked"));
  }

  // An engine: a stream of events, or bytes without end in the body.
  bool Stream(size_t engine, const Message& request, Connection& connection) {
    const std::string id = request.Field("request-id");
    Note("run " + id);
    const size_t number = ++streams_[engine];
    const bool spoiled =
        spoils_ && engine < kSpoilingEngines && number % kSpoiledOneOf == 0;
    bool open = connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nRequest-Id: " +
        id + "\r\nServer-Stamp: stamp-" + id + "\r\n\r\n");
    const int events = spoiled ? kEventsBefore : kEvents;
    for (int event = 1; open && event <= events; ++event) {
      open = connection.Write(Chunk(Event(event)));
      SleepMs(kEventPauseMs);
    }
    if (!spoiled) {
      return open && connection.Write("0\r\n\r\n");
    }
    Note("engine " + std::to_string(engine) + " spoils its answer to " + id);
    const int64_t began = WallMs();
    int64_t sent = 0;
    const std::string bytes(static_cast<size_t>(kEndlessBytesPerMs), 'x');
    while (open && !stopped_) {
      if (sent > (WallMs() - began + kBurstMs) * kEndlessBytesPerMs) {
        SleepMs(1);
        continue;
      }
      open = connection.Write(bytes);
      sent += kEndlessBytesPerMs;
    }
    Note("the caller closed " + id + " after " + std::to_string(sent >> 20) +
         " MB and " + std::to_string(WallMs() - began) + " ms");
    return false;
  }

  // The platform: ends a process that exceeds its memory, and starts it again.
  void WatchMemory(size_t node) {
    Gateway& gateway = *nodes_[node];
    while (!stopped_) {
      const int64_t memory = MemoryKb(gateway.process());
      most_memory_[node] = std::max(most_memory_[node].load(), memory);
      const bool ran = gateway.Runs();
      if (!ran || memory > kMemoryLimitKb) {
        Note(gateway.node() + (ran ? " exceeds its memory, with " +
                                         std::to_string(memory >> 10) + " MB"
                                   : " ended by itself"));
        gateway.Kill();
        ++ends_[node];
        SleepMs(kRestartMs);
        gateway.Start(false);
      }
      SleepMs(kMemoryPollMs);
    }
  }

  // Sends one request after the other on a kept channel.
  void SendBookings(size_t node, size_t client) {
    size_t number = 0;
    while (!clients_stopped_) {
      const int socket = Connect(nodes_[node]->callers());
      if (socket < 0) {
        SleepMs(kReconnectMs);
        continue;
      }
      Connection channel(socket);
      bool kept = false;
      bool open = true;
      while (open && !clients_stopped_) {
        const std::string id = "b" + std::to_string(node) + "-" +
                               std::to_string(client) + "-" +
                               std::to_string(number++);
        ++sent_;
        Note("sent " + id);
        const bool written = channel.Write(
            "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 1500\r\n" + "Content-Length: 2\r\n\r\nab");
        const auto answer =
            written ? channel.Read(kClientTimeoutMs) : std::nullopt;
        open = answer && answer->Field("connection") != "close";
        if (answer) {
          ++answered_;
          Note("answered " + id + ": " + std::to_string(answer->Status()));
        } else if (kept) {
          NoteUnanswered(id);
        }
        kept = true;
      }
      close(socket);
    }
  }

  void NoteUnanswered(const std::string& id) {
    bool begun = false;
    {
      const std::lock_guard lock(mutex_);
      begun = begun_.contains(id);
    }
    if (begun) {
      ++lost_;
      Note("LOST: " + id +
           " reached a sound server, and its kept channel ended without an "
           "answer");
    }
  }

  // Sends streams, each on a new channel.
  void SendStreams(size_t node, size_t client) {
    for (size_t number = 0; !clients_stopped_; ++number) {
      const int socket = Connect(nodes_[node]->callers());
      if (socket < 0) {
        SleepMs(kReconnectMs);
        continue;
      }
      Connection channel(socket);
      const std::string id = "s" + std::to_string(node) + "-" +
                             std::to_string(client) + "-" +
                             std::to_string(number);
      ++sent_;
      Note("sent " + id);
      const bool written = channel.Write(
          "POST /draft/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
          "\r\nModel: m\r\nToken-Count: 1460,100\r\nDeadline-Ms: 15000\r\n"
          "Connection: close\r\nContent-Length: 2\r\n\r\nab");
      const auto head = written ? channel.Read(kClientTimeoutMs) : std::nullopt;
      if (head && channel.ReadToEnd(kClientTimeoutMs).ends_with("0\r\n\r\n")) {
        ++answered_;
        Note("answered " + id + ": whole stream");
      }
      close(socket);
    }
  }

  int Judge() {
    Note("requests sent " + std::to_string(sent_) + ", answered " +
         std::to_string(answered_));
    for (size_t node = 0; node < kNodes; ++node) {
      Note(nodes_[node]->node() + ": most memory " +
           std::to_string(most_memory_[node] >> 10) + " MB, ended by itself " +
           std::to_string(ends_[node]) + " times");
    }
    const bool broken = lost_ > kMaxLost;
    Note((broken ? "LOST is broken: " : "LOST held: ") + std::to_string(lost_) +
         " requests");
    return broken ? kBroken : kHeld;
  }

  int64_t start_ms_;
  std::mutex record_mutex_;
  std::ofstream record_;
  bool spoils_;
  std::atomic<bool> clients_stopped_ = false;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<std::string> begun_;
  std::atomic<size_t> streams_[kEngines] = {};
  std::atomic<int64_t> most_memory_[kNodes] = {};
  std::atomic<size_t> ends_[kNodes] = {};
  std::atomic<size_t> sent_ = 0;
  std::atomic<size_t> answered_ = 0;
  std::atomic<size_t> lost_ = 0;
  Store store_;
  Server cloud_;
  Server booking_;
  std::vector<std::unique_ptr<Server>> engines_;
  std::vector<std::unique_ptr<Gateway>> nodes_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: endless_case GATEWAY FOLDER RECORD TROUBLE\n";
    return review::kNotRun;
  }
  return review::EndlessCase(argv[1], argv[2], argv[3],
                             std::string(argv[4]) == "1")
      .Run();
}
