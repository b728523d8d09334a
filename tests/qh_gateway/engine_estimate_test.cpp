// What a prompt does to the streams of an engine, and the choice of servers for
// long prompts alongside streams.

#include <array>
#include <catch2/catch.hpp>
#include <deque>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/placement/server_picker.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

EngineState Engine(uint32_t requests, double waiting) {
  return {.slots = 24,
          .tokens_per_event = 8,
          .service_rate = 60,
          .outstanding = {.requests = requests, .prefill_tokens = waiting}};
}

EngineRequest Prompt(double tokens) {
  return {.prompt_tokens = tokens,
          .is_stream = true,
          .gap_target_ms = 500,
          .service_gap_target_ms = 500,
          .latency_target_ms = 800};
}

// Penalty beyond that for the tokens themselves.
double GapPenalty(const EngineState& engine, const EngineRequest& request) {
  const EngineState idle = Engine(0, 0);
  return EngineEstimate::Of(engine, request).penalty_ms -
         EngineEstimate::Of(idle, request).penalty_ms;
}

}  // namespace

TEST_CASE("a short prompt disturbs no stream and is disturbed by none") {
  CHECK(GapPenalty(Engine(12, 4'000), Prompt(2'000)) == 0);
}

TEST_CASE("a long prompt costs more where more streams would be late") {
  CHECK(GapPenalty(Engine(0, 0), Prompt(40'000)) == 0);
  const double few = GapPenalty(Engine(4, 0), Prompt(40'000));
  const double many = GapPenalty(Engine(12, 0), Prompt(40'000));
  CHECK(few > 100);
  CHECK(many == Approx(3 * few).epsilon(0.05));
  // They are late anyway.
  EngineRequest plain = Prompt(40'000);
  plain.is_stream = false;
  CHECK(GapPenalty(Engine(12, 400'000), plain) < few);
}

TEST_CASE(
    "a stream avoids an engine with much prefill, the more so a slow one") {
  EngineState busy = Engine(1, 24'000);
  const double penalty = GapPenalty(busy, Prompt(500));
  CHECK(penalty > 100);
  busy.speed = 0.6;
  CHECK(GapPenalty(busy, Prompt(500)) > penalty);
  EngineRequest plain = Prompt(500);
  plain.is_stream = false;
  CHECK(GapPenalty(busy, plain) < penalty);
}

TEST_CASE("the square term counts for what isn't cached of a long prompt") {
  const EngineState engine = Engine(0, 0);
  CHECK(EngineEstimate::Of(engine, Prompt(2'000)).prefill_tokens ==
        Approx(2'000).epsilon(0.05));
  CHECK(EngineEstimate::Of(engine, Prompt(60'000)).prefill_tokens >
        1.5 * 60'000);
  EngineRequest cached = Prompt(60'000);
  cached.cached_tokens = 59'000;
  const double rest = EngineEstimate::Of(engine, cached).prefill_tokens;
  // The rest attends to the whole prompt.
  CHECK(rest > 2'000);
  CHECK(rest < 4'000);
  cached.cached_tokens = 70'000;
  CHECK(EngineEstimate::Of(engine, cached).prefill_tokens == 0);
}

TEST_CASE("the gap target of a service is that of its most urgent streams") {
  const RouteRule slow{.kind = RequestKind::kStream,
                       .event_gap_target = milliseconds(600),
                       .services = {{"chat"}, {"code"}}};
  RouteRule fast = slow;
  fast.event_gap_target = milliseconds(500);
  fast.services = {{"chat"}};
  RouteRule plain = fast;
  plain.kind = RequestKind::kSafe;
  plain.services = {{"code"}, {"plain"}};
  const ServiceConfig config({.routes = {slow, fast, plain}});
  CHECK(config.ShortestGapTarget("chat") == milliseconds(500));
  CHECK(config.ShortestGapTarget("code") == milliseconds(600));
  CHECK_FALSE(config.ShortestGapTarget("plain"));
}

// Guards against a choice that changes where no stream is in danger, which
// would cost cached prompts.
TEST_CASE("with little load the gap targets change no choice") {
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  for (const char* id : {"a", "b", "c", "d"}) {
    ServerRecord engine;
    engine.id = ServerId(id);
    engine.service = "chat";
    engine.slots = 24;
    directory.OnServer(engine, kStart);
  }
  const ServiceRule chat{
      .name = "chat",
      .engine = EngineTraits{.slots = 24, .tokens_per_event = 8}};
  const auto choices = [&](Duration gap_target) {
    ServerPicker picker(directory, FailureDomainId("z"), 1);
    const RouteRule route{.kind = RequestKind::kStream,
                          .latency_target = milliseconds(500),
                          .event_gap_target = gap_target};
    std::vector<ServerId> chosen;
    for (uint32_t i = 0; i < 12; ++i) {
      CallerRequest request;
      request.prompt_tokens = 600 + 100 * i;
      request.prompt_parts = {{7, 500}, {i % 5, request.prompt_tokens - 500}};
      const auto pick = picker.Choose({.route = &route,
                                       .service = &chat,
                                       .request = &request,
                                       .time_left = seconds(10)},
                                      kStart);
      REQUIRE(pick);
      picker.OnSent(pick.value(), request);
      chosen.push_back(pick.value().server);
    }
    return chosen;
  };
  CHECK(choices(milliseconds(500)) == choices(seconds(3'600)));
}

TEST_CASE("expected KV tokens are the prompt and the bounded output") {
  CallerRequest request;
  request.prompt_tokens = 1'000;
  request.max_output_tokens = 600;
  CHECK(ExpectedKvTokens(request) == 1'300);
  request.expected_output_tokens = 200;
  CHECK(ExpectedKvTokens(request) == 1'200);
  request.expected_output_tokens = 4'000'000'000;
  CHECK(ExpectedKvTokens(request) == 1'600);
}

TEST_CASE("an engine without memory for a request is avoided, not refused") {
  EngineState engine = Engine(4, 0);
  EngineRequest request = Prompt(2'000);
  request.kv_tokens = 2'500;
  engine.outstanding.kv_tokens = 99'000;
  const EngineEstimate unknown = EngineEstimate::Of(engine, request);
  engine.kv_capacity = 200'000;
  CHECK(EngineEstimate::Of(engine, request).penalty_ms == unknown.penalty_ms);
  engine.kv_capacity = 100'000;
  const EngineEstimate full = EngineEstimate::Of(engine, request);
  // As for one request more than slots.
  CHECK(full.penalty_ms > unknown.penalty_ms + 60);
  CHECK(full.ttfb_ms == unknown.ttfb_ms);
}

// Guards against picking a server whose memory is taken by requests of peers.
TEST_CASE("memory in use is counted until a request ends, and by peers") {
  ServerLoad load;
  const ServerId server("e");
  load.OnSent(server, 500, 2'000);
  load.OnSent(server, 0, 1'000);
  load.OnPeer("peer", {{server, {1, 0, 4'000}}}, kStart);
  CHECK(load.At(server).kv_tokens == 7'000);
  load.OnResponseStarted(server, 500);
  CHECK(load.At(server).kv_tokens == 7'000);
  load.OnEnded(server, 2'000);
  CHECK(load.At(server).kv_tokens == 5'000);
  load.OnEnded(server, 1'000);
  CHECK(load.At(server).kv_tokens == 4'000);
}

namespace {

// An engine that decodes one token of each stream in each step and computes a
// chunk of the prompts that wait, oldest first.
class ModelEngine {
 public:
  struct Run {
    ServerPick pick;
    TimePoint sent;
    double prefill_left = 0;
    uint32_t tokens_left = 0;
    // Steps since the last event.
    uint32_t steps = 0;
    TimePoint last_event;
    double longest_gap_ms = 0;
    double first_event_ms = 0;
  };
  using Hook = std::function<void(Run&, TimePoint, bool)>;

  void Add(Run run, TimePoint now) {
    now_ = runs_.empty() ? now : now_;
    runs_.push_back(std::move(run));
  }
  // Calls `on_event` for the first event of a run, and for its end.
  void AdvanceTo(TimePoint now, const Hook& on_event) {
    while (now_ < now && !runs_.empty()) {
      Step(on_event);
    }
  }

 private:
  static constexpr double kRate = 60;
  static constexpr uint32_t kTokensPerEvent = 8;

  void Step(const Hook& on_event) {
    double chunk = 4'096;
    double step_ms = 3.6 + 0.1 * static_cast<double>(runs_.size());
    for (Run& run : runs_) {
      const double part = std::min(chunk, run.prefill_left);
      chunk -= part;
      run.prefill_left -= part;
      step_ms += part / kRate;
      if (run.prefill_left > 0 || part > 0) {
        continue;
      }
      --run.tokens_left;
      ++run.steps;
    }
    now_ += FromSeconds(step_ms / 1'000);
    for (Run& run : runs_) {
      if (run.steps < kTokensPerEvent && run.tokens_left > 0) {
        continue;
      }
      run.steps = 0;
      if (run.first_event_ms == 0) {
        run.first_event_ms = ToMilliseconds(now_ - run.sent);
        on_event(run, now_, false);
      } else {
        run.longest_gap_ms =
            std::max(run.longest_gap_ms, ToMilliseconds(now_ - run.last_event));
      }
      run.last_event = now_;
      if (run.tokens_left == 0) {
        on_event(run, now_, true);
      }
    }
    std::erase_if(runs_, [](const Run& run) { return run.tokens_left == 0; });
  }

  TimePoint now_ = kStart;
  std::deque<Run> runs_;
};

// Returns the share of the streams that are late, by their first event or by a
// gap, when the picker knows the gap target as `known_target`.
double LateShare(uint64_t seed, Duration known_target) {
  constexpr size_t kServers = 8;
  constexpr int kRequests = 3'000;
  constexpr double kMeanArrivalMs = 28;
  constexpr double kGapTargetMs = 500;
  constexpr double kLatencyTargetMs = 1'500;
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  std::map<ServerId, ModelEngine> engines;
  for (size_t i = 0; i < kServers; ++i) {
    ServerRecord engine;
    engine.id = ServerId("e" + std::to_string(i));
    engine.service = "chat";
    engine.slots = 24;
    directory.OnServer(engine, kStart);
    engines[engine.id];
  }
  ServerPicker picker(directory, FailureDomainId("z"), seed);
  RouteRule route{.kind = RequestKind::kStream,
                  .latency_target = FromSeconds(kLatencyTargetMs / 1'000),
                  .event_gap_target = known_target};
  ServiceRule chat{.name = "chat",
                   .engine = EngineTraits{.slots = 24, .tokens_per_event = 8}};
  Rng rng(seed, 5);
  TimePoint now = kStart;
  int late = 0;
  int ended = 0;
  const auto on_event = [&](ModelEngine::Run& run, TimePoint at, bool end) {
    if (!end) {
      picker.OnResponseStarted(run.pick, "chat", true, at - run.sent, at);
      return;
    }
    picker.OnEnded(run.pick, true, AttemptOutcome::kAnswered, at);
    ++ended;
    late += run.longest_gap_ms > kGapTargetMs ||
                    run.first_event_ms > kLatencyTargetMs
                ? 1
                : 0;
  };
  for (int i = 0; i < kRequests; ++i) {
    now += FromSeconds(rng.Exponential(kMeanArrivalMs) / 1'000);
    for (auto& [id, engine] : engines) {
      engine.AdvanceTo(now, on_event);
    }
    CallerRequest request;
    // One prompt in 16 is long.
    request.prompt_tokens =
        static_cast<uint32_t>(rng.Chance(1.0 / 16) ? 24'000 + rng.Below(24'000)
                                                   : 300 + rng.Below(1'500));
    request.prompt_parts = {{rng.Next(), request.prompt_tokens}};
    const auto pick = picker.Choose({.route = &route,
                                     .service = &chat,
                                     .request = &request,
                                     .time_left = seconds(30),
                                     .first_attempt = false},
                                    now);
    REQUIRE(pick);
    picker.OnSent(pick.value(), request);
    engines[pick.value().server].Add(
        {.pick = pick.value(),
         .sent = now,
         .prefill_left = static_cast<double>(request.prompt_tokens),
         .tokens_left = static_cast<uint32_t>(64 + rng.Below(300))},
        now);
  }
  return static_cast<double>(late) / ended;
}

}  // namespace

// Guards against long prompts that are spread over all servers by their wait
// alone, where each makes all streams of a server late.
TEST_CASE("fewer streams are late when long prompts are kept from streams") {
  const uint64_t seed = GENERATE(1, 2, 3, 4);
  const double blind = LateShare(seed, seconds(3'600));
  const double aware = LateShare(seed, milliseconds(500));
  CAPTURE(blind, aware);
  CHECK(aware < 0.8 * blind);
}

}  // namespace qh
