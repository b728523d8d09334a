// A server that writes a refusal of an earlier request once more, where the
// answer to a later one is due. It tells nothing about that one, which runs.

#include <catch2/catch.hpp>

#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;

std::string Refusal(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + " No\r\n" +
         (id.empty() ? "" : "Request-Id: " + id + "\r\n") +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

// Answers the first request, then writes `refusal` before the answer to each
// further one.
ScriptedServer::Script RefusesLate(const std::string& refusal) {
  return [refusal](size_t request, const HttpHead&) {
    return request == 0 ? ScriptedReply{.later = StampedAnswer(200, "ok")}
                        : ScriptedReply{.bytes = refusal,
                                        .later = StampedAnswer(200, "ran")};
  };
}

struct RepeatFixture : GatewayFixture {
  ScriptedCaller& Ask(const std::string& path, const std::string& id) {
    ScriptedCaller& caller = SendRequest("GET", path, id);
    RunUntil([&] { return !caller.received().empty() || caller.closed(); });
    return caller;
  }
  // Number of times that a request with this id reached `server`.
  static size_t Arrivals(const ScriptedServer& server, const std::string& id) {
    size_t arrivals = 0;
    for (const HttpHead& head : server.requests()) {
      arrivals += *head.Find("Request-Id") == id ? 1 : 0;
    }
    return arrivals;
  }
};

}  // namespace

// Guards against a request that runs at two servers, or is refused as not run
// and runs (TWICE, REFUSED).
TEST_CASE_METHOD(RepeatFixture,
                 "an earlier refusal written once more refuses nothing") {
  const std::string status = GENERATE("503", "421", "429");
  const std::string id = GENERATE("", "w1");
  CAPTURE(status, id);
  const auto& a = AddServer("a", "plain", RefusesLate(Refusal(status, id)));
  const auto& b = AddServer("b", "plain", RefusesLate(Refusal(status, id)));
  // A warm connection to each: the second request comes while the first runs.
  SendRequest("GET", "/unsafe/x", "w1");
  RunFor(milliseconds(10));
  SendRequest("GET", "/unsafe/x", "w2");
  RunFor(milliseconds(80));
  REQUIRE(a.requests().size() == 1);
  REQUIRE(b.requests().size() == 1);
  const ScriptedCaller& caller = Ask("/unsafe/x", "due");
  CHECK(Arrivals(a, "due") + Arrivals(b, "due") == 1);
  CHECK(caller.received().find(" 503 ") == std::string::npos);
  CHECK(caller.received().find(" 421 ") == std::string::npos);
  CHECK(caller.received().find(" 429 ") == std::string::npos);
  CHECK(caller.received().find("ran") != std::string::npos);
  // A connection on which that happened isn't used again.
  CHECK(a.closed() + b.closed() >= 1);
}

TEST_CASE_METHOD(RepeatFixture,
                 "the first answer on a connection may refuse without an id") {
  const auto& a = AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = Refusal("503", "")};
  });
  const ScriptedCaller& caller = Ask("/unsafe/x", "r");
  CHECK(caller.received().find(" 503 ") != std::string::npos);
  CHECK(a.requests().size() == 1);
}

TEST_CASE_METHOD(RepeatFixture, "interim answers are no answers before it") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes =
                             "HTTP/1.1 103 Hints\r\n\r\n" + Refusal("503", "")};
  });
  CHECK(Ask("/unsafe/x", "r").received().find(" 503 ") != std::string::npos);
}

TEST_CASE_METHOD(
    RepeatFixture,
    "a refusal written again after its answer ends the connection") {
  const auto& a = AddServer("a", "plain", [](size_t request, const HttpHead&) {
    return request == 0 ? ScriptedReply{.bytes = StampedAnswer(200, "ok"),
                                        .later = Refusal("503", "")}
                        : ScriptedReply{.bytes = StampedAnswer(200, "ran")};
  });
  Ask("/unsafe/x", "w");
  RunFor(milliseconds(60));
  CHECK(Ask("/unsafe/x", "due").received().find("ran") != std::string::npos);
  CHECK(a.connections() == 2);
}

}  // namespace qh
