// Cost of one admission decision with 1,000 waiting requests: a request
// arrives, the least valuable one gives way, and the next one starts; against a
// queue in order of arrival. The last line printed is JSON.

#include <benchmark/benchmark.h>

#include <deque>
#include <iostream>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/admission/wait_queue.h"

namespace qh {
namespace {

constexpr size_t kWaiting = 1'000;
constexpr size_t kTeams = 40;
constexpr double kBoundMicroseconds = 20;

std::vector<AdmissionRequest> Requests() {
  std::vector<AdmissionRequest> requests;
  Rng rng(1);
  for (size_t i = 0; i < 4 * kWaiting; ++i) {
    const auto priority = static_cast<int>(rng.Below(4));
    requests.push_back({.route = "route" + std::to_string(priority),
                        .team = "team" + std::to_string(rng.Below(kTeams)),
                        .route_priority = priority,
                        .priority = priority,
                        .work_ms = 1 + rng.Exponential(30)});
  }
  return requests;
}

void Place(AdmissionRequest& request, TimePoint now) {
  request.arrived = now;
  request.start_by = now + std::chrono::hours(1);
  request.last_start = now + std::chrono::hours(2);
}

void MeasureDecision(benchmark::State& state, AdmissionOrder order) {
  WaitQueue queue({.order = order, .max_waiting = kWaiting});
  queue.SetAssumedSlots(100'000);
  auto requests = Requests();
  TimePoint now{std::chrono::seconds(1'000)};
  size_t next = 0;
  const auto add = [&] {
    now += std::chrono::microseconds(100);
    AdmissionRequest& request = requests[next++ % requests.size()];
    Place(request, now);
    queue.Add(request, queue.OnOffered(request, now), now);
  };
  while (queue.size() < kWaiting) {
    add();
  }
  for ([[maybe_unused]] auto _ : state) {
    add();
    benchmark::DoNotOptimize(queue.TakeRefused(now));
    const auto id = queue.Next(1).front();
    queue.Start(id, now);
    queue.OnServed(requests[id % requests.size()], {}, now);
    if (queue.size() < kWaiting) {
      add();
    }
  }
}
BENCHMARK_CAPTURE(MeasureDecision,
                  value_per_work,
                  AdmissionOrder::kValuePerWork);
BENCHMARK_CAPTURE(MeasureDecision,
                  earliest_deadline,
                  AdmissionOrder::kEarliestDeadline);
BENCHMARK_CAPTURE(MeasureDecision, arrival, AdmissionOrder::kArrival);

// The least that a queue in order of arrival needs.
void MeasureArrivalDeque(benchmark::State& state) {
  const auto requests = Requests();
  std::deque<AdmissionRequest> queue(requests.begin(),
                                     requests.begin() + kWaiting);
  size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    queue.push_back(requests[next++ % requests.size()]);
    benchmark::DoNotOptimize(queue.front());
    queue.pop_front();
  }
}
BENCHMARK(MeasureArrivalDeque);

// Remembers the times that the library measured.
class Collector : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) {
      json_ += (json_.empty() ? "" : ",") + ("\"" + run.benchmark_name()) +
               "_us\":" + std::to_string(run.GetAdjustedCPUTime() / 1e3);
    }
    ConsoleReporter::ReportRuns(runs);
  }
  const std::string& json() const { return json_; }

 private:
  std::string json_;
};

}  // namespace
}  // namespace qh

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  qh::Collector collector;
  benchmark::RunSpecifiedBenchmarks(&collector);
  std::cout << "{\"waiting\":" << qh::kWaiting
            << ",\"bound_us\":" << qh::kBoundMicroseconds << ","
            << collector.json() << "}\n";
  return 0;
}
