// Case: all nodes are killed while the store comes back from an older copy.
// Reads the cloud's usage reports: two of one window must have the same counts.
//
// Usage: usage_case GATEWAY FOLDER RECORD TROUBLE
// TROUBLE: 1 both disruptions, 0 none, "kill" or "drill" one of them.

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <functional>
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

using nlohmann::json;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kNotRun = 2;

constexpr size_t kNodes = 3;
constexpr int64_t kReadyLimitMs = 10'000;
constexpr int kCallTimeoutMs = 1'500;
constexpr int kRequestPauseMs = 40;
// Usage reports that are awaited before the disruption.
constexpr size_t kReportsBefore = 3;
constexpr int64_t kReportLimitMs = 40'000;
// From an accepted report to the disruption.
constexpr int64_t kTroubleDelayMs = 300;
// The store is away "for a moment" and its copy is "some seconds old".
constexpr int64_t kAwayMs = 500;
constexpr int64_t kCopyAgeMs = 3'000;
// From the end of a process to its next start.
constexpr int64_t kRestartMs = 500;
constexpr int64_t kWatchMs = 25'000;

struct Report {
  int64_t at_ms = 0;
  std::string holder;
  std::string fencing;
  int64_t window = 0;
  json counts;
};

// The platform's cloud API. It accepts every call, as with fencingRequired
// false.
class Cloud {
 public:
  explicit Cloud(std::function<void(const std::string&)> record)
      : record_(std::move(record)),
        server_([this](const Message& call, Connection& connection) {
          return Serve(call, connection);
        }) {}

  std::string address() const { return server_.address(); }
  std::vector<Report> reports() {
    const std::lock_guard lock(mutex_);
    return reports_;
  }

 private:
  bool Serve(const Message& call, Connection& connection) {
    const json body = json::parse(call.body, nullptr, false);
    if (call.Target() == "/usage" && body.is_object()) {
      const std::lock_guard lock(mutex_);
      reports_.push_back({.at_ms = WallMs(),
                          .holder = call.Field("duty-holder"),
                          .fencing = call.Field("fence-token"),
                          .window = body.value("windowId", int64_t{0}),
                          .counts = body.value("counts", json::object())});
      record_("usage report from " + call.Field("duty-holder") + " fence " +
              call.Field("fence-token") + ": " + body.dump());
    }
    return connection.Write(Answer(200, {}, ""));
  }

  std::function<void(const std::string&)> record_;
  std::mutex mutex_;
  std::vector<Report> reports_;
  Server server_;
};

class UsageCase {
 public:
  UsageCase(const std::string& gateway,
            const std::string& folder,
            const std::string& record,
            const std::string& trouble)
      : start_ms_(WallMs()),
        record_(record),
        kills_(trouble == "1" || trouble == "kill"),
        drills_(trouble == "1" || trouble == "drill"),
        cloud_([this](const std::string& line) { Note(line); }),
        backend_([this](const Message& request, Connection& connection) {
          Note("run " + request.Field("request-id"));
          return connection.Write(
              Answer(200,
                     {{"Request-Id", request.Field("request-id")},
                      {"Server-Stamp", "stamp"}},
                     "done"));
        }) {
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
    if (!WaitReady()) {
      Note("the nodes did not become ready");
      return kNotRun;
    }
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kNodes; ++i) {
      clients.emplace_back([this, i] { SendRequests(i); });
    }
    const bool reported = WaitForReport();
    if (reported) {
      SleepMs(kTroubleDelayMs);
      Trouble();
      SleepMs(kWatchMs);
    }
    stopped_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    Note("requests sent " + std::to_string(sent_) + ", answered 200 " +
         std::to_string(served_));
    if (!reported) {
      Note("no usage report came");
      return kNotRun;
    }
    return Judge();
  }

 private:
  void Note(const std::string& line) {
    const std::lock_guard lock(record_mutex_);
    record_ << WallMs() - start_ms_ << " ms  " << line << std::endl;
  }

  void WriteObjects() {
    const json route{
        {"name", "book"},         {"host", "h"},       {"pathPrefix", "/book/"},
        {"routeKind", "unsafe"},  {"service", "meal"}, {"timeoutMs", 800},
        {"targetLatencyMs", 300}, {"maxAttempts", 1},  {"priority", 2}};
    const json tenant{{"name", "school"},
                      {"apiKeys", {"key"}},
                      {"unit", "token_count"},
                      {"plainTokens", 200}};
    store_.Put("config", "main",
               {{"version", 3},
                {"routes", {route}},
                {"services", {{{"name", "meal"}, {"maxConns", 110}}}},
                {"tenants", {tenant}}});
    store_.Put("servers", "i-1",
               {{"service", "meal"},
                {"address", backend_.address()},
                {"zone", "zone-0"},
                {"version", "1"},
                {"slots", 6},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", WallMs()}});
  }

  bool WaitReady() {
    for (const auto& node : nodes_) {
      if (!node->WaitReady(kReadyLimitMs)) {
        return false;
      }
    }
    return true;
  }

  // Sends requests to one node, each on a new connection.
  void SendRequests(size_t node) {
    for (size_t number = 0; !stopped_; ++number) {
      const std::string id =
          "r" + std::to_string(node) + "-" + std::to_string(number);
      ++sent_;
      Note("sent " + id);
      const auto answer = Call(nodes_[node]->callers(),
                               "POST /book/1 HTTP/1.1\r\nHost: h\r\n"
                               "Request-Id: " +
                                   id +
                                   "\r\nX-Api-Key: key\r\nDeadline-Ms: 1500\r\n"
                                   "Connection: close\r\n"
                                   "Content-Length: 2\r\n\r\nab",
                               kCallTimeoutMs);
      if (answer && answer->Status() == 200) {
        ++served_;
        Note("answered " + id + ": 200");
      }
      SleepMs(kRequestPauseMs);
    }
  }

  // Waits for the first report of a whole window of traffic.
  bool WaitForReport() {
    const int64_t end = WallMs() + kReportLimitMs;
    size_t seen = 0;
    while (WallMs() < end) {
      const auto reports = cloud_.reports();
      size_t filled = 0;
      for (const Report& report : reports) {
        filled += report.counts.empty() ? 0 : 1;
      }
      if (filled >= kReportsBefore && filled > seen && seen > 0) {
        return true;
      }
      seen = filled;
      SleepMs(5);
    }
    return false;
  }

  void Trouble() {
    if (drills_) {
      Note("the store goes away");
      store_.GoAway();
    }
    if (kills_) {
      Note("all processes are killed");
      for (const auto& node : nodes_) {
        node->Kill();
      }
    }
    SleepMs(kAwayMs);
    if (drills_) {
      store_.ReturnFromCopy(kCopyAgeMs);
      Note("the store is back, from a copy that is " +
           std::to_string(kCopyAgeMs) + " ms older than its last answer");
    }
    if (kills_) {
      SleepMs(kRestartMs - kAwayMs);
      for (const auto& node : nodes_) {
        node->Start(false);
      }
      Note("all processes are started again");
    }
  }

  int Judge() {
    bool broken = false;
    std::map<int64_t, Report> first;
    for (const Report& report : cloud_.reports()) {
      const auto [known, added] = first.try_emplace(report.window, report);
      if (!added && known->second.counts != report.counts) {
        broken = true;
        Note("BROKEN: window " + std::to_string(report.window) +
             " was reported by " + known->second.holder + " (fence " +
             known->second.fencing + ") with " + known->second.counts.dump() +
             " and by " + report.holder + " (fence " + report.fencing +
             ") with " + report.counts.dump());
      }
    }
    Note(broken ? "ONE is broken" : "ONE held");
    return broken ? kBroken : kHeld;
  }

  int64_t start_ms_;
  std::mutex record_mutex_;
  std::ofstream record_;
  bool kills_;
  bool drills_;
  Store store_;
  Cloud cloud_;
  Server backend_;
  std::vector<std::unique_ptr<Gateway>> nodes_;
  std::atomic<bool> stopped_ = false;
  std::atomic<size_t> sent_ = 0;
  std::atomic<size_t> served_ = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: usage_case GATEWAY FOLDER RECORD TROUBLE\n";
    return review::kNotRun;
  }
  return review::UsageCase(argv[1], argv[2], argv[3], argv[4]).Run();
}
