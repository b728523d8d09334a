#include "benchmarks/demo/demo_drive.h"

#include <httplib.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "benchmarks/demo/demo_cloud.h"
#include "benchmarks/demo/event_stream.h"
#include "qh_core/hash/hash.h"

namespace qh::demo {
namespace {

using nlohmann::json;

constexpr Duration kNotice = std::chrono::seconds(3);
// Part of the run after which the notice comes.
constexpr double kNoticeAt = 0.3;
constexpr Duration kReadyPoll = std::chrono::milliseconds(50);
constexpr Duration kProbePause = std::chrono::milliseconds(20);
constexpr const char* kJsonType = "application/json";

// The engine that is reclaimed: one that the work surely uses.
const BackendServer& EngineToReclaim(const DemoPlan& plan) {
  return plan.config.model_pools[0].servers[0];
}

void CallUntil(const DemoPlan& plan,
               const DriveOptions& options,
               uint32_t index,
               TimePoint end,
               DemoReport& report) {
  const std::string name =
      std::to_string(options.seed) + "-" + std::to_string(index);
  DemoWork work(plan, options.seed, name);
  DemoCaller caller(plan, HashPair(options.seed, index));
  while (MonotonicNow() < end) {
    const WorkItem item = work.Next();
    report.Add(item, caller.Run(item));
  }
}

// Measures the time to the first token at engines that are not reclaimed.
void ProbeUntil(const DemoPlan& plan,
                const DriveOptions& options,
                TimePoint end,
                DemoReport& report) {
  Rng rng(options.seed);
  const std::string body =
      json{{"stream", true},
           {"max_tokens", 1},
           {"messages", {{{"role", "user"}, {"content", "probe"}}}}}
          .dump();
  while (MonotonicNow() < end) {
    const auto& pools = plan.config.model_pools;
    const auto& servers = pools[rng.Below(pools.size())].servers;
    const BackendServer& server = servers[rng.Below(servers.size())];
    if (server.id != EngineToReclaim(plan).id) {
      httplib::Client client(server.address.host, server.address.port);
      client.set_tcp_nodelay(true);
      httplib::Request request;
      request.method = "POST";
      request.path = "/v1/chat/completions";
      request.body = body;
      request.headers.emplace("Content-Type", kJsonType);
      const TimePoint start = MonotonicNow();
      bool first = true;
      request.content_receiver = [&](const char*, size_t, uint64_t, uint64_t) {
        if (first) {
          report.AddDirect(MonotonicNow() - start);
        }
        first = false;
        return true;
      };
      client.send(request);
    }
    std::this_thread::sleep_for(kProbePause);
  }
}

void Reclaim(const DemoPlan& plan, const DriveOptions& options) {
  const std::string engine = EngineToReclaim(plan).id.value();
  std::this_thread::sleep_for(
      FromSeconds(ToSeconds(options.length) * kNoticeAt));
  const auto given = GiveNotice(plan, engine, kNotice);
  std::cerr << engine << ": reclaim notice "
            << (given ? "given" : given.error().detail()) << "\n";
  std::this_thread::sleep_for(kNotice);
  options.stop_engine(engine);
  std::cerr << engine << ": terminated\n";
}

Result<Executions> ReadExecutions(const DemoPlan& plan) {
  Executions executions;
  for (const Route& route : plan.config.routes) {
    for (const BackendServer& server : route.servers) {
      httplib::Client client(server.address.host, server.address.port);
      const auto reply = client.Get("/executions");
      const json counts =
          reply ? json::parse(reply->body, nullptr, false) : json();
      if (!counts.is_object()) {
        return Error(ErrorKind::kServerFailed, server.id.value());
      }
      for (const auto& [key, count] : counts.items()) {
        executions[key] += count.get<uint32_t>();
      }
    }
  }
  return executions;
}

bool IsReady(const Address& admin) {
  httplib::Client client(admin.host, admin.port);
  const auto reply = client.Get("/readyz");
  return reply && reply->status == 200;
}

}  // namespace

Result<void> Drive(const DemoPlan& plan,
                   const DriveOptions& options,
                   DemoReport& report) {
  const TimePoint end = MonotonicNow() + options.length;
  std::vector<std::thread> threads;
  threads.emplace_back([&] { Reclaim(plan, options); });
  threads.emplace_back([&] { ProbeUntil(plan, options, end, report); });
  for (uint32_t i = 0; i < options.callers; ++i) {
    threads.emplace_back([&, i] { CallUntil(plan, options, i, end, report); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_OUTCOME_TRY(executions, ReadExecutions(plan));
  report.Judge(executions);
  return Ok();
}

Result<void> WaitReady(const DemoPlan& plan, Duration limit) {
  const TimePoint end = MonotonicNow() + limit;
  for (const NodeSettings& node : plan.nodes) {
    while (!IsReady(node.admin)) {
      if (MonotonicNow() >= end) {
        return Error(ErrorKind::kNotReady, node.instance.value());
      }
      std::this_thread::sleep_for(kReadyPoll);
    }
  }
  return Ok();
}

}  // namespace qh::demo
