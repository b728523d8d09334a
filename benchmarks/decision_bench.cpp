// Cost of routing decisions at the size of a large cell. The last line printed
// is JSON.

#include <benchmark/benchmark.h>

#include <iostream>

#include "qh_core/hash/hash.h"
#include "qh_routing/qh_routing.h"

namespace qh {
namespace {

constexpr uint32_t kServers = 230;
constexpr uint32_t kConversations = 2'000;
constexpr double kBoundMicroseconds = 20;

ConfigurationPtr Cell() {
  auto config = std::make_shared<Configuration>();
  ModelPool pool;
  pool.id = PoolId("chat");
  pool.models = {{"chat", {"1"}, {}}};
  for (uint32_t i = 0; i < kServers; ++i) {
    BackendServer server;
    std::string number = std::to_string(i);
    server.id = ServerId("server-" + number);
    server.failure_domain = FailureDomainId("d" + std::to_string(i % 9));
    pool.servers.push_back(server);
  }
  config->model_pools = {pool};
  return config;
}

std::vector<RouteQuery> Queries() {
  std::vector<RouteQuery> queries;
  Rng rng(1);
  for (uint32_t i = 0; i < kConversations; ++i) {
    RouteQuery query;
    query.request = RequestId(std::to_string(i));
    query.team = TeamId("t");
    query.model = "chat";
    const auto blocks = uint32_t(8 + rng.Below(72));
    uint64_t hash = i % 20;
    for (uint32_t block = 0; block < blocks; ++block) {
      hash = HashPair(hash, block < 8 ? block : 1'000 * i + block);
      query.prefix_blocks.push_back(hash);
    }
    query.prompt_tokens = blocks * kPrefixBlockTokens;
    query.max_output_tokens = 100;
    query.deadline = TimePoint(std::chrono::hours(1));
    queries.push_back(std::move(query));
  }
  return queries;
}

// Choose, dispatch, first part and end of one request.
void MeasureWholeDecision(benchmark::State& state) {
  Router router = Router::Create(Cell(), 1);
  const auto queries = Queries();
  TimePoint now{std::chrono::seconds(1)};
  size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    now += std::chrono::milliseconds(1);
    const RouteQuery& query = queries[next++ % queries.size()];
    const auto choice = router.Choose(query, now);
    const ServerId& server = choice.value().server.id;
    router.OnDispatched(server, query, now);
    router.OnFirstByte(server, query, now);
    router.OnEnded(server, query, DispatchOutcome::kCompleted, now);
  }
}
BENCHMARK(MeasureWholeDecision);

void MeasureChoose(benchmark::State& state) {
  Router router = Router::Create(Cell(), 1);
  const auto queries = Queries();
  TimePoint now{std::chrono::seconds(1)};
  for (const RouteQuery& query : queries) {
    const ServerId server = router.Choose(query, now).value().server.id;
    router.OnDispatched(server, query, now);
    router.OnEnded(server, query, DispatchOutcome::kCompleted, now);
  }
  size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(
        router.Choose(queries[next++ % queries.size()], now));
  }
}
BENCHMARK(MeasureChoose);

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
  std::cout << "{\"servers\":" << qh::kServers
            << ",\"bound_us\":" << qh::kBoundMicroseconds << ","
            << collector.json() << "}\n";
  return 0;
}
