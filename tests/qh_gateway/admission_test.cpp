// Admission when capacity is scarce: what callers get on each load pattern,
// against arrival order on the same seed, and the rules of the wait queue.

#include <catch2/catch.hpp>
#include <iostream>

#include "qh_gateway/decisions/admission/returned_requests.h"
#include "qh_gateway/decisions/admission/service_times.h"
#include "tests/qh_gateway/admission_patterns.h"

namespace qh {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSeeds = 3;
const TimePoint kStart{std::chrono::seconds(1'000)};

struct Comparison {
  ModelResult chosen;
  // As served before the node had a queue.
  ModelResult arrival;
};

Comparison Compare(const ModelPattern& pattern, uint64_t seed) {
  Comparison both{
      RunModel(pattern, {.options = {.seed = seed}}),
      RunModel(pattern, {.queue = false, .options = {.seed = seed}})};
  CAPTURE(pattern.name, seed);
  CHECK(both.chosen.Starved().empty());
  return both;
}

AdmissionRequest Request(int priority, double work_ms = 30) {
  return {.route = "r" + std::to_string(priority),
          .team = "t",
          .route_priority = priority,
          .priority = priority,
          .arrived = kStart,
          .start_by = kStart + milliseconds(100),
          .last_start = kStart + milliseconds(1'000),
          .work_ms = work_ms};
}

WaitQueue MakeQueue(double slots, size_t max_waiting = 1'000) {
  WaitQueue queue({.max_waiting = max_waiting});
  queue.SetAssumedSlots(slots);
  return queue;
}

}  // namespace

// Guards against urgent requests that are refused or late behind background
// work.
TEST_CASE("an urgent burst is served before long background work") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison both = Compare(UrgentBurst(seed), seed);
    CHECK(both.chosen.groups.at("route urgent").in_time_share() >
          both.arrival.groups.at("route urgent").in_time_share());
    CHECK(both.chosen.all.in_time > both.arrival.all.in_time);
    CHECK(both.chosen.groups.at("route urgent").served() >=
          both.chosen.groups.at("route background").served());
  }
}

// Guards against a few large requests that take the capacity of many small
// ones, and against starvation of the large ones.
TEST_CASE("a flood of small requests and few large ones are both served") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison both = Compare(SmallFlood(seed), seed);
    CHECK(both.chosen.all.in_time > both.arrival.all.in_time);
  }
}

// Guards against quiet teams that are refused because of a loud one.
TEST_CASE("quiet teams are served beside one that sends too much") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison both = Compare(LoudTeam(seed), seed);
    CHECK(both.chosen.all.in_time > both.arrival.all.in_time);
    for (const auto& [group, outcome] : both.chosen.groups) {
      if (group.starts_with("team q")) {
        CHECK(outcome.in_time > both.arrival.groups.at(group).in_time);
      }
    }
    CHECK(both.chosen.groups.at("route live").served() >=
          both.chosen.groups.at("route api").served());
  }
}

// Guards against callers that return together and are refused again.
TEST_CASE("callers that are refused together come back one after the other") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison both = Compare(RetryBurst(seed), seed);
    CHECK(both.chosen.most_returns < both.arrival.most_returns / 2);
    // Returned requests are late by their own latency target and take room
    // from new ones: more are served, and about as many in time.
    CHECK(both.chosen.all.served() > both.arrival.all.served());
    CHECK(both.chosen.all.in_time_share() >
          0.97 * both.arrival.all.in_time_share());
    CHECK(both.chosen.groups.at("route live").served() >=
          both.chosen.groups.at("route batch").served());
  }
}

// Guards against urgent routes that lose as much as others when capacity does.
TEST_CASE("when capacity drops the urgent routes are served first") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Comparison both = Compare(CapacityDrop(seed), seed);
    CHECK(both.chosen.all.in_time > both.arrival.all.in_time);
    CHECK(both.chosen.groups.at("route live").in_time >
          both.arrival.groups.at("route live").in_time);
    CHECK(both.chosen.groups.at("route live").served() >=
          both.chosen.groups.at("route form").served());
    CHECK(both.chosen.groups.at("route form").served() >=
          both.chosen.groups.at("route batch").served());
  }
}

// Prints the figures of docs/design/admission.md; run by name.
TEST_CASE("figures of every order on every pattern", "[.figures]") {
  const auto print = [](const std::string& name, const ModelResult& result) {
    std::cout << "  " << name << ": in time " << result.all.in_time << " late "
              << result.all.late << " refused " << result.all.refused
              << " held in vain " << result.all.held_in_vain << " most returns "
              << result.most_returns << " starved";
    for (const std::string& group : result.Starved()) {
      std::cout << " [" << group << "]";
    }
    for (const auto& [group, outcome] : result.groups) {
      std::cout << " | " << group << " " << outcome.in_time_share() << "/"
                << outcome.served();
    }
    std::cout << "\n";
  };
  for (const auto& make :
       {UrgentBurst, SmallFlood, LoudTeam, RetryBurst, CapacityDrop}) {
    const ModelPattern pattern = make(1);
    std::cout << pattern.name << ", " << pattern.requests.size() << "\n";
    print("today", RunModel(pattern, {.queue = false}));
    for (const auto& row : kEnumNames<AdmissionOrder>) {
      for (const bool promotes : {false, true}) {
        print(std::string(row.name) + (promotes ? "+" : ""),
              RunModel(pattern, {.options = {.order = row.value,
                                             .promotes = promotes}}));
      }
    }
  }
}

TEST_CASE("a full queue refuses the least valuable request") {
  WaitQueue queue = MakeQueue(1'000, 2);
  const auto small = queue.Add(Request(1, 10), {}, kStart);
  const auto large = queue.Add(Request(1, 200), {}, kStart);
  const auto urgent = queue.Add(Request(0), {}, kStart);
  const auto refused = queue.TakeRefused(kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].id == large);
  CHECK(refused[0].reason == WaitEnd::kGaveWay);
  CHECK(queue.Next(3) == std::vector{urgent, small});
}

// Guards against requests that are held in vain.
TEST_CASE("a request that is not expected to start in time is refused") {
  WaitQueue queue = MakeQueue(1);
  // At one slot three requests of 30 ms start within 100 ms, and a fourth at
  // 90 ms.
  for (int i = 0; i < 8; ++i) {
    queue.Add(Request(1), {}, kStart);
  }
  CHECK(queue.TakeRefused(kStart).size() == 4);
  // Nothing starts, so the rate that was assumed is not held.
  CHECK_FALSE(queue.TakeRefused(kStart + milliseconds(60)).empty());
  const auto overdue = queue.TakeRefused(kStart + milliseconds(100));
  REQUIRE_FALSE(overdue.empty());
  CHECK(overdue[0].reason == WaitEnd::kTargetMissed);
  CHECK(overdue[0].retry_after >= RetrySchedule::kMinRetryAfter);
  CHECK(queue.empty());
}

TEST_CASE("a request whose deadline can't be met is refused at once") {
  WaitQueue queue = MakeQueue(100);
  AdmissionRequest request = Request(0);
  request.last_start = kStart;
  queue.Add(request, {}, kStart);
  const auto refused = queue.TakeRefused(kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].reason == WaitEnd::kDeadlineMissed);
}

// Guards against urgent requests that always pass a starved one.
TEST_CASE("a promoted request is the first in order and leaves it once") {
  WaitQueue queue = MakeQueue(100);
  const auto urgent = queue.Add(Request(0), {}, kStart);
  const auto promoted = queue.Add(Request(3, 500), {.promoted = true}, kStart);
  CHECK(queue.Next(4) == std::vector{promoted, urgent});
  CHECK(queue.Start(promoted, kStart));
  CHECK_FALSE(queue.Remove(promoted, kStart));
  CHECK(queue.Next(4) == std::vector{urgent});
}

// Guards against a change of order and of engines' priorities while there is
// enough capacity.
TEST_CASE("nothing is promoted while every request is served") {
  WaitQueue queue = MakeQueue(100);
  for (int i = 0; i < 200; ++i) {
    const AdmissionRequest request = Request(i % 7 == 0 ? 0 : 2, 10.0 + i % 50);
    const auto classed = queue.OnOffered(request, kStart);
    CHECK_FALSE(classed.promoted);
    queue.OnServed(request, classed, kStart);
  }
}

TEST_CASE("refused callers come back later the less urgent they are") {
  RetrySchedule schedule(1);
  Duration last = Duration::zero();
  for (int i = 0; i < 8; ++i) {
    const Duration after =
        schedule.RetryAfter(Request(1), Duration::zero(), 2, kStart);
    CHECK(after <=
          FromSeconds(ToSeconds(RetrySchedule::kMaxRetryAfter) * 1.25));
    last = std::max(last, after);
  }
  CHECK(last >= milliseconds(200));
  CHECK(schedule.RetryAfter(Request(0), Duration::zero(), 2, kStart) <
        milliseconds(100));
}

TEST_CASE("a request counts as returned when it comes back as asked") {
  ReturnedRequests returned;
  returned.OnRefused(7, kStart + milliseconds(100));
  CHECK_FALSE(returned.TakeReturned(7, kStart));
  CHECK_FALSE(returned.TakeReturned(8, kStart + milliseconds(100)));
  CHECK(returned.TakeReturned(7, kStart + milliseconds(120)));
  CHECK_FALSE(returned.TakeReturned(7, kStart + milliseconds(130)));
  returned.OnRefused(9, kStart);
  CHECK_FALSE(
      returned.TakeReturned(9, kStart + 2 * ReturnedRequests::kReturnWindow));
}

TEST_CASE("urgency is the priority unless a request has waited before") {
  CHECK(UrgencyStep(2, false, false) == 2);
  CHECK(UrgencyStep(2, true, false) == 1);
  CHECK(UrgencyStep(0, true, true) == 0);
  AdmissionRequest back = Request(1);
  back.returned = true;
  for (const auto& row : kEnumNames<AdmissionOrder>) {
    if (row.value != AdmissionOrder::kArrival) {
      CHECK(KeyOf(row.value, back, false, 2) <
            KeyOf(row.value, Request(1), false, 1));
    }
  }
}

TEST_CASE("the work of a request counts prefill, output and uncertainty") {
  CallerRequest request;
  request.prompt_tokens = 4'000;
  request.max_output_tokens = 400;
  request.expected_output_tokens = 100;
  CHECK(ServiceTimes::ExpectedOutputTokens(request) == 175);
  CHECK(ServiceTimes::EngineMs(request, 80, 12) == 50 * 12 + 175 * 5);
  // An estimate beyond the maximum is not used.
  request.expected_output_tokens = 4'000'000;
  CHECK(ServiceTimes::ExpectedOutputTokens(request) == 400);
  ServiceTimes times;
  CHECK(times.PlainMs("r") == ServiceTimes::kInitialMs);
  times.OnAnswered("r", milliseconds(10));
  CHECK(times.PlainMs("r") < ServiceTimes::kInitialMs);
}

}  // namespace qh
