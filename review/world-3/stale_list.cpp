// Trial: a machine is added, and is cut off from the store while the answer to
// its list of the servers is on its way. Meanwhile a server's entry is removed,
// which the machine learns from its peers. Then the cut ends.

#include <signal.h>

#include <cstdio>

#include "world.h"

namespace review {
namespace {

constexpr double kDrainSeconds = 2;
constexpr double kContactSeconds = 3;
constexpr double kCutSeconds = 1.2;
// How long the server that leaves goes on serving.
constexpr double kServesOnSeconds = 9;
constexpr double kWorkSeconds = 0.25;
constexpr int kCallersPerNode = 6;
constexpr int kServerError = 500;
constexpr int kOldNodes = 3;
constexpr int kServers = 4;
constexpr double kRequestInterval = 0.05;
const char* const kLeaving = "i-1";
const char* const kAdded = "edge-3";

Json Config() {
  return {{"version", 7},
          {"routes",
           {{{"name", "booking"},
             {"host", "h"},
             {"pathPrefix", "/booking/"},
             {"routeKind", "unsafe"},
             {"timeoutMs", 1'500},
             {"targetLatencyMs", 300},
             {"priority", 2},
             {"service", "api"},
             {"maxAttempts", 2}}}},
          {"services",
           {{{"name", "api"}, {"healthPath", "/healthz"}, {"maxConns", 110}}}},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 4'194'304},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}}};
}

// What callers sent and servers ran.
class Traffic {
 public:
  struct Sent {
    std::string node;
    double at = 0;
    // Zero until it is answered.
    int status = 0;
  };
  struct Arrival {
    std::string id;
    Sent sent;
    std::string server;
    double at = 0;
  };

  // Sends requests to `address` until the trial ends.
  void StartCallers(const std::string& node, const std::string& address) {
    for (int i = 0; i < kCallersPerNode; ++i) {
      StartCaller(node, address);
    }
  }
  void StartCaller(const std::string& node, const std::string& address) {
    callers_.emplace_back([this, node, address] {
      while (!stopped_) {
        const std::string id = NewId();
        {
          const std::lock_guard lock(mutex_);
          sent_[id] = {node, Now()};
        }
        const Reply reply = Ask(address,
                                "POST /booking/1 HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 0\r\n"
                                "Request-Id: " +
                                    id + "\r\nDeadline-Ms: 1500\r\n\r\n",
                                2);
        Note("request " + id + " to " + node + " is answered " +
             std::to_string(reply.status));
        {
          const std::lock_guard lock(mutex_);
          sent_[id].status = reply.status;
        }
        SleepFor(kRequestInterval);
      }
    });
  }
  std::string Serve(const std::string& server, const Message& request) {
    const std::string id = request.Field("request-id");
    if (request.Field("expect-instance") != server) {
      return AnswerText(421, "", {"Instance-Id: " + server});
    }
    Arrival arrival{.id = id, .server = server, .at = Now()};
    {
      const std::lock_guard lock(mutex_);
      arrival.sent = sent_[id];
      arrivals_.push_back(arrival);
    }
    Note("request " + id + " from " + arrival.sent.node + " runs at " + server);
    SleepFor(kWorkSeconds);
    return AnswerText(200, "bytes of " + server,
                      {"Request-Id: " + id, "Server-Stamp: 1." + id});
  }
  // Arrivals with what is known of their requests now.
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    std::vector<Arrival> arrivals = arrivals_;
    for (Arrival& arrival : arrivals) {
      arrival.sent = sent_[arrival.id];
    }
    return arrivals;
  }
  void Stop() {
    stopped_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  std::vector<Arrival> arrivals_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_ = false;
};

struct Machine {
  std::unique_ptr<Path> store;
  std::unique_ptr<Path> cloud;
  std::unique_ptr<Gateway> gateway;
};

// What the added machine's list of the servers has brought about.
struct StoreNews {
  std::atomic<double> gone_at = 0;
  std::atomic<bool> listed = false;
};

int Judge(Traffic& traffic, double gone_at, double in_touch_at) {
  int late = 0;
  int lost = 0;
  int elsewhere = 0;
  for (const auto& arrival : traffic.arrivals()) {
    const bool counts = arrival.server == kLeaving &&
                        arrival.at > gone_at + kDrainSeconds &&
                        arrival.sent.at > in_touch_at;
    if (!counts) {
      continue;
    }
    if (arrival.sent.node != kAdded) {
      ++elsewhere;
      continue;
    }
    lost += arrival.sent.status >= kServerError ? 1 : 0;
    if (++late == 1) {
      Note("RULE DRAIN IS BROKEN: the first of the requests reaches " +
           arrival.server + " " + std::to_string(arrival.at - gone_at) +
           " s after the store acknowledged that it is gone, and its caller "
           "sent it " +
           std::to_string(arrival.sent.at - in_touch_at) + " s after " +
           kAdded + " was in touch");
    }
  }
  std::printf(
      "%d requests reached the server that is gone by way of %s (%d of them "
      "were lost as it exited), %d by way of other machines\n",
      late, kAdded, lost, elsewhere);
  Note(std::to_string(late) + " late requests by way of " + kAdded + ", " +
       std::to_string(lost) + " of them lost as the server exited; " +
       std::to_string(elsewhere) + " by way of other machines");
  return late > 0 ? kRuleBroken : kRuleHeld;
}

int Run() {
  ObjectStore store;
  Traffic traffic;
  store.Put("config", "main", Config());
  std::vector<std::unique_ptr<Path>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "i-" + std::to_string(i);
    servers.push_back(std::make_unique<Path>(
        id, HostOf(200 + i), [&traffic, id](const Message& request) {
          return traffic.Serve(id, request);
        }));
    store.Put("servers", id,
              {{"service", "api"},
               {"address", servers.back()->address()},
               {"zone", "zone-" + std::to_string(i)},
               {"version", "v1"},
               {"slots", 6},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"born", 1'700'000'000'000 + i},
               {"sequence", 1}});
  }
  const auto cloud = [](const Message& call) {
    Note("cloud gets " + call.target() + " " + call.body);
    return AnswerText(200, "{}");
  };
  std::map<std::string, Machine> machines;
  const auto add = [&](int i, bool first_start) -> Machine& {
    const std::string name = "edge-" + std::to_string(i);
    const std::string host = HostOf(1 + i);
    Machine& machine = machines[name];
    machine.store = std::make_unique<Path>(name + " to store", host,
                                           [&store, name](const Message& call) {
                                             return store.Answer(name, call);
                                           });
    machine.cloud = std::make_unique<Path>(name + " to cloud", host, cloud);
    machine.gateway = std::make_unique<Gateway>(
        NodePlan{.name = name,
                 .zone = "zone-" + std::to_string(i),
                 .first_start = first_start},
        host, machine.store->address(), machine.cloud->address());
    machine.gateway->Start();
    return machine;
  };
  StoreNews news;
  std::thread trouble;
  store.on_call = [&](const ObjectStore::Call& call) {
    const bool is_list = call.machine == kAdded && call.kind == "servers" &&
                         call.method == "GET" && !call.is_watch;
    if (!is_list || news.listed.exchange(true)) {
      return;
    }
    Note("the store has answered the list of " + call.machine);
    if (HasTrouble()) {
      machines.at(kAdded).store->Cut();
    }
    trouble = std::thread([&] {
      store.Remove("servers", kLeaving);
      news.gone_at = Now();
      SleepFor(kCutSeconds);
      machines.at(kAdded).store->Heal();
    });
  };
  bool started = true;
  for (int i = 0; i < kOldNodes; ++i) {
    Machine& machine = add(i, true);
    started = started && machine.gateway->WaitUntilReady(10);
    traffic.StartCallers(machine.gateway->name(), machine.gateway->callers());
  }
  SleepFor(4);
  Machine& added = add(kOldNodes, false);
  started = started && added.gateway->WaitUntilReady(10);
  traffic.StartCallers(added.gateway->name(), added.gateway->callers());
  while (started && Now() < 30 && news.gone_at == 0) {
    SleepFor(0.02);
  }
  if (trouble.joinable()) {
    trouble.join();
  }
  const double healed = Now();
  while (started && Now() < news.gone_at + kServesOnSeconds) {
    SleepFor(0.02);
  }
  servers[1]->End();
  SleepFor(1);
  traffic.Stop();
  const int result =
      started && news.gone_at > 0
          ? Judge(traffic, news.gone_at, healed + kContactSeconds)
          : kCouldNotRun;
  store.Stop();
  for (auto& [name, machine] : machines) {
    machine.gateway.reset();
  }
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
