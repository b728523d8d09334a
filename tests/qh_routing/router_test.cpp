// Server choice: versions, leaving servers, prefix affinity, bounded load,
// stale reports, slow servers.

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

ConfigurationPtr Fleet(uint32_t servers) {
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

RouteQuery Chat(const std::string& id, uint64_t text, uint32_t blocks = 40) {
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

// Runs `query` to its end on the server that the router chooses.
ServerId Serve(Router& router, const RouteQuery& query, TimePoint now) {
  const auto choice = router.Choose(query, now);
  REQUIRE(choice);
  const ServerId server = choice.value().server.id;
  router.OnDispatched(server, query, now);
  router.OnFirstByte(server, query, now + choice.value().expected_first_part);
  router.OnEnded(server, query, DispatchOutcome::kCompleted, now + seconds(2));
  return server;
}

}  // namespace

TEST_CASE("a follow-up turn goes where its prefix is") {
  Router router = Router::Create(Fleet(20), 1);
  for (uint64_t text = 1; text <= 10; ++text) {
    RouteQuery first = Chat(Numbered("a", text), text, 40);
    RouteQuery next = Chat(Numbered("b", text), text, 45);
    const ServerId server = Serve(router, first, kNow);
    CHECK(Serve(router, next, kNow + seconds(10)) == server);
  }
}

TEST_CASE("nodes that never talked agree on a prompt's home") {
  Router one = Router::Create(Fleet(20), 1);
  Router other = Router::Create(Fleet(20), 2);
  int same = 0;
  for (uint64_t text = 1; text <= 50; ++text) {
    const RouteQuery query = Chat("q", text);
    same += Serve(one, query, kNow) == Serve(other, query, kNow);
  }
  CHECK(same >= 45);
}

TEST_CASE("a home that is full passes its work on") {
  Router router = Router::Create(Fleet(4), 1);
  std::set<ServerId> used;
  for (int i = 0; i < 40; ++i) {
    const RouteQuery query = Chat(Numbered("q", i), 7);
    const auto choice = router.Choose(query, kNow);
    REQUIRE(choice);
    router.OnDispatched(choice.value().server.id, query, kNow);
    used.insert(choice.value().server.id);
  }
  CHECK(used.size() >= 3);
}

TEST_CASE("leaving and excluded servers get nothing") {
  Router router = Router::Create(Fleet(3), 1);
  router.SetLeaving({ServerId("s0")});
  RouteQuery query = Chat("q", 1);
  query.excluded = {ServerId("s1")};
  for (int i = 0; i < 20; ++i) {
    CHECK(router.Choose(query, kNow).value().server.id == ServerId("s2"));
  }
  router.SetLeaving({ServerId("s0"), ServerId("s2")});
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kNoServer);
}

TEST_CASE("unknown models and routes are told apart") {
  Router router = Router::Create(Fleet(2), 1);
  RouteQuery query = Chat("q", 1);
  query.model = "none";
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kUnknownModel);
  query.route = RouteId("none");
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kUnknownRoute);
}

TEST_CASE("model, adapter and engine versions are respected") {
  Router router = Router::Create(Fleet(4), 1);
  for (int i = 0; i < 4; ++i) {
    ServerCapability has;
    has.model_versions = {i < 2 ? "chat@1" : "chat@2"};
    if (i == 3) {
      has.adapters = {"chat+safety"};
    }
    router.SetCapability(ServerId(Numbered("s", i)), has);
  }
  RouteQuery query = Chat("q", 1);
  query.model_version = "2";
  query.engine_version = "old";
  CHECK(router.Choose(query, kNow).value().server.id == ServerId("s2"));
  query.engine_version = "";
  query.adapter = "safety";
  CHECK(router.Choose(query, kNow).value().server.id == ServerId("s3"));
  query.model_version = "3";
  CHECK(router.Choose(query, kNow).error().kind() == ErrorKind::kNoServer);
}

TEST_CASE("plain services get the least in flight") {
  Router router = Router::Create(Fleet(3), 1);
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

TEST_CASE("a half-dead server is avoided and tried again later") {
  Router router = Router::Create(Fleet(8), 1);
  const ServerId slow("s0");
  TimePoint now = kNow;
  const auto run = [&](int count) {
    int to_slow = 0;
    for (int i = 0; i < count; ++i) {
      now += milliseconds(50);
      const RouteQuery query =
          Chat(std::to_string(now.time_since_epoch().count()),
               uint64_t(now.time_since_epoch().count()), 4);
      const auto choice = router.Choose(query, now);
      const ServerId server = choice.value().server.id;
      const bool is_slow = server == slow;
      to_slow += is_slow;
      router.OnDispatched(server, query, now);
      router.OnFirstByte(
          server, query,
          now + (is_slow ? seconds(3) : choice.value().expected_first_part));
      router.OnEnded(server, query, DispatchOutcome::kCompleted,
                     now + seconds(4));
    }
    return to_slow;
  };
  // A healthy server's share would be 100.
  CHECK(run(800) <= 20);
  // Tried again when its slowness is long past.
  now += seconds(300);
  CHECK(run(100) > 0);
}

TEST_CASE("an ejected server returns with a share that rises") {
  ServerHealth health;
  health.Resize(4);
  TimePoint now = kNow;
  for (int i = 0; i < 4; ++i) {
    health.OnFirstToken(0, 15, now);
  }
  CHECK(health.StateOf(0, now) == HealthState::kEjected);
  CHECK(health.Share(0, now) == 0);
  now += seconds(9);
  CHECK(health.StateOf(0, now) == HealthState::kReturning);
  const double first = health.Share(0, now);
  CHECK(first < 0.3);
  CHECK(health.Share(0, now + seconds(3)) > first);
  CHECK(health.StateOf(0, now + seconds(10)) == HealthState::kHealthy);
  // The second ejection is longer.
  for (int i = 0; i < 4; ++i) {
    health.OnFirstToken(0, 15, now);
  }
  CHECK(health.StateOf(0, now + seconds(9)) == HealthState::kEjected);
}

TEST_CASE("a fault of all servers ejects only a part of them") {
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

TEST_CASE("an overdue first part is judged before it comes") {
  Router router = Router::Create(Fleet(8), 1);
  TimePoint now = kNow;
  for (int i = 0; i < 6; ++i) {
    router.OnDispatched(ServerId("s1"), Chat(Numbered("q", i), 1, 2), now);
  }
  now += seconds(20);
  router.OnTick(now);
  CHECK(router.HealthOf(ServerId("s1"), now) == HealthState::kEjected);
}

TEST_CASE("the last decision about a request can be explained") {
  Router router = Router::Create(Fleet(2), 1);
  const RouteQuery query = Chat("q1", 1);
  Serve(router, query, kNow);
  const auto decision = router.decisions().Find(RequestId("q1"));
  REQUIRE(decision);
  CHECK(decision->ToString().find("reason=") != std::string::npos);
  CHECK_FALSE(router.decisions().Find(RequestId("q2")));
}

TEST_CASE("a lost server's cache is not counted on") {
  Router router = Router::Create(Fleet(20), 1);
  const RouteQuery first = Chat("a", 5);
  const ServerId server = Serve(router, first, kNow);
  router.OnCacheEvent({server, false, {}}, kNow + seconds(5));
  const auto choice = router.Choose(Chat("b", 5), kNow + seconds(6));
  CHECK(choice.value().cached_tokens == 0);
}

}  // namespace qh
