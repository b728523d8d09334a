// A seeded search over nodes that find out together which prompt parts crash
// servers: sound requests share the other parts, heartbeats get lost, nodes
// start again, and servers crash of other causes too. Time is virtual.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 5;
constexpr size_t kServers = 9;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kHeartbeat = milliseconds(150);
constexpr Duration kServerRestart = seconds(3);
// When every node that is in touch has to know, and when sound requests have to
// be served again, both after the fifth crash.
constexpr Duration kContact = seconds(3);
constexpr size_t kCrashesBefore = 5;
// Sound requests alone come before that.
constexpr Duration kBadFrom = seconds(8);
constexpr double kHeartbeatLoss = 0.3;

// How many requests come, and what goes wrong beside the bad parts.
struct Disturbances {
  size_t bad_parts = 1;
  double bad_per_second = 4;
  double sound_per_second = 40;
  bool nodes_restart = false;
  bool servers_crash = false;
  bool domain_lost = false;
};

class CrashWorld {
 public:
  CrashWorld(const Disturbances& disturbances, uint64_t seed)
      : disturbances_(disturbances), rng_(seed, 7) {
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<CrashTracker>());
    }
    servers_.resize(kServers);
    for (Server& server : servers_) {
      server.process = ++last_process_;
    }
  }

  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      Arrivals();
      Disturb();
      for (Server& server : servers_) {
        Advance(server);
      }
      Heartbeats();
    }
  }

  // Requests with one bad part that were sent later than allowed, the most of
  // any part.
  size_t late_bad_sends() const {
    size_t most = 0;
    for (const auto& [bad, sends] : late_bad_sends_) {
      most = std::max(most, sends);
    }
    return most;
  }
  // Sound requests that came after the nodes had time to settle, and how many
  // of them were refused.
  size_t sound_asked() const { return sound_asked_; }
  size_t sound_refused() const { return sound_refused_; }

 private:
  struct RunningRequest {
    RequestFeatures features;
    // The bad part, zero without one.
    uint64_t bad = 0;
    bool retried = false;
    size_t node = 0;
    TimePoint first_byte;
    TimePoint end;
  };
  struct Server {
    uint64_t process = 0;
    TimePoint up_at;
    std::vector<RunningRequest> running;
  };

  RequestFeatures NewRequest(uint64_t bad) {
    // First parts of a few kinds, subjects of which some are new.
    CallerRequest request{.method = "POST", .target = std::to_string(++own_)};
    request.prompt_parts.push_back({1 + rng_.Below(3), 10});
    if (bad != 0) {
      request.prompt_parts.push_back({bad, 10});
    }
    const uint64_t subject =
        rng_.Chance(0.2) ? 10'000 + own_ : 100 + rng_.Below(20);
    request.prompt_parts.push_back({subject, 10});
    request.prompt_parts.push_back({1'000'000 + own_, 10});
    return {request, "team"};
  }

  void Arrivals() {
    const double step = std::chrono::duration<double>(kStep).count();
    if (now_ - start_ >= kBadFrom &&
        rng_.Chance(disturbances_.bad_per_second * step)) {
      const uint64_t bad = 1'000 + rng_.Below(disturbances_.bad_parts);
      Ask(NewRequest(bad), bad);
    }
    if (rng_.Chance(disturbances_.sound_per_second * step)) {
      Ask(NewRequest(0), 0);
    }
  }

  // Whether the fifth crash of the bad part is longer ago than `after`.
  bool IsSettled(uint64_t bad, Duration after) const {
    const auto found = bad_crashes_.find(bad);
    return found != bad_crashes_.end() &&
           found->second.size() >= kCrashesBefore &&
           now_ - found->second[kCrashesBefore - 1] > after;
  }
  // Whether sound requests have to be served: the last crash of each bad part,
  // or its fifth one, is long enough ago.
  bool IsQuiet() const {
    return std::all_of(bad_crashes_.begin(), bad_crashes_.end(),
                       [&](const auto& part) {
                         return now_ - part.second.back() > 2 * kContact ||
                                IsSettled(part.first, 2 * kContact);
                       });
  }

  void Ask(const RequestFeatures& features, uint64_t bad) {
    const size_t node = rng_.Below(kNodes);
    const bool counts = bad == 0 && !bad_crashes_.empty() && IsQuiet();
    sound_asked_ += counts ? 1 : 0;
    if (nodes_[node]->Judge(features, now_) == Suspicion::kBlocked) {
      nodes_[node]->OnRefused(features, now_);
      sound_refused_ += counts ? 1 : 0;
      return;
    }
    Send({.features = features, .bad = bad, .node = node});
  }

  void Send(RunningRequest request) {
    std::vector<Server*> up;
    for (Server& server : servers_) {
      if (server.up_at <= now_) {
        up.push_back(&server);
      }
    }
    if (up.empty()) {
      return;
    }
    if (request.bad != 0 && IsSettled(request.bad, kContact)) {
      ++late_bad_sends_[request.bad];
    }
    request.first_byte = now_ + milliseconds(50 + rng_.Below(100));
    request.end = request.first_byte + milliseconds(100 + rng_.Below(3'000));
    up[rng_.Below(up.size())]->running.push_back(request);
  }

  void Advance(Server& server) {
    for (const RunningRequest& request : server.running) {
      if (request.bad != 0 && request.first_byte <= now_) {
        bad_crashes_[request.bad].push_back(now_);
        CrashServer(server);
        return;
      }
    }
    for (const RunningRequest& request : server.running) {
      const bool goes_on =
          now_ - request.first_byte >= CrashTracker::kSoundAfter;
      if (request.end <= now_ || goes_on) {
        nodes_[request.node]->OnSound(request.features, request.first_byte);
      }
    }
    std::erase_if(server.running, [&](const RunningRequest& request) {
      return request.end <= now_;
    });
  }

  void CrashServer(Server& server) {
    const std::vector<RunningRequest> cut = std::exchange(server.running, {});
    server.up_at = now_ + kServerRestart;
    const uint64_t process = std::exchange(server.process, ++last_process_);
    for (RunningRequest request : cut) {
      if (now_ - request.first_byte < CrashTracker::kSoundAfter) {
        nodes_[request.node]->OnCrash({.server = process,
                                       .content = request.features.content(),
                                       .features = request.features.sorted(),
                                       .at = now_},
                                      now_);
      }
      const bool again = !request.retried &&
                         nodes_[request.node]->Judge(request.features, now_) ==
                             Suspicion::kNone;
      if (again) {
        request.retried = true;
        Send(request);
      }
    }
  }

  void Disturb() {
    if (disturbances_.servers_crash && rng_.Chance(0.002)) {
      CrashServer(servers_[rng_.Below(kServers)]);
    }
    if (disturbances_.nodes_restart && rng_.Chance(0.002)) {
      nodes_[rng_.Below(kNodes)] = std::make_unique<CrashTracker>();
    }
    if (disturbances_.domain_lost && now_ - start_ == kBadFrom + seconds(1)) {
      for (size_t i = 0; i < kServers / 3; ++i) {
        CrashServer(servers_[i]);
      }
    }
  }

  void Heartbeats() {
    for (size_t from = 0; from < kNodes; ++from) {
      nodes_[from]->OnTick(now_);
      const bool due = (now_ - start_) % kHeartbeat == Duration::zero();
      if (!due && !nodes_[from]->has_news()) {
        continue;
      }
      const CrashReport report = nodes_[from]->TakeReport(now_);
      for (size_t to = 0; to < kNodes; ++to) {
        if (to != from && !rng_.Chance(kHeartbeatLoss)) {
          nodes_[to]->OnPeer(report, false, now_);
        }
      }
    }
  }

  const TimePoint start_{seconds(1'000)};
  Disturbances disturbances_;
  Rng rng_;
  TimePoint now_ = start_;
  std::vector<std::unique_ptr<CrashTracker>> nodes_;
  std::vector<Server> servers_;
  // When servers crashed of each bad part, in order.
  std::map<uint64_t, std::vector<TimePoint>> bad_crashes_;
  uint64_t last_process_ = 0;
  uint64_t own_ = 0;
  std::map<uint64_t, size_t> late_bad_sends_;
  size_t sound_asked_ = 0;
  size_t sound_refused_ = 0;
};

}  // namespace

TEST_CASE("no course of events makes nodes go on sending a bad part") {
  const Disturbances disturbances = GENERATE(
      Disturbances{}, Disturbances{.bad_per_second = 30},
      Disturbances{.bad_per_second = 0.7}, Disturbances{.sound_per_second = 4},
      Disturbances{.nodes_restart = true},
      Disturbances{.servers_crash = true, .domain_lost = true},
      Disturbances{
          .bad_parts = 2, .nodes_restart = true, .servers_crash = true});
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed, disturbances.bad_parts, disturbances.bad_per_second,
            disturbances.sound_per_second, disturbances.nodes_restart,
            disturbances.servers_crash);
    CrashWorld world(disturbances, seed);
    world.Run(seconds(40));
    CHECK(world.late_bad_sends() <= 3);
    CHECK(world.sound_refused() * 20 <= world.sound_asked());
  }
}

TEST_CASE("servers that crash of other causes block nothing") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CrashWorld world({.bad_per_second = 0,
                      .nodes_restart = true,
                      .servers_crash = true,
                      .domain_lost = true},
                     seed);
    world.Run(seconds(40));
    CHECK(world.sound_refused() == 0);
  }
}

}  // namespace qh
