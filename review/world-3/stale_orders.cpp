// Trial: the machine that holds the cloud duties is cut off from the platform
// while it orders servers, another node takes over, and the cut ends.

#include <signal.h>

#include <cstdio>
#include <set>

#include "world.h"

namespace review {
namespace {

constexpr double kThawSeconds = 0.3;
constexpr double kLeaseSeconds = 6;
// Age of the lease's last renewal when the cut begins.
constexpr double kMinLeaseAge = 0.3;
constexpr double kMaxLeaseAge = 1.4;
constexpr int kNodes = 5;
// Orders for a zone: reclaimable servers and others.
constexpr size_t kKinds = 2;
// Batches of orders that are refused before the cut.
constexpr size_t kCalmBatches = 3;

const std::vector<std::string> kZones = {"hu-central-a", "hu-central-b",
                                         "hu-central-c", "hu-central-d",
                                         "hu-central-e"};

// The platform's API. It has no servers to give at the moment.
class Cloud {
 public:
  struct Seen {
    std::string holder;
    uint64_t fence = 0;
    std::string subject;
    double at = 0;
  };

  std::string Answer(const Message& call) {
    SleepFor(0.01);
    const Json body = Json::parse(call.body, nullptr, false);
    Seen seen{.holder = call.Field("duty-holder"),
              .fence = std::stoull(call.Field("fence-token")),
              .subject = "usage",
              .at = Now()};
    const bool is_order = call.target() == "/scale";
    if (is_order) {
      seen.subject =
          "scale " + body.value("service", "") + " " + body.value("zone", "");
    }
    Note("cloud gets " + seen.subject + " from " + seen.holder + ", fence " +
         std::to_string(seen.fence) + ": " + call.body);
    {
      const std::lock_guard lock(mutex_);
      seen_.push_back(seen);
    }
    return AnswerText(is_order ? 409 : 200, "{}");
  }
  std::vector<Seen> seen() {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  std::mutex mutex_;
  std::vector<Seen> seen_;
};

Json Config() {
  Json prices = Json::object();
  for (const std::string& zone : kZones) {
    prices[zone] = 1.0;
  }
  return {
      {"version", 7},
      {"routes",
       {{{"name", "chat"},
         {"host", "h"},
         {"pathPrefix", "/chat/"},
         {"routeKind", "stream"},
         {"timeoutMs", 15'000},
         {"targetLatencyMs", 1'000},
         {"priority", 1},
         {"service", "pool"},
         {"maxAttempts", 1},
         {"sticky", true},
         {"resumable", false},
         {"gapTargetMs", 500}}}},
      {"services",
       {{{"name", "pool"},
         {"healthPath", "/healthz"},
         {"maxConns", 370},
         {"engine", {{"slots", 64}, {"kvCapacity", 765'419}, {"stride", 5}}},
         {"scaling",
          {{"min", 1},
           {"max", 6},
           {"bootS", 4.0},
           {"spotPrice", 0.18},
           {"zonePrices", prices}}}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 4'194'304},
        {"headerTimeoutMs", 3'000},
        {"idleTimeoutMs", 15'000}}}};
}

// A machine's paths to the platform.
struct Machine {
  std::unique_ptr<Path> store;
  std::unique_ptr<Path> cloud;
  std::unique_ptr<Gateway> gateway;
};

struct Batch {
  std::string holder;
  double began = 0;
};

// Waits until the duties' holder has just been refused a batch of orders, and
// will still hold its lease when the next batch is due. `renewed` is when the
// lease was written last.
std::optional<Batch> NextBatch(Cloud& cloud,
                               const std::atomic<double>& renewed) {
  const double end = Now() + 30;
  while (Now() < end) {
    const auto seen = cloud.seen();
    size_t orders = 0;
    for (const auto& call : seen) {
      orders += call.subject == "usage" ? 0 : 1;
    }
    const bool batch_ended = orders >= kCalmBatches * kKinds * kZones.size() &&
                             seen.back().subject != "usage" &&
                             Now() - seen.back().at > 0.15;
    const double lease_age = Now() - renewed;
    if (batch_ended && lease_age > kMinLeaseAge && lease_age < kMaxLeaseAge) {
      size_t first = seen.size() - 1;
      while (first > 0 && seen[first - 1].at > seen.back().at - 0.5) {
        --first;
      }
      return Batch{seen.back().holder, seen[first].at};
    }
    SleepFor(0.02);
  }
  return std::nullopt;
}

// Waits until another holder has ordered for all zones.
bool WaitForSuccessor(Cloud& cloud, const std::string& holder, double end) {
  while (Now() < end) {
    std::set<std::string> subjects;
    for (const auto& call : cloud.seen()) {
      if (call.holder != holder && call.subject != "usage") {
        subjects.insert(call.subject);
      }
    }
    if (subjects.size() == kZones.size()) {
      return true;
    }
    SleepFor(0.02);
  }
  return false;
}

// Returns when the cut is to end: just after the cut machine has begun another
// try to connect to the cloud, which then lasts until its time-out. Its tries
// follow from when it sent its last batch of orders.
double EndOfCut(double last_batch) {
  constexpr double kBatchInterval = 2.5;
  constexpr double kCallTimeout = 0.9;
  constexpr double kConnectTimeout = 0.7;
  constexpr double kAfterTryBegan = 0.12;
  double begins = last_batch + kBatchInterval + kCallTimeout;
  while (begins + kAfterTryBegan < Now()) {
    begins += kConnectTimeout;
  }
  return begins + kAfterTryBegan;
}

int Judge(Cloud& cloud, double healed) {
  std::map<std::string, uint64_t> highest;
  int broken = 0;
  for (const auto& call : cloud.seen()) {
    uint64_t& known = highest[call.subject];
    const bool excused = healed > 0 && call.at <= healed + kThawSeconds;
    if (call.fence < known && !excused) {
      Note("RULE ONE IS BROKEN: " + call.subject + " from " + call.holder +
           " with fence " + std::to_string(call.fence) + " after " +
           std::to_string(known) + ", " + std::to_string(call.at - healed) +
           " s after its path was whole again");
      ++broken;
    }
    known = std::max(known, call.fence);
  }
  std::printf("%d calls with a lower number than the platform had seen\n",
              broken);
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

int Run() {
  ObjectStore store;
  Cloud cloud;
  std::atomic<double> renewed = 0;
  store.on_call = [&renewed](const ObjectStore::Call& call) {
    if (call.kind == "leases" && call.method != "GET") {
      renewed = Now();
    }
  };
  store.Put("config", "main", Config());
  int server = 0;
  for (const std::string& zone : kZones) {
    store.Put("servers", "i-" + std::to_string(++server),
              {{"service", "pool"},
               {"address", HostOf(200) + ":9"},
               {"zone", zone},
               {"version", "v1"},
               {"slots", 64},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"born", 1'700'000'000'000 + server},
               {"sequence", 1}});
  }
  std::map<std::string, Machine> machines;
  for (int i = 0; i < kNodes; ++i) {
    const std::string name = "edge-" + std::to_string(i);
    const std::string host = HostOf(1 + i);
    Machine& machine = machines[name];
    machine.store = std::make_unique<Path>(name + " to store", host,
                                           [&store, name](const Message& call) {
                                             return store.Answer(name, call);
                                           });
    machine.cloud = std::make_unique<Path>(
        name + " to cloud", host,
        [&cloud](const Message& call) { return cloud.Answer(call); });
    machine.gateway = std::make_unique<Gateway>(
        NodePlan{.name = name,
                 .zone = kZones[static_cast<size_t>(i) % kZones.size()]},
        host, machine.store->address(), machine.cloud->address());
    machine.gateway->Start();
  }
  int result = kCouldNotRun;
  const auto batch = NextBatch(cloud, renewed);
  if (!batch) {
    std::puts("no node took the duties");
  } else if (!HasTrouble()) {
    SleepFor(12);
    result = Judge(cloud, 0);
  } else {
    Machine& machine = machines.at(batch->holder);
    const double began = Now();
    machine.store->Cut();
    machine.cloud->Cut();
    const bool succeeded =
        WaitForSuccessor(cloud, batch->holder, began + 2 * kLeaseSeconds);
    SleepFor(std::max(0.0, EndOfCut(batch->began) - Now()));
    machine.store->Heal();
    machine.cloud->Heal();
    const double healed = Now();
    Note("the cut lasted " + std::to_string(healed - began) + " s");
    SleepFor(4);
    result = succeeded ? Judge(cloud, healed) : kCouldNotRun;
  }
  store.Stop();
  for (auto& [name, each] : machines) {
    each.gateway.reset();
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
