// Nodes among themselves, capacity, settings.

#include <catch2/catch.hpp>

#include "qh_gateway/control/event_log.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/capacity_planner.h"
#include "qh_gateway/decisions/node_table.h"

namespace qh {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

NodeState Ready(uint16_t port, uint64_t config = 1) {
  NodeState state;
  state.callers.host = "10.0.0.9";
  state.callers.port = port;
  state.ready = true;
  state.config_version = config;
  return state;
}

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

// Servers of "chat", spread over the domains.
struct Fleet {
  explicit Fleet(size_t steady, size_t spot) {
    const char* domains[] = {"x", "y", "z", "w"};
    for (size_t i = 0; i < steady + spot; ++i) {
      ServerRecord& record = records.emplace_back();
      record.id = ServerId(std::to_string(i));
      record.service = "chat";
      record.failure_domain = FailureDomainId(domains[i % 4]);
      record.spot = i >= steady;
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

uint32_t Sum(const std::vector<CapacityOrder>& orders, bool spot) {
  uint32_t sum = 0;
  for (const CapacityOrder& order : orders) {
    sum += order.spot == spot ? order.desired : 0;
  }
  return sum;
}

}  // namespace

TEST_CASE("callers are told the ready nodes that are heard") {
  NodeTable nodes("self");
  nodes.OnListed("self", {"10.0.0.1", 1}, kStart);
  nodes.OnListed("a", {"10.0.0.2", 1}, kStart);
  nodes.OnListed("b", {"10.0.0.3", 1}, kStart);
  nodes.OnListed("c", {"10.0.0.4", 1}, kStart);
  nodes.OnHeartbeat("a", Ready(1), kStart);
  nodes.OnHeartbeat("b", Ready(2), kStart);
  nodes.OnHeartbeat("c", Ready(3), kStart);
  const Address self{"10.0.0.9", 9};
  CHECK(nodes.Usable(self, kStart).size() == 4);
  CHECK(nodes.KnownCount(kStart) == 3);
  const TimePoint later = kStart + seconds(2);
  nodes.OnHeartbeat("b", Ready(2), later);
  nodes.OnHeartbeat("c", Ready(3), later);
  SECTION("a silent one is left out") {
    CHECK(nodes.Usable(self, later).size() == 3);
    CHECK(nodes.UnresponsiveCount(later) == 1);
  }
  SECTION("a leaving one is left out") {
    NodeState leaving = Ready(3);
    leaving.draining = true;
    nodes.OnHeartbeat("c", leaving, later);
    CHECK(nodes.Usable(self, later).size() == 2);
  }
  SECTION("with most silent this node is likelier cut off") {
    const TimePoint cut = later + seconds(2);
    CHECK(nodes.Usable(self, cut).size() == 4);
    CHECK(nodes.Usable(self, cut + NodeTable::kGoneAfter).size() == 1);
  }
}

TEST_CASE("a node logs so many lines a second, failures before successes") {
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
  // The second has had its share of all that is not refused or failed.
  CHECK(write(GatewayEvent::kRequestServed, 500) == 0);
  CHECK(write(GatewayEvent::kRequestFailed, 500) == 20);
  log.OnTick(kStart);
  CHECK(write(GatewayEvent::kRequestServed, 500) == 100);
}

TEST_CASE("a node that went silent is known until it is taken for gone") {
  NodeTable nodes("self");
  nodes.OnListed("a", {"10.0.0.2", 1}, kStart);
  nodes.OnHeartbeat("a", Ready(1), kStart);
  CHECK(nodes.IsKnown("a", kStart + NodeTable::kUnresponsiveAfter * 2));
  CHECK_FALSE(nodes.IsKnown(
      "a", kStart + NodeTable::kGoneAfter + std::chrono::milliseconds(1)));
  CHECK_FALSE(nodes.IsKnown("b", kStart));
}

TEST_CASE("a node asks a peer that knows more") {
  NodeTable nodes("self");
  nodes.OnListed("a", {"10.0.0.2", 1}, kStart);
  CHECK_FALSE(nodes.PeerWithConfigAfter(0, kStart));
  nodes.OnHeartbeat("a", Ready(1, 7), kStart);
  CHECK(nodes.PeerWithConfigAfter(6, kStart));
  CHECK_FALSE(nodes.PeerWithConfigAfter(7, kStart));
  CHECK_FALSE(nodes.PeerWithConfigAfter(6, kStart + seconds(5)));
}

TEST_CASE("what a node tells arrives as it was") {
  PeerHeartbeat news;
  news.node = "n";
  news.incarnation = "i";
  news.sequence = 9;
  news.uptime = seconds(3);
  news.wall = seconds(1'700'000'000);
  news.ready = true;
  news.callers.host = "10.0.0.1";
  news.config_version = 4;
  news.servers_revision = 77;
  news.store.answered_ago = seconds(1);
  news.open_work = {{ServerId("s"), {3, 4'000}}};
  news.team_totals = {{TeamId("t"), 1.5}};
  news.usage = {{353445120, {{TeamId("t"), 412}}}};
  news.crash_marks = {{~uint64_t{0}, 2}};
  news.reading = {{"chat", 0.5}};
  const auto read = PeerHeartbeat::Decode(news.Encode());
  REQUIRE(read);
  CHECK(read.value().Encode() == news.Encode());
  CHECK(read.value().usage == news.usage);
  CHECK(read.value().crash_marks == news.crash_marks);
  CHECK_FALSE(read.value().store.recovered_ago);
}

TEST_CASE("bytes that are no news are refused and do no harm") {
  const std::string whole = PeerHeartbeat().Encode();
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(PeerHeartbeat::Decode(std::string_view(whole).substr(0, size)));
  }
  CHECK_FALSE(PeerHeartbeat::Decode("\xc3"));
}

// Pattern: the plan sees the first few registrations of a fresh deployment.
TEST_CASE("nothing is ordered away while servers still register") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  CHECK(plan.Plan(service, {}, Fleet(1, 0).All(), kStart).empty());
  CHECK(plan.Plan(service, {}, Fleet(2, 0).All(), kStart + seconds(1)).empty());
  const auto orders =
      plan.Plan(service, {}, Fleet(16, 0).All(), kStart + seconds(4));
  CHECK(Sum(orders, true) + Sum(orders, false) >= 10);
}

TEST_CASE("reclaimable servers run spread so that two domains can go") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  plan.Plan(service, demand, Fleet(8, 0).All(), kStart);
  const auto orders =
      plan.Plan(service, demand, Fleet(8, 16).All(), kStart + seconds(20));
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

// Pattern: every reclaimable server of a zone goes and none can be had.
TEST_CASE("while no reclaimable server is to be had others stand in") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  plan.Plan(service, demand, Fleet(2, 16).All(), kStart);
  TimePoint now = kStart + seconds(20);
  const auto calm = plan.Plan(service, demand, Fleet(2, 16).All(), now);
  for (const CapacityOrder& order : calm) {
    plan.OnAccepted(order, now);
  }
  now += seconds(1);
  const auto orders = plan.Plan(service, demand, Fleet(2, 0).All(), now);
  // They carry the need that the plan sees, and every open request has a slot.
  const CapacityPlanner::Settings settings;
  const double needed = demand.open_requests / (10 * settings.slot_utilization);
  CHECK(Sum(orders, false) >= settings.on_demand_cover * needed);
  CHECK(10 * Sum(orders, false) >= demand.open_requests);
}

// Pattern: reclaims of two zones one after the other, with none to be had.
TEST_CASE("while reclaimable servers are short the next zone's are covered") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 90};
  std::map<FailureDomainId, uint32_t> steady;
  const auto carry_out = [&](const Fleet& fleet, TimePoint now) {
    for (const auto& order : plan.Plan(service, demand, fleet.All(), now)) {
      plan.OnAccepted(order, now);
      if (!order.spot) {
        steady[order.failure_domain] = order.desired;
      }
    }
    uint32_t sum = 0;
    for (const auto& [domain, count] : steady) {
      sum += count;
    }
    return sum;
  };
  const Fleet whole(4, 20);
  carry_out(whole, kStart);
  TimePoint now = kStart + seconds(20);
  const uint32_t calm = carry_out(whole, now);
  // Zone x is reclaimed; its servers cannot be ordered again.
  Fleet left = whole;
  std::erase_if(left.records, [](const ServerRecord& server) {
    return server.spot && server.failure_domain == FailureDomainId("x");
  });
  now += seconds(1);
  plan.OnRefused({"chat", FailureDomainId("x"), true, 8}, now);
  const uint32_t covered = carry_out(left, now);
  // With a second zone gone too, what is left carries the need.
  const CapacityPlanner::Settings settings;
  const double needed = demand.open_requests / (10 * settings.slot_utilization);
  CHECK(covered + 10 >= settings.on_demand_cover * needed);
  // Until they can be had again.
  now += settings.spot_shortage_time + seconds(1);
  CHECK(carry_out(whole, now) == calm);
}

// Pattern: a deployment that starts with more servers than its demand needs.
TEST_CASE("servers that were ordered do not count as found") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  plan.Plan(service, {}, Fleet(20, 0).All(), kStart);
  const auto first =
      plan.Plan(service, {}, Fleet(20, 0).All(), kStart + seconds(4));
  for (const CapacityOrder& order : first) {
    plan.OnAccepted(order, kStart + seconds(4));
  }
  // What was ordered runs beside what was found.
  const Fleet more(20, Sum(first, true));
  for (const CapacityOrder& order :
       plan.Plan(service, {}, more.All(), kStart + seconds(8))) {
    CHECK_FALSE((order.spot && order.desired > first[0].desired));
  }
}

TEST_CASE("an order is repeated only when it changed, failed or was lost") {
  CapacityPlanner plan(CapacityPlanner::Settings{});
  const ServiceRule service = Scaled();
  const ServiceDemand demand{.open_requests = 32};
  const Fleet fleet(8, 16);
  plan.Plan(service, demand, fleet.All(), kStart);
  TimePoint now = kStart + seconds(20);
  auto orders = plan.Plan(service, demand, fleet.All(), now);
  REQUIRE_FALSE(orders.empty());
  plan.OnRefused(orders[0], now);
  for (size_t i = 1; i < orders.size(); ++i) {
    plan.OnAccepted(orders[i], now);
  }
  CHECK(plan.Plan(service, demand, fleet.All(), now).empty());
  now += CapacityPlanner::Settings{}.refusal_cooldown;
  const auto again = plan.Plan(service, demand, fleet.All(), now);
  REQUIRE(again.size() == 1);
  CHECK(again[0] == orders[0]);
}

TEST_CASE("settings say file, key and reason of every mistake") {
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

TEST_CASE("settings may hold comments; keys that are left out keep defaults") {
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
