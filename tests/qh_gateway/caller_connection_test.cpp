// Callers' connections that the node closes: callers keep connections open for
// many requests, and none of these may be read without an answer.

#include <catch2/catch.hpp>
#include <thread>

#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

ScriptedServer::Script Always(ScriptedReply reply) {
  return [reply](size_t, const HttpHead&) { return reply; };
}

const ScriptedReply kGoodReply{.bytes = StampedAnswer(200, "body")};

std::string SafeRequest(const std::string& id) {
  return "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n";
}

std::string UnsafeRequest(const std::string& id, const std::string& body) {
  return "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class Fixture : public GatewayFixture {
 public:
  // Puts a configuration in force that differs from the current one in its
  // limits on callers.
  void SetLimits(uint64_t version, const std::string& limits) {
    const std::string config = R"({"version":)" + std::to_string(version) +
                               R"(,"limits":{)" + limits + R"(},"routes":[
          {"name":"safe","host":"h","pathPrefix":"/safe/","routeKind":"safe",
           "service":"plain","timeoutMs":600,"targetLatencyMs":100,
           "anonymous":true},
          {"name":"unsafe","host":"h","pathPrefix":"/unsafe/",
           "routeKind":"unsafe","service":"plain","timeoutMs":600,
           "targetLatencyMs":100,"anonymous":true},
          {"name":"stream","host":"h","pathPrefix":"/stream/",
           "routeKind":"stream","service":"chat","timeoutMs":900,
           "targetLatencyMs":100,"anonymous":true,"gapTargetMs":100}],
          "services":[{"name":"plain"},{"name":"chat","engine":{"slots":4}}]})";
    REQUIRE(
        state.ApplyConfig(codec.read_config(config).value(), MonotonicNow()));
  }

  // Sends a request on a new connection and waits for its answer.
  ScriptedCaller& ServeOne() {
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
    return caller;
  }
};

}  // namespace

// Guards against a close of an idle connection that the caller could not
// foresee: it reuses the connection while the close is under way.
TEST_CASE_METHOD(Fixture,
                 "a caller is told how long it may keep a connection") {
  AddServer("a", "plain", Always(kGoodReply));
  const auto [limit_ms, announced] =
      GENERATE(table<int, std::string>({{15'000, "Keep-Alive: timeout=12\r\n"},
                                        {3'000, "Keep-Alive: timeout=2\r\n"},
                                        {200, "Keep-Alive: timeout=1\r\n"}}));
  SetLimits(4, R"("idleTimeoutMs":)" + std::to_string(limit_ms));
  CHECK(Has(ServeOne().received(), announced));
  ScriptedCaller& refused = SendRequest("GET", "/unknown/x");
  REQUIRE(RunUntil([&] { return Has(refused.received(), "HTTP/1.1 404 "); }));
  CHECK(Has(refused.received(), announced));
  ScriptedCaller& last =
      SendRequest("GET", "/safe/x", "r2", "Connection: close\r\n");
  REQUIRE(RunUntil([&] { return Has(last.received(), "body"); }));
  CHECK_FALSE(Has(last.received(), "Keep-Alive"));
}

// Guards against a node that announces whole seconds and closes before them.
TEST_CASE_METHOD(Fixture, "a connection stays open as long as announced") {
  AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("idleTimeoutMs":200)");
  ScriptedCaller& caller = ServeOne();
  RunFor(milliseconds(980));
  CHECK_FALSE(caller.closed());
  caller.Send(SafeRequest("r2"));
  CHECK(RunUntil([&] { return CountOf(caller.received(), "body") == 2; }));
}

// Guards against a request that has arrived when the idle timeout expires, is
// read, and gets no answer.
TEST_CASE_METHOD(Fixture,
                 "a request that arrives with the idle timeout is served") {
  AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("idleTimeoutMs":1000)");
  ScriptedCaller& caller = ServeOne();
  RunFor(milliseconds(600));
  caller.Send(SafeRequest("r2"));
  // The node is held up: the timeout and the request are found together.
  std::this_thread::sleep_for(milliseconds(1'600));
  CHECK(RunUntil([&] { return CountOf(caller.received(), "body") == 2; }));
}

// Guards against closing connections that rest by an earlier, shorter limit.
TEST_CASE_METHOD(Fixture,
                 "a raised idle limit holds for idle connections too") {
  AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("idleTimeoutMs":200)");
  ScriptedCaller& caller = ServeOne();
  SetLimits(5, R"("idleTimeoutMs":15000)");
  RunFor(milliseconds(2'200));
  CHECK_FALSE(caller.closed());
  caller.Send(SafeRequest("r2"));
  CHECK(RunUntil([&] { return CountOf(caller.received(), "body") == 2; }));
}

// Guards against a stopping node that ends connections whose last answer said
// that they stay open, and reads requests there that it never answers.
TEST_CASE_METHOD(Fixture,
                 "a drain serves requests on connections it kept open") {
  ScriptedServer& server = AddServer(
      "s", "chat",
      Always({.bytes = StreamHead() + Events(1, 2), .then = Then::kStall}));
  AddServer("a", "plain", Always(kGoodReply));
  ScriptedCaller& caller =
      SendRequest("POST", "/stream/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 2"); }));
  state.draining_since = MonotonicNow();
  server.SendStalled("0\r\n\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "0\r\n\r\n"); }));
  RunFor(milliseconds(50));
  caller.Send(SafeRequest("r2"));
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "Connection: close\r\n"));
  CHECK(RunUntil([&] { return caller.closed(); }));
}

// Guards against a node that stops between two parts of a request, which is
// then read in part and gets no answer.
TEST_CASE_METHOD(Fixture, "a request that is being received is unfinished") {
  AddServer("a", "plain", Always(kGoodReply));
  ScriptedCaller& caller = ServeOne();
  REQUIRE(state.unfinished_answers == 0);
  const std::string request = UnsafeRequest("r2", "0123456789");
  const std::string pipelined = request + request.substr(0, 20);
  caller.Send(request.substr(0, request.size() / 2));
  CHECK(RunUntil([&] { return state.unfinished_answers == 1; }));
  caller.Send(pipelined.substr(request.size() / 2));
  REQUIRE(RunUntil([&] { return CountOf(caller.received(), "body") == 2; }));
  RunFor(milliseconds(20));
  CHECK(state.unfinished_answers == 1);
  caller.Disconnect();
  CHECK(RunUntil([&] { return state.unfinished_answers == 0; }));
}

// Guards against refusing on open connections what a new configuration allows.
TEST_CASE_METHOD(Fixture, "new limits on requests hold on open connections") {
  AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("maxBodyBytes":10)");
  ScriptedCaller& caller = ServeOne();
  SetLimits(5, R"("maxBodyBytes":1000)");
  caller.Send(UnsafeRequest("r2", std::string(100, 'x')));
  CHECK(RunUntil([&] { return CountOf(caller.received(), "body") == 2; }));
  CHECK_FALSE(Has(caller.received(), "HTTP/1.1 413 "));
}

// Guards against a final answer that leaves the node at the caller's deadline
// and so can't arrive before it.
TEST_CASE_METHOD(Fixture,
                 "the final answer arrives before the caller's deadline") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  const auto start = std::chrono::steady_clock::now();
  ScriptedCaller& caller = SendRequest(
      "POST", "/unsafe/x", "r1", "Content-Length: 0\r\nDeadline-Ms: 300\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  const auto waited = std::chrono::steady_clock::now() - start;
  CHECK(Has(caller.received(), "HTTP/1.1 504 "));
  CHECK(waited < milliseconds(290));
  CHECK(waited > milliseconds(200));
}

// The timer that has expired is queued behind the request's first bytes.
TEST_CASE_METHOD(Fixture, "a long request that arrives with the idle timeout") {
  const size_t size = GENERATE(20'000, 40'000, 100'000);
  CAPTURE(size);
  ScriptedServer& server = AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("idleTimeoutMs":1000,"maxBodyBytes":1000000)");
  ScriptedCaller& caller = ServeOne();
  RunFor(milliseconds(600));
  caller.Send(UnsafeRequest("r2", std::string(size, 'x')));
  std::this_thread::sleep_for(milliseconds(1'600));
  RunFor(milliseconds(300));
  CAPTURE(caller.received(), server.requests().size());
  CHECK_FALSE(Has(caller.received(), "HTTP/1.1 408 "));
  CHECK(CountOf(caller.received(), "HTTP/1.1 ") == 2);
  // Refused means: not run.
  CHECK_FALSE((Has(caller.received(), "HTTP/1.1 408 ") &&
               server.requests().size() > 1));
}

// The rest of a request arrives while its 408 is under way.
TEST_CASE_METHOD(Fixture,
                 "a request refused for its header time does not run") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("headerTimeoutMs":300,"idleTimeoutMs":5000)");
  ScriptedCaller& caller = ServeOne();
  caller.Send("POST /unsafe/x HTTP/1.1\r\nHost: h\r\n");
  RunFor(milliseconds(100));
  std::this_thread::sleep_for(milliseconds(300));
  const std::string rest = "Request-Id: r2\r\nContent-Length: 40000\r\n\r\n" +
                           std::string(40'000, 'x');
  caller.Send(rest);
  RunFor(milliseconds(300));
  CAPTURE(caller.received(), server.requests().size());
  CHECK_FALSE((Has(caller.received(), "HTTP/1.1 408 ") &&
               server.requests().size() > 1));
  CHECK(CountOf(caller.received(), "HTTP/1.1 ") == 2);
}

// A pipelined request that can't be read is closed without a refusal.
TEST_CASE_METHOD(Fixture, "a bad pipelined request is refused") {
  AddServer("a", "plain", Always(kGoodReply));
  SetLimits(4, R"("maxBodyBytes":10)");
  ScriptedCaller& caller =
      SendRequest("GET", "/safe/x", "r1",
                  "\r\n" + UnsafeRequest("r2", std::string(100, 'x')));
  RunFor(milliseconds(300));
  CAPTURE(caller.received());
  CHECK(Has(caller.received(), "HTTP/1.1 413 "));
}

// A pipelined request's deadline starts when the one before it has ended.
TEST_CASE_METHOD(Fixture, "a request's time while it waits") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  SetLimits(4, R"("maxBodyBytes":1000)");
  const auto start = std::chrono::steady_clock::now();
  ScriptedCaller& caller = AddCaller();
  const std::string request =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r%\r\n"
      "Deadline-Ms: 400\r\nContent-Length: 0\r\n\r\n";
  caller.Send(request + request);
  RunUntil([&] { return CountOf(caller.received(), "HTTP/1.1 504") == 2; });
  const auto waited = std::chrono::steady_clock::now() - start;
  CAPTURE(caller.received(),
          ToMilliseconds(std::chrono::duration_cast<Duration>(waited)));
  CHECK(waited < milliseconds(500));
}

// A slow upload: the deadline starts with the request's last byte.
TEST_CASE_METHOD(Fixture, "a request's time while it arrives") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  SetLimits(4, R"("maxBodyBytes":1000)");
  const auto start = std::chrono::steady_clock::now();
  ScriptedCaller& caller = AddCaller();
  caller.Send(
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 300\r\nContent-Length: 4\r\n\r\nab");
  RunFor(milliseconds(150));
  caller.Send("cd");
  RunUntil([&] { return Has(caller.received(), "HTTP/1.1 504"); });
  const auto waited = std::chrono::steady_clock::now() - start;
  CAPTURE(ToMilliseconds(std::chrono::duration_cast<Duration>(waited)));
  CHECK(waited < milliseconds(300));
}

// Late in its grace time a node takes requests that it can't end.
TEST_CASE_METHOD(Fixture, "a node about to end takes requests") {
  ScriptedServer& server =
      AddServer("a", "plain", Always({.then = Then::kStall}));
  SetLimits(4, R"("maxBodyBytes":1000)");
  // 100 ms before the process ends.
  state.draining_since =
      MonotonicNow() - (state.settings.stop_grace - milliseconds(600));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  RunFor(milliseconds(100));
  CAPTURE(caller.received());
  CHECK(server.requests().empty());
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
}

// Guards against requests that are cut without an answer as the grace period
// ends, among them some that were not sent to any server yet.
TEST_CASE_METHOD(Fixture, "a node that ends answers what is open") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  AddServer(
      "b", "chat",
      Always({.bytes = StreamHead() + Events(1, 1), .then = Then::kStall}));
  ScriptedCaller& sent = SendRequest("GET", "/unsafe/x", "r1");
  ScriptedCaller& begun = SendRequest("GET", "/stream/x", "r2");
  REQUIRE(RunUntil([&] { return Has(begun.received(), "id: 1\n"); }));
  REQUIRE(RunUntil([&] { return state.sends["plain"] == 1; }));
  state.draining_since = MonotonicNow();
  state.EndOpenRequests();
  CHECK(state.open_requests == 0);
  REQUIRE(RunUntil([&] { return state.unfinished_answers == 0; }));
  RunUntil([&] { return sent.closed() && begun.closed(); });
  CHECK(Has(sent.received(), "HTTP/1.1 502 "));
  CHECK(begun.closed());
  CHECK_FALSE(Has(begun.received(), "\r\n0\r\n\r\n"));
}

TEST_CASE_METHOD(Fixture, "a node that ends refuses what it has not sent") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGoodReply));
  server.SetSilent(true);
  ScriptedCaller& caller = SendRequest("GET", "/unsafe/x", "r1");
  REQUIRE(RunUntil([&] { return state.open_requests == 1; }));
  state.EndOpenRequests();
  CHECK(state.open_requests == 0);
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  server.SetSilent(false);
  RunFor(milliseconds(50));
  CHECK(server.requests().empty());
}

// Requests were accepted for the grace period in force at the signal.
TEST_CASE_METHOD(Fixture, "a reload does not change a stop that has begun") {
  GatewaySettings reloaded = state.settings;
  reloaded.stop_grace = std::chrono::seconds(2);
  const Duration grace = state.settings.stop_grace;
  state.draining_since = MonotonicNow();
  state.TakeReloaded(reloaded);
  CHECK(*state.StopTime() - *state.draining_since ==
        grace - GatewayState::kStopMargin);
  state.draining_since.reset();
  state.TakeReloaded(reloaded);
  CHECK(state.settings.stop_grace == reloaded.stop_grace);
}

// A signal may be handled late: the node then takes the 3 s after it, in which
// callers may send streams that outlast the node, for later than they are.
TEST_CASE_METHOD(Fixture, "a stream that comes late in a stop is refused") {
  ScriptedServer& server = AddServer(
      "a", "chat",
      Always({.bytes = StreamHead() + Events(1, 1), .then = Then::kStall}));
  state.draining_since = MonotonicNow() - milliseconds(2'700);
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  CHECK(server.requests().empty());
}

// Guards against streams without a first event whose callers leave before the
// node's answer.
TEST_CASE_METHOD(Fixture,
                 "a stream without events is answered while its caller waits") {
  const std::string config = R"({"version":9,"routes":[
    {"name":"stream","host":"h","pathPrefix":"/stream/","routeKind":"stream",
     "service":"chat","timeoutMs":15000,"targetLatencyMs":100,
     "anonymous":true,"gapTargetMs":100}],
    "services":[{"name":"chat","engine":{"slots":4}}]})";
  REQUIRE(state.ApplyConfig(codec.read_config(config).value(), MonotonicNow()));
  const bool silent = GENERATE(true, false);
  AddServer("s", "chat",
            Always({.bytes = silent ? "" : StreamHead() + Events(1, 1),
                    .then = Then::kStall}));
  ScriptedCaller& caller = SendRequest(
      "POST", "/stream/x", "r1", "Content-Length: 0\r\nDeadline-Ms: 12000\r\n");
  const auto start = std::chrono::steady_clock::now();
  if (silent) {
    REQUIRE(RunUntil([&] { return Has(caller.received(), "HTTP/1.1 504 "); }));
    CHECK(std::chrono::steady_clock::now() - start > milliseconds(1'900));
  } else {
    // A stream that has begun is not ended for its caller's patience.
    RunFor(milliseconds(2'200));
    CHECK_FALSE(caller.closed());
  }
}

}  // namespace qh
