// Searches for two owners of one server and for upgrades that never end:
// scripts/bench leases --seed N --nodes M.

#include <malloc.h>

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "apps/common/program.h"
#include "benchmarks/leases/lease_search.h"

namespace {

using namespace qh;
namespace po = boost::program_options;

constexpr uint32_t kSampleShards = 1'000;
constexpr uint32_t kSampleServers = 16;

// Brings one lease and its controller to work over `store`, answers at once.
void Drive(Lease& lease,
           OrderController& controller,
           fakes::FakePlatform& store,
           TimePoint now) {
  auto leases = lease.Advance({.kind = LeaseEventKind::kWant}, now);
  while (!leases.empty() && leases[0].kind == LeaseActionKind::kStore) {
    leases = lease.Advance({.kind = LeaseEventKind::kReply,
                            .token = leases[0].token,
                            .reply = store.Apply(leases[0].request)},
                           now);
  }
  auto orders = controller.Advance({}, lease.View(now), now);
  while (!orders.empty() && orders[0].kind == OrderActionKind::kStore) {
    orders = controller.Advance({.kind = OrderEventKind::kStoreReply,
                                 .token = orders[0].token,
                                 .store = store.Apply(orders[0].request)},
                                lease.View(now), now);
  }
}

// Returns the heap that one held shard of kSampleServers servers takes.
double StateBytesPerShard() {
  fakes::FakePlatform store;
  DesiredState desired = {.generation = 1};
  for (uint32_t i = 0; i < kSampleServers; ++i) {
    desired.targets[ServerId("server-" + std::to_string(i))] = {
        .model = "model", .version = "version", .role = "serve"};
  }
  for (uint32_t i = 0; i < kSampleShards; ++i) {
    store.Apply({.op = StoreOp::kPut,
                 .key = DesiredKey("servers-" + std::to_string(i)),
                 .body = desired.Encode()});
  }
  std::vector<std::unique_ptr<Lease>> leases;
  std::vector<std::unique_ptr<OrderController>> controllers;
  leases.reserve(kSampleShards);
  controllers.reserve(kSampleShards);
  std::vector<FleetServer> servers;
  for (const auto& [id, target] : desired.targets) {
    servers.push_back({id, true});
  }
  const TimePoint now{std::chrono::seconds(1)};
  for (uint32_t i = 0; i < kSampleShards; ++i) {
    const std::string shard = "servers-" + std::to_string(i);
    leases.push_back(std::make_unique<Lease>(
        Lease::Create(shard, "n1", "n1.1", LeaseSettings(), i)));
    controllers.push_back(std::make_unique<OrderController>(
        OrderController::Create(shard, OrderSettings(), i)));
    controllers.back()->Advance(
        {.kind = OrderEventKind::kServers, .servers = servers}, {}, now);
    Drive(*leases.back(), *controllers.back(), store, now);
  }
  // What their end gives back is theirs; the store stays.
  const size_t with = mallinfo2().uordblks;
  leases.clear();
  controllers.clear();
  const size_t without = mallinfo2().uordblks;
  return static_cast<double>(with - without) / kSampleShards;
}

ExitCode Run(const po::variables_map& options) {
  leases::SearchSettings settings;
  settings.seed = options["seed"].as<uint64_t>();
  settings.nodes = options["nodes"].as<uint32_t>();
  settings.faulty = std::chrono::seconds(options["seconds"].as<uint32_t>());
  for (const auto& name : options["without"].as<std::vector<std::string>>()) {
    const auto guard = FromName<leases::Guard>(name);
    if (!guard) {
      std::cerr << "no guard is called " << name << "; there are "
                << NameList<leases::Guard>() << "\n";
      return ExitCode::kUsage;
    }
    settings.guards_off.insert(*guard);
  }
  leases::LeaseSearch search(settings);
  const leases::SearchReport report = search.Run();
  const uint64_t two_owners =
      report.two_owner_orders_checked + report.two_owner_orders_unchecked;
  std::cout << nlohmann::json{{"seed", settings.seed},
                              {"nodes", settings.nodes},
                              {"two_owner_orders", two_owners},
                              {"two_owner_orders_checked",
                               report.two_owner_orders_checked},
                              {"two_owner_orders_unchecked",
                               report.two_owner_orders_unchecked},
                              {"orders_sent", report.orders_sent},
                              {"orders_refused", report.orders_refused},
                              {"orders_dropped_late",
                               report.orders_dropped_late},
                              {"upgrades_started", report.upgrades_started},
                              {"upgrades_completed", report.upgrades_completed},
                              {"stuck_upgrades", report.stuck_upgrades},
                              {"takeovers", report.takeovers},
                              {"takeover_s_p99", report.takeover_s_p99},
                              {"store_writes_per_s", report.store_writes_per_s},
                              {"store_reads_per_s", report.store_reads_per_s},
                              {"watches", report.watches},
                              {"state_bytes_per_shard", StateBytesPerShard()},
                              {"pauses", report.pauses},
                              {"kills", report.kills},
                              {"outages", report.outages}}
                   .dump()
            << std::endl;
  return two_owners == 0 && report.stuck_upgrades == 0 ? ExitCode::kOk
                                                       : ExitCode::kFailed;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("options");
  options.add_options()("seed", po::value<uint64_t>()->default_value(1),
                        "seed of the search")(
      "nodes", po::value<uint32_t>()->default_value(25), "nodes and shards")(
      "seconds", po::value<uint32_t>()->default_value(900),
      "virtual time with faults")(
      "without",
      po::value<std::vector<std::string>>()->multitoken()->default_value({},
                                                                         ""),
      "guards taken away");
  return RunProgram(argc, argv, "bench_leases",
                    "searches for faults of leases and orders", options, Run);
}
