// Tests of the node table, heartbeats, the event log, capacity planning and the
// settings.

#include <catch2/catch.hpp>

#include "qh_gateway/control/event_log.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/capacity/capacity_planner.h"
#include "qh_gateway/decisions/nodes/node_table.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const FailureDomainId kDomain("z");

// State of a ready node that takes callers at `port`.
NodeState Ready(uint16_t port, uint64_t config = 1) {
  NodeState state;
  state.callers.host = "10.0.0.9";
  state.callers.port = port;
  state.ready = true;
  state.config_version = config;
  return state;
}

// A scaled service "chat" with prices in four failure domains.
ServiceRule Scaled() {
  return {
      .name = "chat",
      .engine = EngineTraits{.slots = 10},
      .scaling = ScalingTraits{.min_servers = 1,
                               .max_servers = 10,
                               .boot_time = seconds(4),
                               .spot_price = 0.2,
                               .domain_prices = {{FailureDomainId("x"), 1.0},
                                                 {FailureDomainId("y"), 0.8},
                                                 {FailureDomainId("z"), 1.2},
                                                 {FailureDomainId("w"), 0.9}}}};
}

// Servers of "chat", spread over the failure domains: first `on_demand` ones,
// then `spot` ones that can be reclaimed.
struct Fleet {
  explicit Fleet(size_t on_demand, size_t spot) {
    const char* domains[] = {"x", "y", "z", "w"};
    for (size_t i = 0; i < on_demand + spot; ++i) {
      ServerRecord& record = records.emplace_back();
      record.id = ServerId(std::to_string(i));
      record.service = "chat";
      record.failure_domain = FailureDomainId(domains[i % 4]);
      record.spot = i >= on_demand;
    }
  }
  std::vector<const ServerRecord*> All() const {
    std::vector<const ServerRecord*> all;
    for (const ServerRecord& record : records) {
      all.push_back(&record);
    }
    return all;
  }
  std::vector<ServerRecord> records;
};

// The same service in as many failure domains as given.
ServiceRule ScaledIn(size_t domains) {
  ServiceRule service = Scaled();
  service.scaling->domain_prices.clear();
  for (size_t i = 0; i < domains; ++i) {
    service.scaling->domain_prices[FailureDomainId(std::to_string(i))] = 1.0;
  }
  return service;
}

// Servers desired by the orders for spot or on-demand servers.
uint32_t Sum(const std::vector<CapacityOrder>& orders, bool spot) {
  uint32_t sum = 0;
  for (const CapacityOrder& order : orders) {
    sum += order.spot == spot ? order.desired : 0;
  }
  return sum;
}

}  // namespace

TEST_CASE("locate returns the ready nodes with recent heartbeats") {
  NodeTable nodes("self", kDomain);
  nodes.OnListed("self", {"10.0.0.1", 1}, kDomain, kStart);
  nodes.OnListed("a", {"10.0.0.2", 1}, kDomain, kStart);
  nodes.OnListed("b", {"10.0.0.3", 1}, kDomain, kStart);
  nodes.OnListed("c", {"10.0.0.4", 1}, kDomain, kStart);
  nodes.OnHeartbeat("a", Ready(1), kStart);
  nodes.OnHeartbeat("b", Ready(2), kStart);
  nodes.OnHeartbeat("c", Ready(3), kStart);
  const Address self{"10.0.0.9", 9};
  CHECK(nodes.Usable(self, kDomain, kStart, kStart).size() == 4);
  CHECK(nodes.KnownCount(kStart) == 3);
  const TimePoint later = kStart + seconds(2);
  nodes.OnHeartbeat("b", Ready(2), later);
  nodes.OnHeartbeat("c", Ready(3), later);
  SECTION("an unresponsive node is left out") {
    CHECK(nodes.Usable(self, kDomain, later, later).size() == 3);
    CHECK(nodes.UnresponsiveCount(later) == 1);
  }
  SECTION("a draining node is left out") {
    NodeState draining = Ready(3);
    draining.draining = true;
    nodes.OnHeartbeat("c", draining, later);
    CHECK(nodes.Usable(self, kDomain, later, later).size() == 2);
  }
  SECTION("while most peers are unresponsive, only gone ones are left out") {
    nodes.OnHeartbeat("a", Ready(1), later);
    const TimePoint cut = later + seconds(2);
    CHECK(nodes.Usable(self, kDomain, kStart, cut).size() == 4);
    CHECK(nodes.Usable(self, kDomain, kStart, cut + NodeTable::kGoneAfter)
              .size() == 1);
  }
}

// Callers were sent to a node that had been replaced 9 s before, because others
// were lost after it (DRAIN).
TEST_CASE("locate leaves out a node that was silent before the others") {
  NodeTable nodes("self", kDomain);
  const Address self{"10.0.0.9", 9};
  for (const uint16_t port : {1, 2, 3, 4}) {
    const std::string node = "n" + std::to_string(port);
    nodes.OnListed(node, {"10.0.0.2", port}, kDomain, kStart);
    nodes.OnHeartbeat(node, Ready(port), kStart);
  }
  const TimePoint later = kStart + seconds(5);
  for (const uint16_t port : {2, 3, 4}) {
    nodes.OnHeartbeat("n" + std::to_string(port), Ready(port), later);
  }
  const TimePoint cut = later + seconds(2);
  SECTION("while this node seems to be partitioned") {
    CHECK(nodes.Usable(self, kDomain, kStart, cut).size() == 4);
    CHECK(nodes.Usable(self, kDomain, std::nullopt, cut).size() == 4);
  }
  SECTION("and the others too once the store has answered") {
    CHECK(nodes.Usable(self, kDomain, cut, cut).size() == 1);
  }
  SECTION("and two that are silent while most nodes hear each other") {
    nodes.OnHeartbeat("n3", Ready(3), cut);
    nodes.OnHeartbeat("n4", Ready(4), cut);
    CHECK(nodes.Usable(self, kDomain, kStart, cut).size() == 3);
  }
}

TEST_CASE("log lines per second are limited, with room kept for failures") {
  EventLog log;
  const auto write = [&](GatewayEvent event, int lines) {
    int written = 0;
    for (int i = 0; i < lines; ++i) {
      written += log.Write(LogLine(ToName(event)), event) ? 1 : 0;
    }
    return written;
  };
  CHECK(write(GatewayEvent::kRequestServed, 60) == 60);
  CHECK(write(GatewayEvent::kRequestRefused, 500) == 100);
  // The lines that served requests may use in this second are used up.
  CHECK(write(GatewayEvent::kRequestServed, 500) == 0);
  CHECK(write(GatewayEvent::kRequestFailed, 500) == 20);
  log.OnTick(kStart);
  CHECK(write(GatewayEvent::kRequestServed, 500) == 100);
}

TEST_CASE("an unresponsive node stays known until it counts as gone") {
  NodeTable nodes("self", kDomain);
  nodes.OnListed("a", {"10.0.0.2", 1}, kDomain, kStart);
  nodes.OnHeartbeat("a", Ready(1), kStart);
  CHECK(nodes.IsKnown("a", kStart + NodeTable::kUnresponsiveAfter * 2));
  CHECK_FALSE(nodes.IsKnown(
      "a", kStart + NodeTable::kGoneAfter + std::chrono::milliseconds(1)));
  CHECK_FALSE(nodes.IsKnown("b", kStart));
}

TEST_CASE("a peer with a newer configuration is found") {
  NodeTable nodes("self", kDomain);
  nodes.OnListed("a", {"10.0.0.2", 1}, kDomain, kStart);
  const auto with_config_after = [&](uint64_t version, TimePoint now) {
    return nodes.ResponsivePeers(
        [&](const NodeState& state) { return state.config_version > version; },
        now);
  };
  CHECK(with_config_after(0, kStart).empty());
  nodes.OnHeartbeat("a", Ready(1, 7), kStart);
  CHECK(with_config_after(6, kStart) ==
        std::vector<Address>{{.host = "10.0.0.2", .port = 1}});
  CHECK(with_config_after(7, kStart).empty());
  CHECK(with_config_after(6, kStart + seconds(5)).empty());
}

TEST_CASE("a heartbeat survives encoding and decoding") {
  PeerHeartbeat heartbeat;
  heartbeat.node = "n";
  heartbeat.incarnation = "i";
  heartbeat.sequence = 9;
  heartbeat.uptime = seconds(3);
  heartbeat.wall_time = seconds(1'700'000'000);
  heartbeat.ready = true;
  heartbeat.caller_address.host = "10.0.0.1";
  heartbeat.config_version = 4;
  heartbeat.store_epoch = 3;
  heartbeat.servers_version = {3, 77};
  heartbeat.departures = {{ServerId("s1"), 5}};
  heartbeat.pauses = {{ServerId("s2"), seconds(3)}};
  heartbeat.reported_window = 41;
  heartbeat.store_reachability.answered_ago = seconds(1);
  heartbeat.outstanding_work = {{ServerId("s"), {3, 4'000, 9'000}}};
  heartbeat.team_totals = {{TeamId("t"), 1.5}};
  heartbeat.usage = {{353445120, {{TeamId("t"), 412}}}};
  heartbeat.crashes = {
      .made = TimePoint(seconds(9)),
      .records = {{2, ~uint64_t{0}, {4, ~uint64_t{0}}, TimePoint(seconds(8))}},
      .sound = {{6, TimePoint(seconds(7))}},
      .verdicts = {{{4, 8},
                    TimePoint(seconds(3)),
                    TimePoint(seconds(4)),
                    TimePoint(seconds(5)),
                    2,
                    3}}};
  heartbeat.prefill_rates = {{"chat", 0.5}};
  const auto decoded = PeerHeartbeat::Decode(heartbeat.Encode());
  REQUIRE(decoded);
  CHECK(decoded.value().Encode() == heartbeat.Encode());
  CHECK(decoded.value().usage == heartbeat.usage);
  CHECK(decoded.value().outstanding_work.at(ServerId("s")).kv_tokens == 9'000);
  REQUIRE(decoded.value().crashes.records.size() == 1);
  CHECK(decoded.value().crashes.records.front().server == 2);
  CHECK(decoded.value().crashes.records.front().content == ~uint64_t{0});
  CHECK_FALSE(decoded.value().store_reachability.recovered_ago);
}

TEST_CASE("truncated and invalid heartbeats are rejected") {
  const std::string bytes = PeerHeartbeat().Encode();
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(PeerHeartbeat::Decode(std::string_view(bytes).substr(0, size)));
  }
  CHECK_FALSE(PeerHeartbeat::Decode("\xc3"));
}

// In a fresh deployment servers register one after the other. A plan made from
// the first few would order the others away.
TEST_CASE("no capacity is removed while servers still register") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  CHECK(planner.Plan(service, {}, Fleet(1, 0).All(), kStart).empty());
  CHECK(planner.Plan(service, {}, Fleet(2, 0).All(), kStart + seconds(1))
            .empty());
  const auto orders =
      planner.Plan(service, {}, Fleet(16, 0).All(), kStart + seconds(4));
  CHECK(Sum(orders, true) + Sum(orders, false) >= 10);
}

TEST_CASE(
    "spot servers are spread to survive the loss of two failure domains") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  planner.Plan(service, demand, Fleet(8, 0).All(), kStart);
  const auto orders =
      planner.Plan(service, demand, Fleet(8, 16).All(), kStart + seconds(20));
  const double needed =
      32 / (10 * CapacityPlanner::Settings{}.slot_utilization);
  std::map<FailureDomainId, uint32_t> spot;
  for (const CapacityOrder& order : orders) {
    if (order.spot) {
      spot[order.failure_domain] = order.desired;
    }
  }
  REQUIRE(spot.size() == 4);
  uint32_t left = Sum(orders, true);
  left -= spot[FailureDomainId("x")];
  left -= spot[FailureDomainId("y")];
  CHECK(left + Sum(orders, false) >= needed);
}

// With more failure domains, the loss of two takes a smaller part of the
// servers.
TEST_CASE("fewer spot servers are spare where there are more failure domains") {
  const auto desired = [](size_t domains) {
    CapacityPlanner planner(CapacityPlanner::Settings{});
    ServiceRule service = ScaledIn(domains);
    service.scaling->max_servers = 1'000;
    const ServiceDemand demand{.open_requests = 600};
    planner.Plan(service, demand, Fleet(8, 0).All(), kStart);
    return planner.Plan(service, demand, Fleet(8, 400).All(),
                        kStart + seconds(20));
  };
  const double needed =
      600 / (10 * CapacityPlanner::Settings{}.slot_utilization);
  for (const size_t domains : {4, 6, 12}) {
    const auto orders = desired(domains);
    const double spot = Sum(orders, true);
    const double left =
        spot * static_cast<double>(domains - 2) / static_cast<double>(domains);
    CHECK(left + Sum(orders, false) >= needed);
  }
  CHECK(Sum(desired(6), true) < Sum(desired(4), true) * 4 / 5);
}

// A lull of 20 s, in which a failure domain may be reclaimed and no
// new spot server be available: those that run have to outlast it.
TEST_CASE("spot servers outlast a lull longer than on-demand servers") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const Fleet fleet(4, 40);
  const ServiceDemand busy{.open_requests = 90};
  const ServiceDemand lull{.open_requests = 20};
  TimePoint now = kStart;
  std::vector<CapacityOrder> orders;
  const auto run = [&](const ServiceDemand& demand, Duration length) {
    for (const TimePoint end = now + length; now < end;
         now += milliseconds(500)) {
      orders = planner.Plan(service, demand, fleet.All(), now);
    }
  };
  run(busy, seconds(60));
  const uint32_t busy_spot = Sum(orders, true);
  const uint32_t busy_on_demand = Sum(orders, false);
  run(lull, seconds(20));
  CHECK(Sum(orders, true) == busy_spot);
  CHECK(Sum(orders, false) < busy_on_demand);
  run(lull, seconds(20));
  CHECK(Sum(orders, true) < busy_spot);
}

// Demand that rises steadily: servers that are ordered when they are needed
// start too late.
TEST_CASE("orders cover the rise until ordered servers have started") {
  ServiceRule service = Scaled();
  service.scaling->boot_time = seconds(4);
  service.scaling->max_servers = 1'000;
  const Fleet fleet(2, 0);
  const auto ordered = [&](double rise_per_second) {
    CapacityPlanner planner(CapacityPlanner::Settings{});
    std::vector<CapacityOrder> orders;
    for (int step = 0; step <= 80; ++step) {
      const double seconds_to_end = (80 - step) / 2.0;
      const ServiceDemand demand{.open_requests =
                                     100 - rise_per_second * seconds_to_end};
      orders = planner.Plan(service, demand, fleet.All(),
                            kStart + milliseconds(500) * step);
    }
    return Sum(orders, true);
  };
  CHECK(ordered(2) > ordered(0));
}

// Every spot server is reclaimed and no new one is available: on-demand servers
// have to replace them.
TEST_CASE("on-demand servers replace spot servers that are not available") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  planner.Plan(service, demand, Fleet(2, 16).All(), kStart);
  TimePoint now = kStart + seconds(20);
  const auto initial = planner.Plan(service, demand, Fleet(2, 16).All(), now);
  for (const CapacityOrder& order : initial) {
    planner.OnAccepted(order, now);
  }
  now += seconds(1);
  const auto orders = planner.Plan(service, demand, Fleet(2, 0).All(), now);
  // They cover the planned part of the need, and each open request has a slot.
  const CapacityPlanner::Settings settings;
  const double needed = demand.open_requests / (10 * settings.slot_utilization);
  CHECK(Sum(orders, false) >= settings.on_demand_cover * needed);
  CHECK(10 * Sum(orders, false) >= demand.open_requests);
}

// Two failure domains are reclaimed one after the other while no new spot
// server is available: the loss of the second one has to be covered in advance.
TEST_CASE("a shortage of spot servers covers the loss of one more domain") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 90};
  std::map<FailureDomainId, uint32_t> on_demand;
  const auto apply_plan = [&](const Fleet& fleet, TimePoint now) {
    for (const auto& order : planner.Plan(service, demand, fleet.All(), now)) {
      planner.OnAccepted(order, now);
      if (!order.spot) {
        on_demand[order.failure_domain] = order.desired;
      }
    }
    uint32_t sum = 0;
    for (const auto& [domain, count] : on_demand) {
      sum += count;
    }
    return sum;
  };
  const Fleet full(4, 20);
  apply_plan(full, kStart);
  TimePoint now = kStart + seconds(20);
  const uint32_t initial = apply_plan(full, now);
  // Failure domain x is reclaimed, and its servers can't be ordered again.
  Fleet remaining = full;
  std::erase_if(remaining.records, [](const ServerRecord& server) {
    return server.spot && server.failure_domain == FailureDomainId("x");
  });
  now += seconds(1);
  planner.OnRefused({"chat", FailureDomainId("x"), true, 8}, now);
  const uint32_t covered = apply_plan(remaining, now);
  // Without a second failure domain the remaining servers cover the need.
  const CapacityPlanner::Settings settings;
  const double needed = demand.open_requests / (10 * settings.slot_utilization);
  CHECK(covered + 10 >= settings.on_demand_cover * needed);
  // After the shortage the plan returns to the former capacity.
  now += settings.spot_shortage_time + seconds(1);
  CHECK(apply_plan(full, now) == initial);
}

// A deployment starts with more servers than its demand needs. The plan takes
// the servers found at the start as a hint of the demand; servers that it
// ordered itself must not raise that hint.
TEST_CASE("ordered servers do not count as found at the start") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  planner.Plan(service, {}, Fleet(20, 0).All(), kStart);
  const auto first =
      planner.Plan(service, {}, Fleet(20, 0).All(), kStart + seconds(4));
  for (const CapacityOrder& order : first) {
    planner.OnAccepted(order, kStart + seconds(4));
  }
  // The ordered servers run beside those found at the start.
  const Fleet more(20, Sum(first, true));
  for (const CapacityOrder& order :
       planner.Plan(service, {}, more.All(), kStart + seconds(8))) {
    CHECK_FALSE((order.spot && order.desired > first[0].desired));
  }
}

TEST_CASE("an order is sent again only after a change, a refusal or a loss") {
  CapacityPlanner planner(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  const Fleet fleet(8, 16);
  planner.Plan(service, demand, fleet.All(), kStart);
  TimePoint now = kStart + seconds(20);
  auto orders = planner.Plan(service, demand, fleet.All(), now);
  REQUIRE_FALSE(orders.empty());
  planner.OnRefused(orders[0], now);
  for (size_t i = 1; i < orders.size(); ++i) {
    planner.OnAccepted(orders[i], now);
  }
  CHECK(planner.Plan(service, demand, fleet.All(), now).empty());
  now += CapacityPlanner::Settings{}.refusal_cooldown;
  const auto again = planner.Plan(service, demand, fleet.All(), now);
  REQUIRE(again.size() == 1);
  CHECK(again[0] == orders[0]);
}

TEST_CASE("errors of settings name file, key and reason of each mistake") {
  const auto bad = GatewaySettings::Parse(
      R"({"node": "", "callers": "nowhere", "repeat_ratio": -1})", "f.json");
  REQUIRE_FALSE(bad);
  const std::string& detail = bad.error().detail();
  CHECK(detail.find("f.json: node must be") != std::string::npos);
  CHECK(detail.find("f.json: callers must be host:port") != std::string::npos);
  CHECK(detail.find("f.json: repeat_ratio must be") != std::string::npos);
  CHECK(detail.find("f.json: store is missing") != std::string::npos);
  CHECK_FALSE(GatewaySettings::Parse("[1]", "f"));
  CHECK_FALSE(GatewaySettings::Parse("{\"node\": \"\xff\"}", "f"));
  CHECK_FALSE(GatewaySettings::Load("/nonexistent/file"));
}

TEST_CASE("settings may hold comments, and missing keys have defaults") {
  const auto settings = GatewaySettings::Parse(
      R"(// a node
         {"node": "n", "failure_domain": "z", "region": "r",
          "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2",
          "locate": "10.0.0.1:3", "peers": "10.0.0.1:4",
          "store": "10.0.0.2:5", "lease_ms": 2500})",
      "f");
  REQUIRE(settings);
  CHECK(settings.value().lease == std::chrono::milliseconds(2'500));
  CHECK_FALSE(settings.value().cloud_address);
  CHECK(settings.value().usage_window == seconds(5));
}

}  // namespace qh
