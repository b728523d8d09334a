// Servers whose answers name the requests a second that they take from all
// nodes together: what one node sends them over sockets.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/deployment_fixture.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time between two requests of the callers.
constexpr Duration kRequestInterval = milliseconds(20);
constexpr Duration kWatched = seconds(4);

// Returns an answer that names `limit`.
std::string LimitedAnswer(const std::string& limit) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n"
         "Server-Limit: " +
         limit + "\r\nContent-Length: 2\r\n\r\nok";
}

ScriptedServer::Script AlwaysLimited(const std::string& limit) {
  return [limit](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = LimitedAnswer(limit)};
  };
}

struct LimitFixture : GatewayFixture {
  // Sends requests for kWatched and returns how many `server` got meanwhile.
  size_t SendMany(const ScriptedServer& server,
                  const std::string& path = "/unsafe/x") {
    const size_t before = server.requests().size();
    const TimePoint end = MonotonicNow() + kWatched;
    for (size_t i = 0; MonotonicNow() < end; ++i) {
      SendRequest("GET", path, "q" + std::to_string(i));
      RunFor(kRequestInterval);
    }
    return server.requests().size() - before;
  }
  // Lets `server` name its limit in the answer to one request.
  void HearLimit(const ScriptedServer& server) {
    SendRequest("GET", "/unsafe/x", "first");
    REQUIRE(RunUntil([&] { return server.requests().size() == 1; }));
    RunFor(milliseconds(20));
  }
};

// Returns the most requests that a server with `limit` may get in kWatched.
size_t Allowed(double limit) {
  return static_cast<size_t>(1.5 * limit * ToSeconds(kWatched) + 5);
}

}  // namespace

// Guards against requests sent to a server beyond the limit that its answers
// name (LIMIT).
TEST_CASE_METHOD(
    LimitFixture,
    "a server gets no more requests than the limit that it names") {
  auto& server = AddServer("a", "plain", AlwaysLimited("1"));
  HearLimit(server);
  CHECK(SendMany(server) <= Allowed(1));
}

TEST_CASE_METHOD(LimitFixture,
                 "a limited server is kept to its limit beside one without") {
  auto& server = AddServer("a", "plain", AlwaysLimited("1"));
  HearLimit(server);
  auto& other = AddServer("b", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  CHECK(SendMany(server) <= Allowed(1));
  CHECK(other.requests().size() > 100);
}

// Retries after a failure, and resends of stalled requests, are sends too.
TEST_CASE_METHOD(LimitFixture, "retries are kept to a server's limit") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(500, "no")};
  });
  auto& server = AddServer("b", "plain", AlwaysLimited("1"));
  state.picker.rate_limits().OnAnswer({ServerId("b"), 0}, 1.0, MonotonicNow());
  CHECK(SendMany(server, "/safe/x") <= Allowed(1));
  CHECK(server.requests().size() >= 2);
}

TEST_CASE_METHOD(LimitFixture,
                 "what a limited service can't take is refused at once") {
  auto& server = AddServer("a", "plain", AlwaysLimited("0.5"));
  HearLimit(server);
  const TimePoint asked = MonotonicNow();
  ScriptedCaller& caller = SendRequest("GET", "/unsafe/x", "r");
  REQUIRE(RunUntil([&] { return !caller.received().empty(); }));
  CHECK(MonotonicNow() - asked < milliseconds(200));
  CHECK(caller.received().substr(9, 3) == "503");
  CHECK(caller.received().find("Retry-After: ") != std::string::npos);
  CHECK(server.requests().size() == 1);
}

TEST_CASE_METHOD(LimitFixture,
                 "a refusal, and an answer that is cut, name it") {
  const bool cut = GENERATE(false, true);
  auto& server = AddServer("a", "plain", [=](size_t, const HttpHead&) {
    return ScriptedReply{
        .bytes = std::string(cut ? "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                                   "Content-Length: 90\r\n"
                                 : "HTTP/1.1 503 Full\r\nRequest-Id: %ID%\r\n"
                                   "Not-Executed: 1\r\nContent-Length: 0\r\n") +
                 "Server-Limit: 0.5\r\n\r\n",
        .then =
            cut ? ScriptedReply::Then::kReset : ScriptedReply::Then::kKeepOpen};
  });
  HearLimit(server);
  CHECK(state.picker.rate_limits().IsLimited(ServerId("a")));
}

TEST_CASE_METHOD(LimitFixture, "an answer without a limit ends it") {
  auto& server = AddServer("a", "plain", [](size_t request, const HttpHead&) {
    return ScriptedReply{.bytes = request == 0 ? LimitedAnswer("2")
                                               : StampedAnswer(200, "ok")};
  });
  HearLimit(server);
  CHECK(SendMany(server) > 100);
}

TEST_CASE_METHOD(LimitFixture, "a limit that is no number says nothing") {
  const std::string text =
      GENERATE("x", "-1", "nan", "inf", "1e999", "", "1,2", "0x10");
  CAPTURE(text);
  auto& server = AddServer("a", "plain", [=](size_t request, const HttpHead&) {
    return ScriptedReply{.bytes = LimitedAnswer(request == 0 ? "3" : text)};
  });
  HearLimit(server);
  RunFor(milliseconds(400));
  SendRequest("GET", "/unsafe/x", "second");
  RunUntil([&] { return server.requests().size() == 2; });
  RunFor(milliseconds(20));
  const auto limit =
      state.picker.rate_limits().Find(ServerId("a"), MonotonicNow());
  REQUIRE(limit);
  CHECK(limit->rate == 3.0);
}

// Guards against limits that only the node knows that was told.
TEST_CASE("all nodes learn of a server's limit, and of its end") {
  // The larger deployment has relays, and nodes that don't follow the store.
  const size_t nodes = GENERATE(3, 18);
  CAPTURE(nodes);
  DeploymentFixture deployment;
  deployment.StartNodes(nodes, 3, 1);
  const auto each_counts_all = [&] {
    return deployment.AllOf([&](size_t node) {
      return deployment.StateOf(node).budget_nodes() == nodes;
    });
  };
  CHECK(deployment.TimeUntil(each_counts_all, seconds(3)));
  const ServerProcess process{ServerId("s0"), 1};
  const auto all_know = [&](std::optional<double> rate) {
    return deployment.AllOf([&](size_t node) {
      const auto limit = deployment.StateOf(node).picker.rate_limits().Find(
          process.id, MonotonicNow());
      return rate ? limit && limit->rate == rate : !limit;
    });
  };
  deployment.TellRateLimit(nodes - 1,
                           {.process = process, .version = 1, .rate = 2.0});
  CHECK(deployment.TimeUntil([&] { return all_know(2.0); }, seconds(2)));
  deployment.TellRateLimit(0, {.process = process, .version = 2});
  CHECK(
      deployment.TimeUntil([&] { return all_know(std::nullopt); }, seconds(2)));
  // The older word comes once more.
  deployment.TellRateLimit(1, {.process = process, .version = 1, .rate = 2.0});
  deployment.TimeUntil([] { return false; }, milliseconds(400));
  CHECK(all_know(std::nullopt));
}

}  // namespace qh
