// Trial: the servers of one failure domain crash at the same moment while
// several of them run a request for the same popular resource.

#include <signal.h>

#include <cstdio>
#include <random>

#include "world.h"

namespace review {
namespace {

constexpr int kNodes = 2;
// Servers by zone: a third of them in the first, as in the model pool of
// menzaterv-quetzal.
const std::vector<int> kServers = {6, 4, 4, 4};
constexpr int kCallersPerNode = 50;
constexpr int kOk = 200;
// Pause of a caller after any other answer.
constexpr double kPauseSeconds = 0.5;
constexpr double kMinWorkSeconds = 0.3;
constexpr double kMaxWorkSeconds = 0.6;
constexpr double kThinkSeconds = 0.1;
// Part of the requests that are about the popular resource: while it gets much
// of the traffic, and otherwise.
constexpr double kHotShare = 0.28;
constexpr double kUsualShare = 0.01;
constexpr double kHotSeconds = 5.5;
constexpr double kHotBeforeCrashSeconds = 1.5;
// The store drops an entry after three intervals without a heartbeat.
constexpr double kExpirySeconds = 3.6;
constexpr double kCalmSeconds = 4;
constexpr double kAfterSeconds = 8;
// DENIED allows 5 and one in 500 of all requests.
constexpr int kAllowedDenials = 5;
constexpr int kRequestsPerDenial = 500;

Json Config() {
  return {{"version", 7},
          {"routes",
           {{{"name", "read"},
             {"host", "h"},
             {"pathPrefix", "/read/"},
             {"routeKind", "safe"},
             {"timeoutMs", 2'500},
             {"targetLatencyMs", 300},
             {"priority", 2},
             {"service", "api"},
             {"maxAttempts", 2}}}},
          {"services",
           {{{"name", "api"}, {"healthPath", "/healthz"}, {"maxConns", 110}}}},
          {"tenants", {{{"name", "t1"}, {"apiKeys", {"key-of-t1"}}}}},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 4'194'304},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}}};
}

double Uniform(double least, double most) {
  thread_local std::mt19937 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(least, most)(random);
}

class Callers {
 public:
  void Start(const std::string& node, const std::string& address) {
    threads_.emplace_back([this, node, address] {
      while (!stopped_) {
        SleepFor(Uniform(0, kThinkSeconds));
        const bool hot = Uniform(0, 1) < (hot_phase_ ? kHotShare : kUsualShare);
        const std::string path =
            "/read/" +
            (hot ? "popular"
                 : std::to_string(static_cast<int>(Uniform(0, 100'000))));
        const std::string id = NewId();
        const Reply reply =
            Ask(address,
                "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                    "\r\nX-Api-Key: key-of-t1\r\nDeadline-Ms: 2500\r\n\r\n",
                3);
        Note("request " + id + " " + path + " to " + node + " is answered " +
             std::to_string(reply.status));
        {
          const std::lock_guard lock(mutex_);
          ++statuses_[{hot, reply.status}];
        }
        if (reply.status != kOk) {
          SleepFor(kPauseSeconds);
        }
      }
    });
  }
  void SetHotPhase(bool hot) {
    hot_phase_ = hot;
    Note(hot ? "the popular resource gets much of the traffic"
             : "traffic is as usual again");
  }
  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  // Answers by whether the request was about the popular resource, and status.
  const std::map<std::pair<bool, int>, int>& statuses() const {
    return statuses_;
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<bool, int>, int> statuses_;
  std::vector<std::thread> threads_;
  std::atomic<bool> hot_phase_ = false;
  std::atomic<bool> stopped_ = false;
};

std::string Serve(const std::string& server, const Message& request) {
  const std::string id = request.Field("request-id");
  if (request.Field("expect-instance") != server) {
    return AnswerText(421, "", {"Instance-Id: " + server});
  }
  Note("request " + id + " runs at " + server);
  SleepFor(Uniform(kMinWorkSeconds, kMaxWorkSeconds));
  return AnswerText(200, "bytes of " + server,
                    {"Request-Id: " + id, "Server-Stamp: 1." + id});
}

int Judge(const Callers& callers) {
  int all = 0;
  int denied = 0;
  for (const auto& [key, count] : callers.statuses()) {
    const auto& [hot, status] = key;
    std::printf("%s: %d answers with %d\n", hot ? "popular" : "others", count,
                status);
    all += count;
    const bool own_denial = status >= 300 && status < 500 && status != 408 &&
                            status != 421 && status != 429;
    denied += own_denial ? count : 0;
  }
  const int allowed = kAllowedDenials + all / kRequestsPerDenial;
  Note(std::to_string(denied) + " proper requests of " + std::to_string(all) +
       " were denied, " + std::to_string(allowed) + " are allowed");
  if (denied > allowed) {
    Note("RULE DENIED IS BROKEN");
  }
  return denied > allowed ? kRuleBroken : kRuleHeld;
}

int Run() {
  ObjectStore store;
  Callers callers;
  store.Put("config", "main", Config());
  std::vector<std::unique_ptr<Path>> servers;
  for (size_t zone = 0; zone < kServers.size(); ++zone) {
    for (int i = 0; i < kServers[zone]; ++i) {
      const size_t number = servers.size();
      const std::string id = "i-" + std::to_string(number);
      servers.push_back(std::make_unique<Path>(
          id, HostOf(200 + static_cast<int>(number)),
          [id](const Message& request) { return Serve(id, request); }));
      store.Put("servers", id,
                {{"service", "api"},
                 {"address", servers.back()->address()},
                 {"zone", "zone-" + std::to_string(zone)},
                 {"version", "v1"},
                 {"slots", 6},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"born", 1'700'000'000'000 + number},
                 {"sequence", 1}});
    }
  }
  std::vector<std::unique_ptr<Path>> stores;
  std::vector<std::unique_ptr<Gateway>> nodes;
  bool started = true;
  for (int i = 0; i < kNodes; ++i) {
    const std::string name = "edge-" + std::to_string(i);
    stores.push_back(std::make_unique<Path>(
        name + " to store", HostOf(1 + i), [&store, name](const Message& call) {
          return store.Answer(name, call);
        }));
    nodes.push_back(std::make_unique<Gateway>(
        NodePlan{.name = name, .zone = "zone-" + std::to_string(i)},
        HostOf(1 + i), stores.back()->address(), ""));
    nodes.back()->Start();
    started = started && nodes.back()->WaitUntilReady(10);
  }
  for (int i = 0; i < kNodes; ++i) {
    for (int caller = 0; caller < kCallersPerNode; ++caller) {
      callers.Start(nodes[i]->name(), nodes[i]->callers());
    }
  }
  SleepFor(kCalmSeconds);
  callers.SetHotPhase(true);
  SleepFor(kHotBeforeCrashSeconds);
  if (HasTrouble()) {
    Note("the servers of zone-0 crash");
    for (int i = 0; i < kServers[0]; ++i) {
      servers[i]->End();
    }
  }
  SleepFor(kExpirySeconds);
  if (HasTrouble()) {
    for (int i = 0; i < kServers[0]; ++i) {
      store.Remove("servers", "i-" + std::to_string(i));
    }
  }
  SleepFor(kHotSeconds - kHotBeforeCrashSeconds - kExpirySeconds);
  callers.SetHotPhase(false);
  SleepFor(kAfterSeconds);
  callers.Stop();
  const int result = started ? Judge(callers) : kCouldNotRun;
  store.Stop();
  nodes.clear();
  return result;
}

}  // namespace
}  // namespace review

int main() {
  try {
    return review::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kCouldNotRun;
  }
}
