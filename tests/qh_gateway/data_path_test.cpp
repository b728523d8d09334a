// Requests through the gateway's data path: forwarding, retries, migration, and
// the failures of servers and callers that it has to handle.

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/streams/stream_migration.h"
#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

// Returns whether `text` contains `part`.
bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

ScriptedServer::Script Always(ScriptedReply reply) {
  return [reply](size_t, const HttpHead&) { return reply; };
}

const ScriptedReply kGoodReply{.bytes = StampedAnswer(200, "body")};
const std::string kLastChunk = "0\r\n\r\n";

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "an answer is forwarded unchanged") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGoodReply));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x?y=1");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 200 Said\r\n"));
  CHECK(Has(caller.received(), "Server-Stamp: stamp\r\n"));
  REQUIRE(server.requests().size() == 1);
  CHECK(server.requests()[0].target == "/safe/x?y=1");
  CHECK(*server.requests()[0].Find("Expect-Instance") == "a");
  CHECK(server.requests()[0].NumberOr("Deadline-Ms", 0) <= 600);
}

TEST_CASE_METHOD(GatewayFixture, "a non-idempotent request is sent once") {
  const auto reply = GENERATE(
      ScriptedReply{.then = Then::kReset},
      ScriptedReply{.then = Then::kHalfClose},
      ScriptedReply{.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                             "Content-Length: 9\r\n\r\nbod",
                    .then = Then::kReset},
      ScriptedReply{.bytes = "no answer at all\r\n\r\n", .then = Then::kStall},
      ScriptedReply{.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n\r\nbod",
                    .then = Then::kReset},
      ScriptedReply{.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                             "Content-Encoding: gzip\r\nContent-Length: "
                             "3\r\n\r\nbod"});
  ScriptedServer& a = AddServer("a", "plain", Always(reply));
  ScriptedServer& b = AddServer("b", "plain", Always(reply));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 502 "));
  CHECK_FALSE(Has(caller.received(), "Server-Stamp"));
  CHECK(a.requests().size() + b.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "a rejection is reported as not executed") {
  const ScriptedReply full{.bytes =
                               "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n"};
  ScriptedServer& a = AddServer("a", "plain", Always(full));
  ScriptedServer& b = AddServer("b", "plain", Always(full));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  CHECK(Has(caller.received(), "Retry-After: "));
  CHECK(a.requests().size() + b.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "an idempotent request is retried elsewhere") {
  const auto reply =
      GENERATE(ScriptedReply{.bytes = StampedAnswer(500, "failed")},
               ScriptedReply{.then = Then::kReset},
               ScriptedReply{.bytes = "HTTP/1.1 421 Other\r\nInstance-Id: "
                                      "z\r\nContent-Length: 0\r\n\r\n"},
               ScriptedReply{.then = Then::kStall});
  ScriptedServer& a = AddServer("a", "plain", [&](size_t, const HttpHead&) {
    return state.connection_pool.connections_created() > 1 ? kGoodReply : reply;
  });
  ScriptedServer& b = AddServer("b", "plain", [&](size_t, const HttpHead&) {
    return state.connection_pool.connections_created() > 1 ? kGoodReply : reply;
  });
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 200 "));
  CHECK(a.requests().size() == 1);
  CHECK(b.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture,
                 "the failure of the last attempt is forwarded") {
  AddServer("a", "plain", Always({.bytes = StampedAnswer(500, "failed")}));
  AddServer("b", "plain", Always({.bytes = StampedAnswer(500, "failed")}));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "failed"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 500 "));
  CHECK(Has(caller.received(), "Server-Stamp: stamp"));
}

TEST_CASE_METHOD(GatewayFixture, "a surplus answer reaches no caller") {
  SECTION("together with the first answer") {
    AddServer("a", "plain",
              Always({.bytes = StampedAnswer(200, "body") +
                               StampedAnswer(200, "again")}));
  }
  SECTION("when the next answer is expected") {
    AddServer("a", "plain", [](size_t request, const HttpHead&) {
      return request == 0
                 ? ScriptedReply{.bytes = StampedAnswer(200, "body"),
                                 .later =
                                     "HTTP/1.1 200 OK\r\nRequest-Id: "
                                     "r1\r\nContent-Length: 5\r\n\r\nagain"}
                 : ScriptedReply{.later = StampedAnswer(200, "body")};
    });
  }
  ScriptedCaller& first = SendRequest("GET", "/safe/x", "r1");
  REQUIRE(RunUntil([&] { return Has(first.received(), "body"); }));
  ScriptedCaller& second = SendRequest("GET", "/safe/x", "r2");
  REQUIRE(RunUntil([&] { return Has(second.received(), "body"); }));
  CHECK(Has(second.received(), "Request-Id: r2"));
  CHECK_FALSE(Has(first.received() + second.received(), "again"));
}

TEST_CASE_METHOD(GatewayFixture,
                 "an answer without a length ends with an orderly close") {
  AddServer("a", "plain",
            Always({.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                             "Server-Stamp: stamp\r\n\r\nwhole",
                    .then = Then::kHalfClose}));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "whole"); }));
  CHECK(Has(caller.received(), "Content-Length: 5\r\n"));
}

TEST_CASE_METHOD(GatewayFixture, "an idle server connection is reused") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGoodReply));
  for (int i = 0; i < 3; ++i) {
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  }
  CHECK(server.connections() == 1);
}

TEST_CASE_METHOD(GatewayFixture,
                 "a connection closed while idle is not reused") {
  ScriptedServer& server = AddServer(
      "a", "plain",
      Always({.bytes = StampedAnswer(200, "body"), .then = Then::kHalfClose}));
  for (int i = 0; i < 2; ++i) {
    ScriptedCaller& caller =
        SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
    RunFor(milliseconds(20));
  }
  CHECK(server.connections() == 2);
}

TEST_CASE_METHOD(GatewayFixture,
                 "a stream is forwarded event by event to its end") {
  AddServer("a", "chat",
            Always({.bytes = StreamHead() + Events(1, 2),
                    .later = Events(3, 3) + kLastChunk}));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 2"); }));
  CHECK_FALSE(Has(caller.received(), "id: 3"));
  REQUIRE(RunUntil([&] { return Has(caller.received(), kLastChunk); }));
  CHECK(Has(caller.received(), "id: 3"));
}

TEST_CASE_METHOD(GatewayFixture, "a broken stream never looks complete") {
  ScriptedServer& a =
      AddServer("a", "chat",
                Always({.bytes = StreamHead() + Events(1, 2) + "6\r\nid: 3\n",
                        .then = Then::kReset}));
  AddServer("b", "plain", Always(kGoodReply));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(Has(caller.received(), "id: 2"));
  CHECK_FALSE(Has(caller.received(), "id: 3"));
  CHECK_FALSE(Has(caller.received(), kLastChunk));
  CHECK(a.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture,
                 "a resumable stream resumes without gap or repeat") {
  const ScriptedReply broken{
      .bytes = StreamHead() + Events(1, 2) + "6\r\nid: 3\n",
      .then = Then::kReset};
  const auto script = [&](size_t, const HttpHead& head) {
    const std::string* last = head.Find("Last-Event-Id");
    if (last == nullptr) {
      return broken;
    }
    // Repeats the last event; the caller must not get it twice.
    return ScriptedReply{.bytes = StreamHead() + Events(std::stoi(*last), 4) +
                                  kLastChunk};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), kLastChunk); }));
  const std::string& text = caller.received();
  for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
    CHECK(Has(text, id));
    CHECK(text.find(id) == text.rfind(id));
  }
  // Only the first server's head is forwarded.
  CHECK(text.find("HTTP/1.1") == text.rfind("HTTP/1.1"));
}

TEST_CASE_METHOD(GatewayFixture,
                 "a stalled resumable stream resumes elsewhere") {
  const auto script = [&](size_t, const HttpHead& head) {
    return head.Find("Last-Event-Id") == nullptr
               ? ScriptedReply{.bytes = StreamHead() + Events(1, 1),
                               .then = Then::kStall}
               : ScriptedReply{.bytes =
                                   StreamHead() + Events(2, 2) + kLastChunk};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), kLastChunk); }));
  CHECK(Has(caller.received(), "id: 2"));
}

// Guards against losing streams when all reclaimable servers of a failure
// domain are reclaimed seconds after their notice.
TEST_CASE_METHOD(GatewayFixture, "a stream migrates off a reclaimed server") {
  ScriptedServer* first = nullptr;
  bool accepts_migration = true;
  const auto script = [&](size_t, const HttpHead& head) {
    if (head.target == "/kv-move") {
      if (!accepts_migration) {
        return ScriptedReply{
            .bytes = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"};
      }
      first->EndStalled();
      return ScriptedReply{.bytes =
                               "HTTP/1.1 200 OK\r\nContent-Length: "
                               "27\r\n\r\n{\"handle\":\"h1\",\"created\":2}"};
    }
    if (const std::string* run = head.Find("Kv-From")) {
      CHECK(*run == first->address().ToString() + "/h1");
      CHECK(*head.Find("Last-Event-Id") == "2");
      return ScriptedReply{.bytes = StreamHead() + Events(3, 4) + kLastChunk};
    }
    return ScriptedReply{.bytes = StreamHead() + Events(1, 2),
                         .then = Then::kStall};
  };
  ScriptedServer& a = AddServer("a", "chat", script);
  ScriptedServer& b = AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 2"); }));
  const ServerId source(a.requests().empty() ? "b" : "a");
  first = a.requests().empty() ? &b : &a;
  ServerRecord record = *state.directory.Find(source);
  record.draining = true;
  record.leaves_in = milliseconds(200);
  SECTION("with its KV cache") {
    state.directory.OnServer(record, MonotonicNow());
    REQUIRE(RunUntil([&] { return Has(caller.received(), kLastChunk); }));
    CHECK(Has(caller.received(), "id: 3"));
    CHECK(Has(caller.received(), "id: 4"));
  }
  SECTION("a refused migration leaves the stream in place") {
    accepts_migration = false;
    state.directory.OnServer(record, MonotonicNow());
    REQUIRE(RunUntil([&] { return first->requests().size() == 2; }));
    RunFor(milliseconds(50));
    CHECK_FALSE(caller.closed());
    CHECK(a.requests().size() + b.requests().size() == 2);
    first->EndStalled();
    REQUIRE(RunUntil([&] { return caller.closed(); }));
    CHECK_FALSE(Has(caller.received(), kLastChunk));
  }
}

TEST_CASE("only streams that outlast their server migrate, and late") {
  CHECK(MigrationDelay(std::chrono::seconds(2)) ==
        std::chrono::seconds(2) - kMigrationLead);
  CHECK(MigrationDelay(milliseconds(100)) == Duration::zero());
  const StreamProgress fast{
      .events = 11, .running = milliseconds(300), .events_left = 10};
  CHECK_FALSE(ShouldMigrateStream(fast, milliseconds(800)));
  CHECK(ShouldMigrateStream(fast, milliseconds(400)));
  CHECK(
      ShouldMigrateStream({.events = 1, .events_left = 5}, milliseconds(800)));
  CHECK(ShouldMigrateStream({.events = 11, .running = milliseconds(300)},
                            milliseconds(800)));
}

TEST_CASE_METHOD(GatewayFixture,
                 "a caller's disconnect cancels the server's work") {
  ScriptedServer& server = AddServer(
      "a", "chat",
      Always({.bytes = StreamHead() + Events(1, 1), .then = Then::kStall}));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 1"); }));
  caller.Disconnect();
  const auto disconnected = std::chrono::steady_clock::now();
  REQUIRE(RunUntil([&] { return server.closed() == 1; }));
  CHECK(std::chrono::steady_clock::now() - disconnected < milliseconds(500));
  CHECK(state.open_requests == 0);
  CHECK(state.picker.load().At(ServerId("a")).requests == 0);
}

TEST_CASE_METHOD(GatewayFixture,
                 "the route's timeout ends with an error answer") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  const auto sent = std::chrono::steady_clock::now();
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 504 "));
  CHECK(std::chrono::steady_clock::now() - sent < milliseconds(600 + 250));
}

TEST_CASE_METHOD(GatewayFixture,
                 "requests that can't succeed are refused at once") {
  SECTION("no server") {
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 503 "));
    CHECK(Has(caller.received(), "Retry-After: 0.4"));
  }
  SECTION("no reachable server") {
    AddServer("a", "plain", Always(kGoodReply)).Crash();
    ScriptedCaller& caller =
        SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  }
  SECTION("no route") {
    ScriptedCaller& caller = SendRequest("GET", "/other/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 404 "));
  }
  SECTION("unknown key") {
    ScriptedCaller& caller =
        SendRequest("GET", "/keyed/x", "r1", "X-Api-Key: no\r\n");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 401 "));
  }
  SECTION("no configuration yet") {
    state.config = nullptr;
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 503 "));
  }
}

TEST_CASE_METHOD(GatewayFixture, "a team over its limit gets a Retry-After") {
  AddServer("a", "plain", Always(kGoodReply));
  std::string all;
  for (int i = 0; i < 4 && !Has(all, "429"); ++i) {
    ScriptedCaller& caller =
        SendRequest("GET", "/keyed/x", "r" + std::to_string(i),
                    "X-Api-Key: key\r\nToken-Count: 6,2\r\n");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    all += caller.received();
  }
  CHECK(Has(all, "HTTP/1.1 200 "));
  CHECK(Has(all, "HTTP/1.1 429 "));
  CHECK(Has(all, "Retry-After: "));
}

TEST_CASE_METHOD(GatewayFixture, "content that crashes servers gets blocked") {
  std::vector<ScriptedServer*> servers;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(&AddServer(std::to_string(i), "chat",
                                 [&servers, i](size_t, const HttpHead&) {
                                   servers[static_cast<size_t>(i)]->Crash();
                                   return ScriptedReply{.then = Then::kStall};
                                 }));
  }
  std::string all;
  for (int i = 0; i < 5; ++i) {
    ScriptedCaller& caller =
        SendRequest("GET", "/stream/x", "r" + std::to_string(i));
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    RunFor(milliseconds(30));
    all += caller.received();
  }
  size_t crashed = 0;
  for (const ScriptedServer* server : servers) {
    crashed += server->requests().size();
  }
  CHECK(crashed == CrashTracker::kBlockThreshold);
  CHECK(Has(all, "HTTP/1.1 422 "));
}

TEST_CASE_METHOD(GatewayFixture, "pipelined requests are answered in order") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.later = StampedAnswer(200, "body")};
  });
  ScriptedCaller& caller = AddCaller();
  for (const char* id : {"r1", "r2", "r3"}) {
    caller.Send(std::string("GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: ") +
                id + "\r\n\r\n");
  }
  REQUIRE(RunUntil([&] { return Has(caller.received(), "Request-Id: r3"); }));
  const std::string& text = caller.received();
  CHECK(text.find("Request-Id: r1") < text.find("Request-Id: r2"));
  CHECK(text.find("Request-Id: r2") < text.find("Request-Id: r3"));
  CHECK_FALSE(caller.closed());
}

TEST_CASE_METHOD(GatewayFixture,
                 "a draining node finishes its answers and closes") {
  AddServer("a", "plain", Always({.later = StampedAnswer(200, "body")}));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  RunFor(milliseconds(10));
  state.draining_since = MonotonicNow();
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(Has(caller.received(), "body"));
  CHECK(Has(caller.received(), "Connection: close\r\n"));
  // Streams that arrive late while draining could outlive the node.
  state.draining_since = MonotonicNow() - std::chrono::seconds(4);
  ScriptedCaller& late = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return late.closed(); }));
  CHECK(Has(late.received(), "HTTP/1.1 503 "));
}

// Guards against a node that stops during a rolling restart before an answer is
// written, which loses the answer (menzaterv-quetzal trouble-2, LOST).
TEST_CASE_METHOD(GatewayFixture,
                 "an answer is unfinished until it is written") {
  AddServer("a", "plain", Always(kGoodReply));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return state.open_requests == 1; }));
  CHECK(state.unfinished_answers == 1);
  // The request finishes once its answer is known, before it is written.
  REQUIRE(RunUntil([&] { return state.open_requests == 0; }));
  CHECK(state.unfinished_answers == 1);
  CHECK(caller.received().empty());
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(state.unfinished_answers == 0);
}

TEST_CASE_METHOD(GatewayFixture, "a malformed request ends the connection") {
  AddServer("a", "plain", Always(kGoodReply));
  ScriptedCaller& caller = AddCaller();
  caller.Send(
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\n\r\n");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(Has(caller.received(), "HTTP/1.1 400 "));
  CHECK(state.open_requests == 0);
}

}  // namespace qh
