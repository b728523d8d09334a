// Server choice: versions, leaving servers, prefix affinity, bounded load, slow
// servers and outlier ejection.

#include "qh_routing/router.h"

#include <catch2/catch.hpp>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

std::string Numbered(std::string prefix, int64_t number) {
  prefix += std::to_string(number);
  return prefix;
}

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1'000)};

// Returns a configuration with a model "chat" and a route "booking" that have
// `servers` servers each, in four failure domains.
ConfigurationPtr MakeConfiguration(uint32_t servers) {
  auto config = std::make_shared<Configuration>();
  ModelPool pool;
  pool.id = PoolId("chat");
  pool.models = {{"chat", {"1", "2"}, {"safety"}}};
  Route route;
  route.id = RouteId("booking");
  for (uint32_t i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = ServerId(Numbered("s", i));
    server.failure_domain = FailureDomainId(Numbered("d", i % 4));
    server.engine_version = i % 2 == 0 ? "old" : "new";
    pool.servers.push_back(server);
    server.id = ServerId(Numbered("b", i));
    route.servers.push_back(server);
  }
  config->model_pools = {pool};
  config->routes = {route};
  return config;
}

// Returns a chat request. Prompts of the same `text` share their prefix.
RouteQuery ChatQuery(const std::string& id,
                     uint64_t text,
                     uint32_t blocks = 40) {
  RouteQuery query;
  query.request = RequestId(id);
  query.model = "chat";
  query.prompt_tokens = blocks * kPrefixBlockTokens + 10;
  query.max_output_tokens = 100;
  query.deadline = kNow + seconds(30);
  uint64_t hash = text;
  for (uint32_t i = 0; i < blocks; ++i) {
    hash = HashPair(hash, i);
    query.prefix_blocks.push_back(hash);
  }
  return query;
}

// Runs `query` to its end on the server that the router chooses. Returns the
// server.
ServerId Serve(Router& router, const RouteQuery& query, TimePoint now) {
  const auto choice = router.Choose(query, now);
  REQUIRE(choice);
  const ServerId server = choice.value().server.id;
  router.OnDispatched(server, query, now);
  router.OnFirstByte(server, query, now + choice.value().expected_ttfb);
  router.OnEnded(server, query, DispatchOutcome::kCompleted, now + seconds(2));
  return server;
}

}  // namespace

TEST_CASE("a follow-up turn goes to the server that has its prefix") {
  Router router = Router::Create(MakeConfiguration(20), 1);
  for (uint64_t text = 1; text <= 10; ++text) {
    RouteQuery first = ChatQuery(Numbered("a", text), text, 40);
    RouteQuery next = ChatQuery(Numbered("b", text), text, 45);
    const ServerId server = Serve(router, first, kNow);
    CHECK(Serve(router, next, kNow + seconds(10)) == server);
  }
}

TEST_CASE("nodes choose the same home server without communication") {
  Router one = Router::Create(MakeConfiguration(20), 1);
  Router other = Router::Create(MakeConfiguration(20), 2);
  int same = 0;
  for (uint64_t text = 1; text <= 50; ++text) {
    const RouteQuery query = ChatQuery("q", text);
    same += Serve(one, query, kNow) == Serve(other, query, kNow);
  }
  CHECK(same >= 45);
}

TEST_CASE("requests go to other servers when the home server is full") {
  Router router = Router::Create(MakeConfiguration(4), 1);
  std::set<ServerId> used;
  for (int i = 0; i < 40; ++i) {
    const RouteQuery query = ChatQuery(Numbered("q", i), 7);
    const auto choice = router.Choose(query, kNow);
    REQUIRE(choice);
    router.OnDispatched(choice.value().server.id, query, kNow);
    used.insert(choice.value().server.id);
  }
  CHECK(used.size() >= 3);
}

TEST_CASE("leaving and excluded servers get no requests") {
  Router router = Router::Create(MakeConfiguration(3), 1);
  router.SetLeaving({ServerId("s0")});
  RouteQuery query = ChatQuery("q", 1);
  query.excluded = {ServerId("s1")};
  for (int i = 0; i < 20; ++i) {
    CHECK(router.Choose(query, kNow).value().server.id == ServerId("s2"));
  }
  router.SetLeaving({ServerId("s0"), ServerId("s2")});
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kNoServer);
}

TEST_CASE("unknown models and unknown routes give different errors") {
  Router router = Router::Create(MakeConfiguration(2), 1);
  RouteQuery query = ChatQuery("q", 1);
  query.model = "none";
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kUnknownModel);
  query.route = RouteId("none");
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kUnknownRoute);
}

TEST_CASE("model, adapter and engine versions are respected") {
  Router router = Router::Create(MakeConfiguration(4), 1);
  for (int i = 0; i < 4; ++i) {
    ServerCapability capability;
    capability.model_versions = {i < 2 ? "chat@1" : "chat@2"};
    if (i == 3) {
      capability.adapters = {"chat+safety"};
    }
    router.SetCapability(ServerId(Numbered("s", i)), capability);
  }
  RouteQuery query = ChatQuery("q", 1);
  query.model_version = "2";
  query.engine_version = "old";
  CHECK(router.Choose(query, kNow).value().server.id == ServerId("s2"));
  query.engine_version = "";
  query.adapter = "safety";
  CHECK(router.Choose(query, kNow).value().server.id == ServerId("s3"));
  query.model_version = "3";
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kNoServer);
}

TEST_CASE(
    "a plain service's requests go to the server with the fewest in flight") {
  Router router = Router::Create(MakeConfiguration(3), 1);
  RouteQuery query;
  query.route = RouteId("booking");
  std::map<ServerId, int> counts;
  for (int i = 0; i < 9; ++i) {
    query.request = RequestId(Numbered("q", i));
    const ServerId server = router.Choose(query, kNow).value().server.id;
    router.OnDispatched(server, query, kNow);
    ++counts[server];
  }
  for (const auto& [server, count] : counts) {
    CHECK(count == 3);
  }
}

TEST_CASE("a slow server is avoided and tried again later") {
  Router router = Router::Create(MakeConfiguration(8), 1);
  const ServerId slow("s0");
  TimePoint now = kNow;
  const auto run = [&](int count) {
    int to_slow = 0;
    for (int i = 0; i < count; ++i) {
      now += milliseconds(50);
      const RouteQuery query =
          ChatQuery(std::to_string(now.time_since_epoch().count()),
                    uint64_t(now.time_since_epoch().count()), 4);
      const auto choice = router.Choose(query, now);
      const ServerId server = choice.value().server.id;
      const bool is_slow = server == slow;
      to_slow += is_slow;
      router.OnDispatched(server, query, now);
      router.OnFirstByte(
          server, query,
          now + (is_slow ? seconds(3) : choice.value().expected_ttfb));
      router.OnEnded(server, query, DispatchOutcome::kCompleted,
                     now + seconds(4));
    }
    return to_slow;
  };
  // A healthy server would get about 100 requests.
  CHECK(run(800) <= 20);
  // The old measurements have lost their weight by now.
  now += seconds(300);
  CHECK(run(100) > 0);
}

TEST_CASE("an ejected server returns with a rising share of requests") {
  ServerHealth health;
  health.Resize(4);
  TimePoint now = kNow;
  for (int i = 0; i < 4; ++i) {
    health.OnFirstByte(0, 15, now);
  }
  CHECK(health.StateOf(0, now) == HealthState::kEjected);
  CHECK(health.Share(0, now) == 0);
  now += seconds(9);
  CHECK(health.StateOf(0, now) == HealthState::kReturning);
  const double initial_share = health.Share(0, now);
  CHECK(initial_share < 0.3);
  CHECK(health.Share(0, now + seconds(3)) > initial_share);
  CHECK(health.StateOf(0, now + seconds(10)) == HealthState::kHealthy);
  // The second ejection is longer.
  for (int i = 0; i < 4; ++i) {
    health.OnFirstByte(0, 15, now);
  }
  CHECK(health.StateOf(0, now + seconds(9)) == HealthState::kEjected);
}

TEST_CASE("only some servers are ejected when all of them fail") {
  ServerHealth health;
  health.Resize(9);
  for (uint32_t server = 0; server < 9; ++server) {
    health.OnFailure(server, kNow);
    health.OnFailure(server, kNow);
  }
  int ejected = 0;
  for (uint32_t server = 0; server < 9; ++server) {
    ejected += health.StateOf(server, kNow) == HealthState::kEjected;
  }
  CHECK(ejected == 3);
}

TEST_CASE("an overdue first byte counts before it arrives") {
  Router router = Router::Create(MakeConfiguration(8), 1);
  TimePoint now = kNow;
  for (int i = 0; i < 6; ++i) {
    router.OnDispatched(ServerId("s1"), ChatQuery(Numbered("q", i), 1, 2), now);
  }
  now += seconds(20);
  router.OnTick(now);
  CHECK(router.HealthOf(ServerId("s1"), now) == HealthState::kEjected);
}

TEST_CASE("the last decision about a request can be explained") {
  Router router = Router::Create(MakeConfiguration(2), 1);
  const RouteQuery query = ChatQuery("q1", 1);
  Serve(router, query, kNow);
  const auto decision = router.decisions().Find(RequestId("q1"));
  REQUIRE(decision);
  CHECK(decision->ToString().find("reason=") != std::string::npos);
  CHECK_FALSE(router.decisions().Find(RequestId("q2")));
}

TEST_CASE("a server that lost its cache is not expected to have a prefix") {
  Router router = Router::Create(MakeConfiguration(20), 1);
  const RouteQuery first = ChatQuery("a", 5);
  const ServerId server = Serve(router, first, kNow);
  router.OnCacheEvent({server, false, {}}, kNow + seconds(5));
  const auto choice = router.Choose(ChatQuery("b", 5), kNow + seconds(6));
  CHECK(choice.value().cached_tokens == 0);
}

}  // namespace qh
