// Failures that operators of similar systems have met: answers cut anywhere,
// second answers, slow and stalled streams, bytes that no decoder expects.

#include <catch2/catch.hpp>

#include "qh_core/random/rng.h"
#include "qh_gateway/control/gateway_settings.h"
#include "qh_gateway/control/peer_heartbeat.h"
#include "qh_gateway/decisions/store/store_mirror.h"
#include "qh_gateway/forwarding/answer_serialization.h"
#include "qh_platform/lease/lease_record.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool IsAnswered(const ScriptedCaller& caller) {
  return caller.closed() || Has(caller.received(), "\r\n\r\n");
}

// Whether the caller has received an answer that it must take for a complete
// success.
bool LooksComplete(const std::string& received) {
  HttpParser parser(MessageKind::kAnswer, {});
  if (!parser.Feed(received) || !parser.head_done()) {
    return false;
  }
  const bool success = parser.head().status < 300;
  return success &&
         (parser.done() || (parser.framing() == BodyFraming::kUntilClose));
}

std::string LengthAnswer() {
  return "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n"
         "Content-Length: 12\r\n\r\nhello, world";
}

std::string ChunkedAnswer() {
  return "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         EncodeChunk("hello,", 1) + EncodeChunk(" world", 1) +
         EncodeLastChunk(1);
}

std::string StreamAnswer() {
  return StreamHead() + Events(1, 2) + Events(3, 3) + EncodeLastChunk(1);
}

// Changes, removes, repeats or adds some bytes of `text`.
std::string Mutated(std::string text, Rng& rng) {
  const size_t changes = 1 + rng.Below(4);
  for (size_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = rng.Below(text.size());
    const char byte = static_cast<char>(rng.Below(256));
    switch (rng.Below(5)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.erase(at, 1 + rng.Below(8));
        break;
      case 2:
        text.insert(at, 1 + rng.Below(8), byte);
        break;
      case 3:
        text.insert(at, text.substr(at, 1 + rng.Below(16)));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

PeerHeartbeat FullHeartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.node = "n";
  heartbeat.incarnation = "i";
  heartbeat.members = {{"m", {"10.0.0.1", 7}, true, false, 3}};
  heartbeat.departures = {{ServerId("s1"), 5}};
  heartbeat.pauses = {{ServerId("s2"), std::chrono::seconds(3)}};
  heartbeat.outstanding_work = {{ServerId("s"), {3, 4'000}}};
  heartbeat.team_totals = {{TeamId("t"), 1.5}};
  heartbeat.usage = {{353445120, {{TeamId("t"), 412}}}};
  heartbeat.crashes = {.made = TimePoint(std::chrono::seconds(9)),
                       .records = {{2,
                                    ~uint64_t{0},
                                    {4, ~uint64_t{0}},
                                    TimePoint(std::chrono::seconds(8))}},
                       .sound = {{6, TimePoint(std::chrono::seconds(7))}},
                       .verdicts = {{{4, 8},
                                     TimePoint(std::chrono::seconds(3)),
                                     TimePoint(std::chrono::seconds(4)),
                                     TimePoint(std::chrono::seconds(5)),
                                     2,
                                     3}}};
  heartbeat.prefill_rates = {{"chat", 0.5}};
  return heartbeat;
}

}  // namespace

TEST_CASE_METHOD(GatewayFixture,
                 "an answer cut anywhere never looks complete") {
  struct Case {
    std::string answer;
    std::string path;
  };
  const Case tried = GENERATE(Case{LengthAnswer(), "/unsafe/x"},
                              Case{ChunkedAnswer(), "/unsafe/x"},
                              Case{StreamAnswer(), "/stream/x"});
  const std::string& answer = tried.answer;
  const std::string& path = tried.path;
  const bool reset = GENERATE(false, true);
  size_t cut = 0;
  const Then then = reset ? Then::kReset : Then::kHalfClose;
  AddServer("a", path == "/stream/x" ? "chat" : "plain",
            [&](size_t, const HttpHead&) {
              return ScriptedReply{.bytes = answer.substr(0, cut),
                                   .then = then};
            });
  // A reset takes longer, so fewer places are tried.
  const size_t step = reset ? 11 : 1;
  for (; cut < answer.size(); cut += step) {
    CAPTURE(answer.substr(0, cut), reset);
    ScriptedCaller& caller =
        SendRequest("GET", path, "r" + std::to_string(cut));
    REQUIRE(RunUntil([&] { return IsAnswered(caller); }));
    RunUntil([&] { return caller.closed() || Has(caller.received(), " 50"); });
    CHECK_FALSE(LooksComplete(caller.received()));
  }
}

// Guards against a stream that looks complete to a caller of HTTP/1.0, for whom
// it ends with its connection.
TEST_CASE_METHOD(GatewayFixture,
                 "an answer of HTTP/1.0 that ends early is reset") {
  struct Case {
    const char* name;
    ScriptedReply reply;
    bool complete;
  };
  const std::string begun = StreamHead() + Events(1, 2);
  const auto tried = GENERATE_COPY(
      Case{"whole", {.bytes = begun + EncodeLastChunk(1)}, true},
      Case{
          "reset by its server", {.bytes = begun, .then = Then::kReset}, false},
      Case{"closed", {.bytes = begun, .then = Then::kHalfClose}, false},
      Case{"cut within an event",
           {.bytes = begun + "3\r\nid:\r\n0\r\n\r\n"},
           false},
      Case{"without end", {.bytes = begun, .then = Then::kStall}, false});
  CAPTURE(tried.name);
  AddServer("a", "chat", [&](size_t, const HttpHead&) { return tried.reply; });
  ScriptedCaller& caller = AddCaller();
  caller.Send("GET /stream/x HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n\r\n");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CHECK(caller.was_reset() != tried.complete);
  CHECK(Has(caller.received(), "id: 2\n") >= tried.complete);
}

// Guards against a stream that goes on with what is no part of it, or that ends
// as if it were complete.
TEST_CASE_METHOD(GatewayFixture,
                 "a stream does not go on with another kind of answer") {
  const auto further = GENERATE(
      as<std::string>(),
      "HTTP/1.1 204 None\r\nRequest-Id: %ID%\r\nServer-Stamp: t\r\n\r\n",
      "HTTP/1.1 206 Part\r\nRequest-Id: %ID%\r\nServer-Stamp: t\r\n"
      "Content-Type: text/event-stream\r\nContent-Length: 11\r\n\r\n"
      "data: odd\n\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: t\r\n"
      "Content-Type: text/html\r\nContent-Length: 12\r\n\r\n<p>odd</p>\n\n",
      "HTTP/1.1 404 Odd\r\nRequest-Id: %ID%\r\nServer-Stamp: t\r\n"
      "Content-Length: 5\r\n\r\nodd\n\n",
      "HTTP/1.1 302 Odd\r\nRequest-Id: %ID%\r\nLocation: /odd\r\n"
      "Content-Length: 0\r\n\r\n");
  const int minor_version = GENERATE(0, 1);
  const auto script = [&](size_t, const HttpHead& head) {
    return head.Find("Last-Event-Id") == nullptr
               ? ScriptedReply{.bytes = StreamHead() + Events(1, 2),
                               .then = Then::kReset}
               : ScriptedReply{.bytes = further};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = AddCaller();
  caller.Send("GET /resume/x HTTP/1." + std::to_string(minor_version) +
              "\r\nHost: h\r\nRequest-Id: r1\r\n\r\n");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  CAPTURE(further, caller.received());
  CHECK_FALSE(Has(caller.received(), "odd"));
  CHECK_FALSE(Has(caller.received(), EncodeLastChunk(1)));
  CHECK(caller.was_reset() == (minor_version == 0));
}

// The run may have been broken off after its last event.
TEST_CASE_METHOD(GatewayFixture,
                 "a stream ends where the next server has no more events") {
  const auto script = [&](size_t, const HttpHead& head) {
    return head.Find("Last-Event-Id") == nullptr
               ? ScriptedReply{.bytes = StreamHead() + Events(1, 2),
                               .then = Then::kReset}
               : ScriptedReply{.bytes = StreamHead() + EncodeLastChunk(1)};
  };
  AddServer("a", "chat", script);
  AddServer("b", "chat", script);
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  CHECK(RunUntil([&] { return LooksComplete(caller.received()); }));
}

TEST_CASE_METHOD(GatewayFixture, "an answer without content has no body") {
  AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes =
                             "HTTP/1.1 204 None\r\nRequest-Id: %ID%\r\n"
                             "Server-Stamp: t\r\n\r\n"};
  });
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return IsAnswered(caller); }));
  RunFor(milliseconds(20));
  CHECK(Has(caller.received(), " 204 "));
  CHECK(caller.received().find("\r\n\r\n") + 4 == caller.received().size());
}

// A second copy of an answer arrives late, on a connection that would be used
// again for another caller.
TEST_CASE_METHOD(GatewayFixture,
                 "a late second answer reaches no other caller") {
  const std::string first =
      GENERATE(StampedAnswer(200, "mine"), StampedAnswer(200, ""),
               std::string("HTTP/1.1 100 Continue\r\n\r\n") +
                   StampedAnswer(200, "mine"));
  AddServer("a", "plain", [&](size_t request, const HttpHead&) {
    return ScriptedReply{
        .bytes = request == 0 ? first : StampedAnswer(200, "yours"),
        .later = request == 0 ? StampedAnswer(200, "stale") : std::string()};
  });
  ScriptedCaller& caller = SendRequest("GET", "/unsafe/x", "r1");
  REQUIRE(RunUntil([&] { return IsAnswered(caller); }));
  // Some requests go out before the second answer comes, some after.
  const Duration pause = GENERATE(milliseconds(0), milliseconds(28),
                                  milliseconds(32), milliseconds(60));
  RunFor(pause);
  for (int i = 0; i < 3; ++i) {
    ScriptedCaller& next =
        SendRequest("GET", "/unsafe/x", "s" + std::to_string(i));
    REQUIRE(RunUntil([&] { return IsAnswered(next); }));
    RunFor(milliseconds(5));
    CHECK_FALSE(Has(next.received(), "stale"));
    CHECK(Has(next.received(), "yours"));
  }
}

// The events come slower than the route's target, and there is no other server.
TEST_CASE_METHOD(GatewayFixture, "a slow but sound stream is not cut") {
  auto& server = AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 1),
                         .then = Then::kStall};
  });
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 1\n"); }));
  for (int event = 2; event <= 3; ++event) {
    RunFor(milliseconds(260));
    server.SendStalled(Events(event, event));
  }
  server.SendStalled(EncodeLastChunk(1));
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 3\n"); }));
  REQUIRE(RunUntil([&] { return LooksComplete(caller.received()); }));
  CHECK(server.requests().size() == 1);
}

// The same when the retry budget is used up.
TEST_CASE_METHOD(GatewayFixture,
                 "a slow stream goes on when it may not be retried") {
  auto& server = AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 1),
                         .then = Then::kStall};
  });
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 1\n"); }));
  AddServer("b", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.then = Then::kReset};
  });
  while (state.retry_budget.TryAcquire("chat", 1, MonotonicNow())) {
  }
  RunFor(milliseconds(260));
  server.SendStalled(Events(2, 2) + EncodeLastChunk(1));
  REQUIRE(RunUntil([&] { return LooksComplete(caller.received()); }));
}

// A byte now and then is no progress: the stream goes on elsewhere, or ends
// with its deadline.
TEST_CASE_METHOD(GatewayFixture, "a stream that drips bytes ends") {
  const std::string path = GENERATE("/resume/x", "/stream/x");
  auto& server = AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 1),
                         .then = Then::kStall};
  });
  ScriptedCaller& caller = SendRequest("GET", path);
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 1\n"); }));
  const auto& other = AddServer("b", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes =
                             StreamHead() + Events(2, 3) + EncodeLastChunk(1)};
  });
  const TimePoint start = MonotonicNow();
  while (!caller.closed() && !Has(caller.received(), "id: 3\n") &&
         MonotonicNow() - start < std::chrono::seconds(3)) {
    RunFor(milliseconds(50));
    server.SendStalled(EncodeChunk("d", 1));
  }
  // The route's timeout is 900 ms.
  CHECK(MonotonicNow() - start < milliseconds(1'500));
  CHECK(other.requests().size() == (path == "/resume/x" ? 1 : 0));
}

TEST_CASE_METHOD(GatewayFixture, "no bytes of a caller end the process") {
  const std::string request = GENERATE(
      "GET /\xff\xfe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n",
      "GET /safe/x HTTP/1.1\r\nHost: \xc3\x28\r\nRequest-Id: r\r\n\r\n",
      "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: \xff\r\n\r\n",
      "GET /keyed/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
      "X-Api-Key: \x80\r\n\r\n");
  ScriptedCaller& caller = AddCaller();
  caller.Send(request);
  CHECK(RunUntil([&] { return IsAnswered(caller); }));
}

TEST_CASE_METHOD(GatewayFixture, "mutated requests end themselves alone") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  Rng rng(GENERATE(range(1, 8)));
  const std::string request =
      "POST /safe/x?y=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Token-Count: 10,5\r\nPrompt-Prefix: a1:5,b2:7\r\nDeadline-Ms: 400\r\n"
      "Length-Hint: 3\r\nContent-Length: 4\r\n\r\nbody";
  for (int i = 0; i < 60; ++i) {
    ScriptedCaller& caller = AddCaller();
    caller.Send(Mutated(request, rng));
    RunFor(milliseconds(1));
    caller.Disconnect();
  }
  ScriptedCaller& sound = SendRequest("GET", "/safe/x", "last");
  REQUIRE(RunUntil([&] { return IsAnswered(sound); }));
  CHECK(Has(sound.received(), "200 Said"));
}

TEST_CASE_METHOD(GatewayFixture, "mutated answers end themselves alone") {
  Rng rng(GENERATE(range(1, 8)));
  const std::string answer =
      GENERATE(LengthAnswer(), ChunkedAnswer(), StreamAnswer());
  bool sound = false;
  const auto script = [&](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = sound ? answer : Mutated(answer, rng),
                         .then = sound ? Then::kKeepOpen : Then::kHalfClose};
  };
  AddServer("a", "chat", script);
  AddServer("b", "plain", script);
  const std::string path = answer == StreamAnswer() ? "/resume/x" : "/safe/x";
  for (int i = 0; i < 60; ++i) {
    SendRequest("GET", path, "r" + std::to_string(i));
    RunFor(milliseconds(2));
  }
  sound = true;
  RunFor(std::chrono::seconds(1));
  ScriptedCaller& last = SendRequest("GET", path, "last");
  REQUIRE(RunUntil([&] { return IsAnswered(last); }));
}

TEST_CASE("no decoder lets an exception out") {
  const uint64_t seed = GENERATE(range(1, 9));
  Rng rng(seed);
  const WireCodec codec = platform::MakeCodec();
  const std::string heartbeat = FullHeartbeat().Encode();
  const std::string list =
      R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}}],)"
      R"("hasMore":true,"asOf":9})";
  const std::string events =
      R"({"events":[{"removed":true,"object":{"metadata":{"name":"main",)"
      R"("revision":7},"spec":{}}}],"asOf":7})";
  const std::string server =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"1",)"
      R"("slots":4,"state":"ready","coldRemainingMs":5,"sequence":1,"born":9})";
  const std::string config =
      R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
      R"("routeKind":"safe","service":"s","timeoutMs":600}],"services":)"
      R"([{"name":"s","engine":{"slots":4}}],"tenants":[{"name":"t",)"
      R"("apiKeys":["k"],"ratePerS":10,"burst":40}]})";
  const std::string update =
      R"({"epoch":1,"revision":3,"complete":true,"objects":{"a":"b"}})";
  const std::string lease = LeaseRecord{.holder = "h"}.Encode();
  const std::string settings =
      R"({"node":"n","callers":"10.0.0.1:1","lease_ms":3000})";
  size_t accepted = 0;
  const auto count = [&](const auto& result) { accepted += result ? 1 : 0; };
  for (int i = 0; i < 4'000; ++i) {
    const auto decoded = PeerHeartbeat::Decode(Mutated(heartbeat, rng));
    if (decoded) {
      // What was accepted can be passed on and reported.
      decoded.value().Encode();
      UsageReport report;
      for (const auto& [window, teams] : decoded.value().usage) {
        report.requests.insert(teams.begin(), teams.end());
      }
      codec.write_usage(report, {});
    }
    count(codec.store.read_list(Mutated(list, rng)));
    count(codec.store.read_events(Mutated(events, rng)));
    count(codec.store.read_object(Mutated(list, rng)));
    count(codec.read_server({.name = "a", .content = Mutated(server, rng)}));
    count(codec.read_config(Mutated(config, rng)));
    StoreMirror mirror;
    if (const auto read = StoreMirror::Decode(Mutated(update, rng), {});
        read && mirror.Take(read.value())) {
      mirror.EncodeSince({});
    }
    count(LeaseRecord::Decode(Mutated(lease, rng)));
    count(GatewaySettings::Parse(Mutated(settings, rng), "file"));
    count(codec.read_migration_handle({"10.0.0.1", 1}, Mutated(update, rng)));
  }
  // Some mutations leave the message well-formed, or nothing was tried.
  CHECK(accepted > 0);
}

}  // namespace qh
