// Requests that wait at a node while the servers are overloaded, over sockets.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using Then = ScriptedReply::Then;

// Requests that the fixture's server of 4 slots gets while others wait.
constexpr size_t kHeldAt = 12;

// Requests wait up to 610 ms: the target less three times 30 ms of work.
constexpr const char* kWaitingConfig = R"({"version":9,"routes":[
  {"name":"unsafe","host":"h","pathPrefix":"/unsafe/","routeKind":"unsafe",
   "service":"plain","timeoutMs":1500,"targetLatencyMs":700,
   "anonymous":true,"priority":1},
  {"name":"urgent","host":"h","pathPrefix":"/urgent/","routeKind":"unsafe",
   "service":"plain","timeoutMs":1500,"targetLatencyMs":700,
   "anonymous":true}],"services":[{"name":"plain"}]})";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// The script of a server that answers nothing.
ScriptedReply Stall(size_t /*request*/, const HttpHead& /*head*/) {
  return {.then = Then::kStall};
}

struct WaitingFixture : GatewayFixture {
  WaitingFixture() {
    state.ApplyConfig(codec.read_config(kWaitingConfig).value(),
                      MonotonicNow());
  }
  // Sends as many requests as the server gets without waiting, and returns it.
  ScriptedServer& FillServer(const std::string& id = "a") {
    ScriptedServer& server = AddServer(id, "plain", Stall);
    for (size_t i = 0; i < kHeldAt; ++i) {
      running = &SendRequest("GET", "/unsafe/x", "f" + std::to_string(i));
    }
    REQUIRE(RunUntil([&] { return server.requests().size() == kHeldAt; }));
    return server;
  }
  // The caller of a request that runs at the server.
  ScriptedCaller* running = nullptr;

  ScriptedCaller& SendWaiting(const std::string& id = "w",
                              const std::string& more = "") {
    const size_t before = state.waiting.size();
    ScriptedCaller& caller = SendRequest("GET", "/unsafe/x", id, more);
    REQUIRE(RunUntil([&] { return state.waiting.size() == before + 1; }));
    return caller;
  }
};

}  // namespace

TEST_CASE_METHOD(WaitingFixture,
                 "a request waits at the node until a server has room") {
  ScriptedServer& server = FillServer();
  ScriptedCaller& caller = SendWaiting();
  RunFor(milliseconds(20));
  CHECK(server.requests().size() == kHeldAt);
  CHECK(caller.received().empty());
  // Its request is cancelled at the server.
  running->Disconnect();
  REQUIRE(RunUntil([&] { return server.requests().size() == kHeldAt + 1; }));
  CHECK(state.waiting.size() == 0);
}

TEST_CASE_METHOD(WaitingFixture, "the most urgent request is started first") {
  ScriptedServer& server = FillServer();
  SendWaiting("w");
  SendRequest("GET", "/urgent/x", "u");
  REQUIRE(RunUntil([&] { return state.waiting.size() == 2; }));
  running->Disconnect();
  REQUIRE(RunUntil([&] { return server.requests().size() == kHeldAt + 1; }));
  CHECK(server.requests().back().target == "/urgent/x");
  CHECK(state.waiting.size() == 1);
}

TEST_CASE_METHOD(WaitingFixture,
                 "a request that no server starts in time is refused") {
  ScriptedServer& server = FillServer();
  ScriptedCaller& caller = SendWaiting();
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  CHECK(Has(caller.received(), "Retry-After"));
  CHECK(server.requests().size() == kHeldAt);
  CHECK(state.waiting.size() == 0);
}

TEST_CASE_METHOD(WaitingFixture,
                 "a caller that disconnects gives its place up") {
  ScriptedServer& server = FillServer();
  SendWaiting().Disconnect();
  REQUIRE(RunUntil([&] { return state.waiting.size() == 0; }));
  running->Disconnect();
  RunFor(milliseconds(50));
  CHECK(server.requests().size() == kHeldAt);
}

TEST_CASE_METHOD(WaitingFixture,
                 "a node that ends refuses what waits as not run") {
  FillServer();
  ScriptedCaller& caller = SendWaiting();
  state.draining_since = MonotonicNow();
  state.EndOpenRequests();
  CHECK(state.waiting.size() == 0);
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
}

// Guards against requests that wait for servers that no longer serve.
TEST_CASE_METHOD(WaitingFixture,
                 "waiting requests are decided anew when a server leaves") {
  FillServer();
  ScriptedCaller& caller = SendWaiting();
  const bool replaced = GENERATE(false, true);
  ScriptedServer* other = nullptr;
  if (replaced) {
    other = &AddServer("b", "plain", Stall);
  }
  const TimePoint left = MonotonicNow();
  state.directory.OnRemoved(ServerId("a"), false, left);
  if (replaced) {
    REQUIRE(RunUntil([&] { return other->requests().size() == 1; }));
  } else {
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  }
  CHECK(state.waiting.size() == 0);
}

// Guards against a change for services with enough capacity.
TEST_CASE_METHOD(WaitingFixture, "nothing waits while servers have room") {
  ScriptedServer& server = AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  for (int i = 0; i < 20; ++i) {
    SendRequest("GET", "/unsafe/x", "q" + std::to_string(i));
    CHECK(state.waiting.size() == 0);
    RunFor(milliseconds(2));
  }
  REQUIRE(RunUntil([&] { return state.open_requests == 0; }));
  CHECK(server.requests().size() == 20);
}

}  // namespace qh
