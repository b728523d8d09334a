// One request through the data path, and every way in which a server or a
// caller can spoil it.

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/stream_migration.h"
#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

ScriptedServer::Script Always(ScriptedReply move) {
  return [move](size_t, const HttpHead&) { return move; };
}

const ScriptedReply kGood{.bytes = StampedAnswer(200, "body")};
const std::string kEndOfStream = "0\r\n\r\n";

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "an answer comes back as the server gave it") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGood));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x?y=1");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 200 Said\r\n"));
  CHECK(Has(caller.received(), "Server-Stamp: stamp\r\n"));
  REQUIRE(server.requests().size() == 1);
  CHECK(server.requests()[0].target == "/safe/x?y=1");
  CHECK(*server.requests()[0].Find("Expect-Instance") == "a");
  CHECK(server.requests()[0].NumberOr("Deadline-Ms", 0) <= 600);
}

TEST_CASE_METHOD(GatewayFixture, "a request that may run once is sent once") {
  const auto move = GENERATE(
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
  ScriptedServer& a = AddServer("a", "plain", Always(move));
  ScriptedServer& b = AddServer("b", "plain", Always(move));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 502 "));
  CHECK_FALSE(Has(caller.received(), "Server-Stamp"));
  CHECK(a.requests().size() + b.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "a rejection is passed on as not run") {
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

TEST_CASE_METHOD(GatewayFixture, "an idempotent request is taken elsewhere") {
  const auto move =
      GENERATE(ScriptedReply{.bytes = StampedAnswer(500, "failed")},
               ScriptedReply{.then = Then::kReset},
               ScriptedReply{.bytes = "HTTP/1.1 421 Other\r\nInstance-Id: "
                                      "z\r\nContent-Length: 0\r\n\r\n"},
               ScriptedReply{.then = Then::kStall});
  ScriptedServer& a = AddServer("a", "plain", [&](size_t, const HttpHead&) {
    return state.connection_pool.connections_made() > 1 ? kGood : move;
  });
  ScriptedServer& b = AddServer("b", "plain", [&](size_t, const HttpHead&) {
    return state.connection_pool.connections_made() > 1 ? kGood : move;
  });
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 200 "));
  CHECK(a.requests().size() == 1);
  CHECK(b.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "a failure of the last server is passed on") {
  AddServer("a", "plain", Always({.bytes = StampedAnswer(500, "failed")}));
  AddServer("b", "plain", Always({.bytes = StampedAnswer(500, "failed")}));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "failed"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 500 "));
  CHECK(Has(caller.received(), "Server-Stamp: stamp"));
}

TEST_CASE_METHOD(GatewayFixture, "a second answer reaches nobody") {
  SECTION("at once") {
    AddServer("a", "plain",
              Always({.bytes = StampedAnswer(200, "body") +
                               StampedAnswer(200, "again")}));
  }
  SECTION("later, where the next answer is due") {
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
                 "an answer without a length ends orderly or not") {
  AddServer("a", "plain",
            Always({.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                             "Server-Stamp: stamp\r\n\r\nwhole",
                    .then = Then::kHalfClose}));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "whole"); }));
  CHECK(Has(caller.received(), "Content-Length: 5\r\n"));
}

TEST_CASE_METHOD(GatewayFixture,
                 "a sound connection to a server is used again") {
  ScriptedServer& server = AddServer("a", "plain", Always(kGood));
  for (int i = 0; i < 3; ++i) {
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  }
  CHECK(server.connections() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "one that was closed while idle is not") {
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
                 "a stream is passed on as it comes, and whole") {
  AddServer("a", "chat",
            Always({.bytes = StreamHead() + Events(1, 2),
                    .later = Events(3, 3) + kEndOfStream}));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 2"); }));
  CHECK_FALSE(Has(caller.received(), "id: 3"));
  REQUIRE(RunUntil([&] { return Has(caller.received(), kEndOfStream); }));
  CHECK(Has(caller.received(), "id: 3"));
}

TEST_CASE_METHOD(GatewayFixture, "a stream that breaks never looks complete") {
  ScriptedServer& a =
      AddServer("a", "chat",
                Always({.bytes = StreamHead() + Events(1, 2) + "6\r\nid: 3\n",
                        .then = Then::kReset}));
  AddServer("b", "plain", Always(kGood));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(Has(caller.received(), "id: 2"));
  CHECK_FALSE(Has(caller.received(), "id: 3"));
  CHECK_FALSE(Has(caller.received(), kEndOfStream));
  CHECK(a.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "a resumable stream goes on without a gap") {
  const ScriptedReply broken{
      .bytes = StreamHead() + Events(1, 2) + "6\r\nid: 3\n",
      .then = Then::kReset};
  const auto script = [&](size_t, const HttpHead& head) {
    const std::string* last = head.Find("Last-Event-Id");
    if (last == nullptr) {
      return broken;
    }
    // It repeats one event; the caller must not see it twice.
    return ScriptedReply{.bytes = StreamHead() + Events(std::stoi(*last), 4) +
                                  kEndOfStream};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), kEndOfStream); }));
  const std::string& text = caller.received();
  for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
    CHECK(Has(text, id));
    CHECK(text.find(id) == text.rfind(id));
  }
  // One head: that of the first server.
  CHECK(text.find("HTTP/1.1") == text.rfind("HTTP/1.1"));
}

TEST_CASE_METHOD(GatewayFixture,
                 "a resumable stream that falls silent moves on") {
  const auto script = [&](size_t, const HttpHead& head) {
    return head.Find("Last-Event-Id") == nullptr
               ? ScriptedReply{.bytes = StreamHead() + Events(1, 1),
                               .then = Then::kStall}
               : ScriptedReply{.bytes =
                                   StreamHead() + Events(2, 2) + kEndOfStream};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), kEndOfStream); }));
  CHECK(Has(caller.received(), "id: 2"));
}

// Pattern: every reclaimable server of a zone goes seconds after its notice.
TEST_CASE_METHOD(GatewayFixture,
                 "a run moves off a server that is taken away") {
  ScriptedServer* first = nullptr;
  bool copies = true;
  const auto script = [&](size_t, const HttpHead& head) {
    if (head.target == "/kv-move") {
      if (!copies) {
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
      return ScriptedReply{.bytes = StreamHead() + Events(3, 4) + kEndOfStream};
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
  SECTION("its memory goes along") {
    state.directory.OnServer(record);
    REQUIRE(RunUntil([&] { return Has(caller.received(), kEndOfStream); }));
    CHECK(Has(caller.received(), "id: 3"));
    CHECK(Has(caller.received(), "id: 4"));
  }
  SECTION("a refused move leaves the run where it is") {
    copies = false;
    state.directory.OnServer(record);
    REQUIRE(RunUntil([&] { return first->requests().size() == 2; }));
    RunFor(milliseconds(50));
    CHECK_FALSE(caller.closed());
    CHECK(a.requests().size() + b.requests().size() == 2);
    first->EndStalled();
    REQUIRE(RunUntil([&] { return caller.closed(); }));
    CHECK_FALSE(Has(caller.received(), kEndOfStream));
  }
}

TEST_CASE("only runs that outlast their server are moved, and late") {
  CHECK(MigrationDelay(std::chrono::seconds(2)) ==
        std::chrono::seconds(2) - kMigrationLead);
  CHECK(MigrationDelay(milliseconds(100)) == Duration::zero());
  const StreamProgress brisk{
      .events = 11, .running = milliseconds(300), .events_left = 10};
  CHECK_FALSE(ShouldMigrateStream(brisk, milliseconds(800)));
  CHECK(ShouldMigrateStream(brisk, milliseconds(400)));
  CHECK(
      ShouldMigrateStream({.events = 1, .events_left = 5}, milliseconds(800)));
  CHECK(ShouldMigrateStream({.events = 11, .running = milliseconds(300)},
                            milliseconds(800)));
}

TEST_CASE_METHOD(GatewayFixture,
                 "a caller that leaves stops the server's work") {
  ScriptedServer& server = AddServer(
      "a", "chat",
      Always({.bytes = StreamHead() + Events(1, 1), .then = Then::kStall}));
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 1"); }));
  caller.Disconnect();
  const auto left = std::chrono::steady_clock::now();
  REQUIRE(RunUntil([&] { return server.closed() == 1; }));
  CHECK(std::chrono::steady_clock::now() - left < milliseconds(500));
  CHECK(state.open_requests == 0);
  CHECK(state.picker.load().At(ServerId("a")).requests == 0);
}

TEST_CASE_METHOD(GatewayFixture, "the route's time ends with a final answer") {
  AddServer("a", "plain", Always({.then = Then::kStall}));
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  const auto asked = std::chrono::steady_clock::now();
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 504 "));
  CHECK(std::chrono::steady_clock::now() - asked < milliseconds(600 + 250));
}

TEST_CASE_METHOD(GatewayFixture, "what is known to fail is refused at once") {
  SECTION("no server") {
    ScriptedCaller& caller = SendRequest("GET", "/safe/x");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK(Has(caller.received(), "HTTP/1.1 503 "));
    CHECK(Has(caller.received(), "Retry-After: 0.4"));
  }
  SECTION("no server that can be reached") {
    AddServer("a", "plain", Always(kGood)).Crash();
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
  SECTION("no key") {
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

TEST_CASE_METHOD(GatewayFixture,
                 "a team over its limit is told when to return") {
  AddServer("a", "plain", Always(kGood));
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

TEST_CASE_METHOD(GatewayFixture,
                 "a content that kills servers is soon refused") {
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
  size_t died = 0;
  for (const ScriptedServer* server : servers) {
    died += server->requests().size();
  }
  CHECK(died == CrashTracker::kBlockThreshold);
  CHECK(Has(all, "HTTP/1.1 422 "));
}

TEST_CASE_METHOD(GatewayFixture,
                 "requests on one connection are taken in order") {
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

TEST_CASE_METHOD(GatewayFixture, "a stopping node finishes and closes") {
  AddServer("a", "plain", Always({.later = StampedAnswer(200, "body")}));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  RunFor(milliseconds(10));
  state.draining_since = MonotonicNow();
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(Has(caller.received(), "body"));
  CHECK(Has(caller.received(), "Connection: close\r\n"));
  // Streams that come late could outlive the node.
  state.draining_since = MonotonicNow() - std::chrono::seconds(4);
  ScriptedCaller& late = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return late.closed(); }));
  CHECK(Has(late.received(), "HTTP/1.1 503 "));
}

// Pattern: nodes stop in turn; one ended while an answer was still to be
// written (menzaterv-quetzal trouble-2, LOST).
TEST_CASE_METHOD(GatewayFixture, "an answer is open until it has left whole") {
  AddServer("a", "plain", Always(kGood));
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return state.open_requests == 1; }));
  CHECK(state.unfinished_answers == 1);
  // The request is over as soon as its answer is known, before it is written.
  REQUIRE(RunUntil([&] { return state.open_requests == 0; }));
  CHECK(state.unfinished_answers == 1);
  CHECK(caller.received().empty());
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(state.unfinished_answers == 0);
}

TEST_CASE_METHOD(GatewayFixture,
                 "bytes that are no request end the connection") {
  AddServer("a", "plain", Always(kGood));
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
