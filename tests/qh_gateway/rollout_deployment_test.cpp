// Rollouts through real gateway nodes, with servers of both versions, callers
// and a store on loopback addresses.

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "tests/qh_gateway/deployment_fixture.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 3;
constexpr size_t kServersOfVersion = 2;
constexpr Duration kRequestInterval = milliseconds(4);
constexpr Duration kLimit = seconds(30);

struct RolloutDeployment : DeploymentFixture {
  RolloutDeployment() {
    adjust_settings = [](GatewaySettings& settings) {
      settings.rollout_bounds = RolloutBounds();
      settings.first_start = true;
      settings.lease = milliseconds(1'000);
    };
    StartNodes(kNodes, 1, 0);
    store.Put("config", "main", R"({"version":2,"routes":[{"name":"r",
      "host":"h","pathPrefix":"/r/","routeKind":"safe","service":"plain",
      "timeoutMs":2000,"targetLatencyMs":500,"maxAttempts":2,
      "anonymous":true}],"services":[{"name":"plain"}]})");
  }

  void AddServers(const std::string& version, int status) {
    for (size_t i = 0; i < kServersOfVersion; ++i) {
      servers.push_back(std::make_unique<ScriptedServer>(
          io, [status](size_t, const HttpHead&) {
            return ScriptedReply{.bytes = StampedAnswer(status, "ok")};
          }));
      store.Put("servers", version + std::to_string(i),
                R"({"service":"plain","address":")" +
                    servers.back()->address().ToString() +
                    R"(","zone":"d0","slots":20,"born":1,"state":"ready",)" +
                    R"("version":")" + version + R"("})");
    }
  }

  // Sends requests until the order's status is final. Returns its state.
  std::string RunOrder(int new_status) {
    AddServers("v1", 200);
    TimeUntil(
        [&] {
          return AllOf([&](size_t node) {
            return StateOf(node).directory.All().size() == kServersOfVersion;
          });
        },
        kLimit);
    TimePoint next_request = MonotonicNow();
    const auto run = [&](const std::function<bool()>& done, Duration limit) {
      return TimeUntil(
                 [&] {
                   if (MonotonicNow() >= next_request) {
                     next_request = MonotonicNow() + kRequestInterval;
                     SendRequest();
                   }
                   return done();
                 },
                 limit)
          .has_value();
    };
    run([] { return false; }, seconds(1));
    store.Put("rollouts", "plain",
              R"({"service":"plain","to":"v2","durationS":10})");
    run([] { return false; }, milliseconds(300));
    AddServers("v2", new_status);
    std::string state;
    run(
        [&] {
          const auto status =
              nlohmann::json::parse(store.StatusOf("rollouts", "plain"));
          state = status.is_object() ? status.value("state", "") : "";
          return state == "completed" || state == "rolled_back";
        },
        kLimit);
    // Long enough for every node to learn of the end.
    run([] { return false; }, seconds(1));
    return state;
  }

  void SendRequest() {
    std::erase_if(callers, [](const auto& each) { return each->closed(); });
    const size_t node = requests++ % kNodes;
    callers.push_back(std::make_unique<ScriptedCaller>(
        io, StateOf(node).settings.caller_address));
    callers.back()->Send("GET /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q" +
                         std::to_string(requests) +
                         "\r\nConnection: close\r\n\r\n");
  }

  size_t ServedBy(size_t first_server) const {
    size_t served = 0;
    for (size_t i = 0; i < kServersOfVersion; ++i) {
      served += servers[first_server + i]->requests().size();
    }
    return served;
  }

  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<std::unique_ptr<ScriptedCaller>> callers;
  size_t requests = 0;
};

}  // namespace

// Guards against a rollout whose parts work each by itself but not together.
TEST_CASE("a deployment completes the rollout of a good version") {
  RolloutDeployment deployment;
  REQUIRE(deployment.RunOrder(200) == "completed");
  // From now on only the new version is used.
  const size_t at_old = deployment.ServedBy(0);
  for (int i = 0; i < 20; ++i) {
    deployment.SendRequest();
  }
  deployment.TimeUntil([] { return false; }, milliseconds(500));
  CHECK(deployment.ServedBy(0) == at_old);
  CHECK(deployment.AllOf([&](size_t node) {
    return deployment.StateOf(node).rollouts.rollouts().at("plain").phase() ==
           RolloutPhase::kCompleted;
  }));
}

TEST_CASE("a deployment rolls back a version whose answers are failures") {
  RolloutDeployment deployment;
  REQUIRE(deployment.RunOrder(500) == "rolled_back");
  const size_t at_new = deployment.ServedBy(kServersOfVersion);
  CHECK(at_new > 0);
  CHECK(at_new < 50);
  for (int i = 0; i < 20; ++i) {
    deployment.SendRequest();
  }
  deployment.TimeUntil([] { return false; }, milliseconds(500));
  CHECK(deployment.ServedBy(kServersOfVersion) == at_new);
}

}  // namespace qh
