// Speeds of single engines: how fast and how surely they are learned, what is
// not taken for a speed, reports of peers, and what the choice of servers gains
// by them.

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "qh_core/hash/hash.h"
#include "qh_core/random/rng.h"
#include "qh_gateway/control/peer_digest.h"
#include "qh_gateway/decisions/placement/server_picker.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
constexpr double kServiceRate = 80;

// Speed of the i-th server.
double SpeedOf(size_t i) {
  constexpr std::array<double, 3> kSpeeds = {0.6, 1.0, 1.6};
  return kSpeeds.at(i % kSpeeds.size());
}

// A server is 2.5 times slower in 15% of its phases of 0.6 s.
double PhaseFactor(size_t server, TimePoint at) {
  const auto phase = static_cast<uint64_t>(at.time_since_epoch() /
                                           ServerSpeeds::kSampleInterval);
  return HashPair(server + 1, phase) % 100 < 15 ? 1 / 2.5 : 1;
}

std::vector<ServerRecord> Engines(size_t count) {
  std::vector<ServerRecord> engines(count);
  for (size_t i = 0; i < count; ++i) {
    engines[i].id = ServerId("e" + std::to_string(i));
    engines[i].service = "chat";
    engines[i].slots = 24;
    engines[i].started_ms = 7;
  }
  return engines;
}

struct Fixture {
  Fixture() {
    for (const ServerRecord& engine : engines) {
      servers.push_back(&engine);
    }
  }
  void Update(ServerSpeeds& updated, TimePoint now) const {
    updated.OnTick(servers, now + ServerSpeeds::kUpdateInterval);
  }
  // Each server prefills a prompt every second, in and outside of slow phases.
  void Sample(ServerSpeeds& sampled, int rounds, bool phases) const {
    for (int round = 0; round < rounds; ++round) {
      const TimePoint now = kStart + seconds(round);
      for (size_t i = 0; i < engines.size(); ++i) {
        sampled.OnSample(
            engines[i].id, 7,
            kServiceRate * SpeedOf(i) * (phases ? PhaseFactor(i, now) : 1),
            now);
      }
    }
    Update(sampled, kStart + seconds(rounds));
  }

  std::vector<ServerRecord> engines = Engines(12);
  std::vector<const ServerRecord*> servers;
  ServerSpeeds speeds;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a server without samples has its service's speed") {
  Update(speeds, kStart);
  CHECK(speeds.Speed(engines[0]) == 1);
  CHECK(speeds.HomeWeight(engines[0]) == 1);
}

// Guards against a choice among equal servers that depends on which of them
// were measured, while the service's rate isn't known well.
TEST_CASE_METHOD(Fixture, "servers of one speed stay equal, whatever it is") {
  speeds.OnSample(engines[0].id, 7, 37, kStart);
  speeds.OnSample(engines[1].id, 7, 37, kStart);
  Update(speeds, kStart);
  for (const size_t i : {0, 1, 2}) {
    CHECK(speeds.Speed(engines[i]) == Approx(1));
  }
}

TEST_CASE_METHOD(Fixture, "slow and fast servers are told from few samples") {
  Sample(speeds, 4, false);
  CHECK(speeds.Speed(engines[0]) < 0.8);
  CHECK(speeds.Speed(engines[1]) == Approx(1).margin(0.1));
  CHECK(speeds.Speed(engines[2]) > 1.25);
  const SpeedRange range = speeds.Range(servers);
  CHECK(range.slowest == Approx(speeds.Speed(engines[0])));
  CHECK(range.fastest == Approx(speeds.Speed(engines[2])));
}

TEST_CASE_METHOD(Fixture, "slow phases are not taken for slow servers") {
  Sample(speeds, 15, true);
  for (size_t i = 0; i < engines.size(); ++i) {
    CHECK(speeds.Speed(engines[i]) == Approx(SpeedOf(i)).epsilon(0.25));
  }
}

// Guards against one slow phase, in which many requests run, that makes a
// server look slow for long.
TEST_CASE_METHOD(Fixture, "many samples of one slow phase count once") {
  Sample(speeds, 5, false);
  const double before = speeds.Speed(engines[1]);
  for (int i = 0; i < 50; ++i) {
    speeds.OnSample(engines[1].id, 7, kServiceRate / 2.5,
                    kStart + seconds(6) + milliseconds(10 * i));
  }
  Update(speeds, kStart + seconds(7));
  CHECK(speeds.Speed(engines[1]) == Approx(before).epsilon(0.05));
}

TEST_CASE_METHOD(Fixture, "samples age until the service's rate holds again") {
  Sample(speeds, 6, false);
  const double fresh = speeds.Speed(engines[0]);
  Update(speeds, kStart + 2 * ServerSpeeds::kHalfLife);
  CHECK(speeds.Speed(engines[0]) > fresh + 0.05);
  Update(speeds, kStart + 6 * ServerSpeeds::kHalfLife);
  CHECK(speeds.Speed(engines[0]) == 1);
}

TEST_CASE_METHOD(Fixture, "a restarted process has no speed, nor old reports") {
  Sample(speeds, 6, false);
  const SpeedReports old = speeds.Report(kStart + seconds(6));
  ServerRecord restarted = engines[0];
  restarted.started_ms = 8;
  CHECK(speeds.Speed(restarted) == 1);
  speeds.Forget(engines[0].id);
  engines[0] = restarted;
  // A peer that has not heard of the restart reports the old process.
  speeds.OnPeer("peer", old, kStart + seconds(6));
  Update(speeds, kStart + seconds(7));
  CHECK(speeds.Speed(engines[0]) == 1);
  CHECK(speeds.Speed(engines[1]) != 1);
}

TEST_CASE_METHOD(Fixture, "peers' reports serve a node without own samples") {
  ServerSpeeds peer;
  Sample(peer, 6, false);
  speeds.OnPeer("peer", peer.Report(kStart), kStart);
  Update(speeds, kStart);
  CHECK(speeds.Speed(engines[0]) < 0.8);
  SECTION("and lose their weight when the peer falls silent") {
    Update(speeds, kStart + 6 * ServerSpeeds::kPeerHalfLife);
    CHECK(speeds.Speed(engines[0]) == 1);
  }
  SECTION("and invalid ones are left out") {
    const double rate =
        GENERATE(0.0, -4.0, 1e300, std::numeric_limits<double>::quiet_NaN());
    CHECK(speeds.OnPeer("other", {{engines[0].id, {7, rate, 5}}}, kStart) == 1);
    CHECK(speeds.OnPeer("other", {{engines[0].id, {7, 50, rate}}}, kStart) ==
          1);
    const double before = speeds.Speed(engines[0]);
    Update(speeds, kStart + milliseconds(500));
    CHECK(speeds.Speed(engines[0]) == Approx(before).epsilon(0.05));
  }
}

TEST_CASE_METHOD(Fixture, "speeds survive a heartbeat and a relay's sums") {
  Sample(speeds, 6, false);
  PeerHeartbeat sent;
  sent.node = "a";
  sent.server_speeds = speeds.Report(kStart + seconds(6));
  // A second node has measured the first server alone.
  PeerHeartbeat second;
  second.node = "b";
  second.server_speeds = {{engines[0].id, {7, 60, 2}}};
  PeerDigest digest;
  digest.OnHeartbeat("b", second, true, seconds(50), kStart);
  const auto sums = PeerHeartbeat::Decode(
      digest.OfDeploymentWithout("c", sent, kStart).Encode());
  REQUIRE(sums);
  REQUIRE(sums.value().server_speeds.size() == engines.size());
  const SpeedReport& own = sent.server_speeds.at(engines[0].id);
  const SpeedReport& merged = sums.value().server_speeds.at(engines[0].id);
  CHECK(merged.samples == Approx(own.samples + 2));
  CHECK(merged.rate > own.rate);
  CHECK(merged.rate < 60);
}

namespace {

// What a run of the model gives.
struct ModelResult {
  double mean_ms = 0;
  double p95_ms = 0;
  // Ratio of the time to the first event to the expected one, its median over
  // the requests of the slowest third of the servers.
  double slow_ratio = 0;
};

// Engines that prefill prompts one after the other, at different speeds and
// with slow phases, and then decode beside that. With `learn`, the picker's
// speeds are updated.
ModelResult RunModel(uint64_t seed, bool learn) {
  constexpr size_t kServers = 9;
  constexpr int kRequests = 4'000;
  constexpr double kMeanGapMs = 23;
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  std::map<ServerId, size_t> index;
  for (const ServerRecord& engine : Engines(kServers)) {
    index[engine.id] = index.size();
    directory.OnServer(engine, kStart);
  }
  ServerPicker picker(directory, FailureDomainId("z"), seed);
  RouteRule route{.latency_target = milliseconds(800)};
  ServiceRule chat{.name = "chat", .engine = EngineTraits{.slots = 24}};
  struct Event {
    ServerPick pick;
    TimePoint sent;
    bool started = false;
  };
  std::multimap<TimePoint, Event> due;
  std::vector<TimePoint> free_at(kServers, kStart);
  std::vector<double> waits;
  std::vector<double> slow_ratios;
  Rng rng(seed, 3);
  TimePoint now = kStart;
  for (int i = 0; i < kRequests; ++i) {
    now += FromSeconds(rng.Exponential(kMeanGapMs) / 1'000);
    while (!due.empty() && due.begin()->first <= now) {
      const auto [at, event] = *due.begin();
      due.erase(due.begin());
      if (event.started) {
        picker.OnEnded(event.pick, true, AttemptOutcome::kAnswered, at);
        continue;
      }
      picker.OnResponseStarted(event.pick, "chat", true, at - event.sent, at);
      due.emplace(at + seconds(1), Event{event.pick, event.sent, true});
    }
    if (learn) {
      picker.OnTick(now);
    }
    CallerRequest request;
    request.prompt_tokens = static_cast<uint32_t>(1'000 + rng.Below(12'000));
    request.prompt_parts = {{rng.Next(), request.prompt_tokens}};
    const auto pick = picker.Choose({.route = &route,
                                     .service = &chat,
                                     .request = &request,
                                     .time_left = seconds(30),
                                     .first_attempt = false},
                                    now);
    REQUIRE(pick);
    picker.OnSent(pick.value(), request);
    const size_t server = index.at(pick.value().server);
    const TimePoint begin = std::max(now, free_at[server]);
    const double rate =
        kServiceRate * SpeedOf(server) * PhaseFactor(server, begin);
    free_at[server] = begin + FromSeconds(request.prompt_tokens / rate / 1'000);
    const TimePoint first = free_at[server] + milliseconds(30);
    due.emplace(first, Event{pick.value(), now});
    if (i >= kRequests / 4) {
      waits.push_back(ToMilliseconds(first - now));
      if (server % 3 == 0) {
        slow_ratios.push_back(waits.back() /
                              ToMilliseconds(pick.value().expected_ttfb));
      }
    }
  }
  ModelResult result;
  for (const double wait : waits) {
    result.mean_ms += wait / static_cast<double>(waits.size());
  }
  std::sort(waits.begin(), waits.end());
  std::sort(slow_ratios.begin(), slow_ratios.end());
  result.p95_ms = waits[waits.size() * 95 / 100];
  result.slow_ratio = slow_ratios[slow_ratios.size() / 2];
  return result;
}

}  // namespace

TEST_CASE("with speeds the first event comes sooner, and as expected") {
  const uint64_t seed = GENERATE(1, 2, 3, 4);
  const ModelResult without = RunModel(seed, false);
  const ModelResult with = RunModel(seed, true);
  CAPTURE(without.mean_ms, with.mean_ms, without.p95_ms, with.p95_ms,
          without.slow_ratio, with.slow_ratio);
  CHECK(with.mean_ms < 0.95 * without.mean_ms);
  CHECK(with.p95_ms < without.p95_ms);
  CHECK(std::abs(std::log(with.slow_ratio)) <
        std::abs(std::log(without.slow_ratio)));
}

// Homes follow the speed, and only homes of servers whose weight changed move.
TEST_CASE("a slow server is home to fewer prompts, and most homes stay") {
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  const std::vector<ServerRecord> engines = Engines(12);
  for (const ServerRecord& engine : engines) {
    directory.OnServer(engine, kStart);
  }
  ServerPicker picker(directory, FailureDomainId("z"), 1);
  RouteRule route{.latency_target = milliseconds(800)};
  ServiceRule chat{.name = "chat", .engine = EngineTraits{.slots = 24}};
  const auto homes = [&] {
    std::vector<ServerId> chosen;
    for (uint64_t session = 0; session < 2'000; ++session) {
      CallerRequest request;
      request.prompt_parts = {{session, 20}, {session + 10'000, 10}};
      request.prompt_tokens = 30;
      chosen.push_back(picker
                           .Choose({.route = &route,
                                    .service = &chat,
                                    .request = &request,
                                    .time_left = seconds(9)},
                                   kStart)
                           .value()
                           .server);
    }
    return chosen;
  };
  const std::vector<ServerId> before = homes();
  for (int round = 0; round < 8; ++round) {
    for (const ServerRecord& engine : engines) {
      const double speed = engine.id == engines[0].id ? 0.5 : 1;
      picker.speeds().OnSample(engine.id, 7, kServiceRate * speed,
                               kStart + seconds(round));
    }
  }
  picker.OnTick(kStart + seconds(8));
  const std::vector<ServerId> after = homes();
  const auto at_slow = [&](const std::vector<ServerId>& chosen) {
    return std::count(chosen.begin(), chosen.end(), engines[0].id);
  };
  CHECK(at_slow(after) < at_slow(before) * 3 / 4);
  CHECK(at_slow(after) > 0);
  for (size_t i = 0; i < before.size(); ++i) {
    if (before[i] != engines[0].id) {
      CHECK(after[i] == before[i]);
    }
  }
}

// Guards against answers that need no prefill, e.g. a fault that answers at
// once, and against waits for work that the node doesn't know the order of.
TEST_CASE("only a prompt's own prefill is measured") {
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  const std::vector<ServerRecord> engines = Engines(2);
  for (const ServerRecord& engine : engines) {
    directory.OnServer(engine, kStart);
  }
  ServerPicker picker(directory, FailureDomainId("z"), 1);
  ServerPick pick{.server = engines[0].id, .prefill_tokens = 8'000};
  bool measurable = true;
  SECTION("a failure") {
    measurable = false;
  }
  SECTION("a small prompt") {
    pick.prefill_tokens = 500;
  }
  SECTION("behind much other work") {
    pick.outstanding.prefill_tokens = 20'000;
  }
  SECTION("without a free slot") {
    pick.outstanding.requests = 24;
  }
  picker.OnResponseStarted(pick, "chat", measurable, milliseconds(40), kStart);
  CHECK(picker.speeds().Report(kStart).empty());
}

}  // namespace qh
