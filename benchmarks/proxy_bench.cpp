// Measures what a node adds to a chat's time to the first token: the same
// callers stream in turns straight from an engine and through the node. Then
// holds many streams open.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "apps/common/program.h"
#include "benchmarks/proxy/chat_client.h"
#include "benchmarks/proxy/proxy_site.h"
#include "qh_core/random/rng.h"

namespace {

namespace po = boost::program_options;
using qh::Duration;
using qh::ExitCode;
using qh::bench::ChatClient;
using qh::bench::ChatTiming;
using qh::bench::ProxySite;

constexpr uint32_t kShortAnswer = 2;
// At the slow engine's pace, about ten seconds.
constexpr uint32_t kLongAnswer = 50;
constexpr uint64_t kConversations = 1'000;
constexpr auto kHoldPoll = std::chrono::milliseconds(100);

// Bounds that the product promises, in microseconds.
constexpr int64_t kMaxAddedP50Us = 1'000;
constexpr int64_t kMaxAddedP99Us = 5'000;

struct Samples {
  std::vector<int64_t> direct_us;
  std::vector<int64_t> node_us;
  uint64_t failed = 0;
  double seconds = 0;
};

int64_t Quantile(std::vector<int64_t>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(quantile *
                                    static_cast<double>(values.size() - 1))];
}

// Callers take turns: one direct stream, one through the node.
Samples Measure(const ProxySite& site,
                uint64_t seed,
                uint32_t callers,
                uint32_t seconds) {
  Samples samples;
  std::mutex mutex;
  const qh::TimePoint start = qh::MonotonicNow();
  const qh::TimePoint end = start + std::chrono::seconds(seconds);
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      qh::Rng rng(seed, i);
      ChatClient direct(site.quick_engine());
      ChatClient node(site.node());
      Samples own;
      while (qh::MonotonicNow() < end) {
        const std::string content =
            "conversation " + std::to_string(rng.Below(kConversations));
        const auto run = [&](ChatClient& client, std::vector<int64_t>& to) {
          const ChatTiming timing =
              client.Run(qh::bench::kQuickModel, content, kShortAnswer);
          if (timing.whole) {
            to.push_back(timing.first_token.count());
          } else {
            ++own.failed;
          }
        };
        run(direct, own.direct_us);
        run(node, own.node_us);
      }
      const std::lock_guard lock(mutex);
      samples.failed += own.failed;
      samples.direct_us.insert(samples.direct_us.end(), own.direct_us.begin(),
                               own.direct_us.end());
      samples.node_us.insert(samples.node_us.end(), own.node_us.begin(),
                             own.node_us.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  samples.seconds = qh::ToSeconds(qh::MonotonicNow() - start);
  return samples;
}

struct HeldStreams {
  uint64_t most_open = 0;
  uint64_t whole = 0;
  uint64_t rss_kb = 0;
};

HeldStreams Hold(const ProxySite& site, uint32_t streams) {
  HeldStreams held;
  std::atomic<uint64_t> whole = 0;
  std::atomic<uint64_t> ended = 0;
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < streams; ++i) {
    threads.emplace_back([&] {
      ChatClient client(site.node());
      whole += client.Run(qh::bench::kSlowModel, "hold", kLongAnswer).whole;
      ++ended;
    });
  }
  while (ended < streams) {
    held.most_open = std::max(held.most_open, site.OpenRequests());
    held.rss_kb = std::max(held.rss_kb, site.NodeRssKb());
    std::this_thread::sleep_for(kHoldPoll);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  held.whole = whole;
  return held;
}

ExitCode Run(const po::variables_map& values) {
  const auto started = ProxySite::Start();
  if (!started) {
    std::cerr << started.error().detail() << "\n";
    return ExitCode::kFailed;
  }
  const ProxySite& site = *started.value();
  const auto seed = values["seed"].as<uint64_t>();
  const auto streams = values["streams"].as<uint32_t>();
  Samples samples = Measure(site, seed, values["callers"].as<uint32_t>(),
                            values["seconds"].as<uint32_t>());
  const uint64_t rss_kb = site.NodeRssKb();
  const HeldStreams held = Hold(site, streams);

  const int64_t direct_p50 = Quantile(samples.direct_us, 0.5);
  const int64_t direct_p99 = Quantile(samples.direct_us, 0.99);
  const int64_t node_p50 = Quantile(samples.node_us, 0.5);
  const int64_t node_p99 = Quantile(samples.node_us, 0.99);
  std::cout << "added: p50 " << node_p50 - direct_p50 << " us (bound "
            << kMaxAddedP50Us << "), p99 " << node_p99 - direct_p99
            << " us (bound " << kMaxAddedP99Us << ")\n";
  const bool held_bounds = node_p50 - direct_p50 < kMaxAddedP50Us &&
                           node_p99 - direct_p99 < kMaxAddedP99Us &&
                           samples.failed == 0 && held.whole == streams &&
                           held.most_open == streams;
  const double rate =
      static_cast<double>(samples.node_us.size()) / samples.seconds;
  std::cout << nlohmann::ordered_json{{"direct_p50_us", direct_p50},
                                      {"direct_p99_us", direct_p99},
                                      {"node_p50_us", node_p50},
                                      {"node_p99_us", node_p99},
                                      {"requests_per_s",
                                       static_cast<int64_t>(rate)},
                                      {"rss_kb", rss_kb},
                                      {"failed", samples.failed},
                                      {"streams_open", held.most_open},
                                      {"streams_whole", held.whole},
                                      {"rss_streams_kb", held.rss_kb},
                                      {"bounds_held", held_bounds}}
                   .dump()
            << "\n";
  return held_bounds ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of the prompts")(
      "callers", po::value<uint32_t>()->default_value(64),
      "callers at the same time")("seconds",
                                  po::value<uint32_t>()->default_value(10),
                                  "length of the measurement")(
      "streams", po::value<uint32_t>()->default_value(500),
      "streams to hold open");
  return qh::RunProgram(argc, argv, "bench_proxy",
                        "the latency that a node adds", options, Run);
}
