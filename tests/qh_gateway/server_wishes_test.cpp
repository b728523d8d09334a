// What servers say of themselves in their answers: that they leave, or that
// they want no requests for some time. Also answers that never end.

#include <catch2/catch.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Then = ScriptedReply::Then;

// Returns a refusal that asks for a pause.
std::string Refusal(const std::string& retry_after) {
  return "HTTP/1.1 503 Full\r\nRequest-Id: %ID%\r\nNot-Executed: 1\r\n"
         "Retry-After: " +
         retry_after + "\r\nContent-Length: 0\r\n\r\n";
}

std::string LeavingAnswer(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Said\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nServer-Leaving: 1\r\n"
         "Content-Length: 2\r\n\r\nok";
}

bool IsAnswered(const ScriptedCaller& caller) {
  return caller.received().find("\r\n\r\n") != std::string::npos;
}

// Returns the status line's code.
std::string StatusOf(const ScriptedCaller& caller) {
  return caller.received().substr(9, 3);
}

struct WishFixture : GatewayFixture {
  // Sends a request, waits for its answer, and returns the status.
  std::string Ask(const std::string& path, const std::string& id) {
    ScriptedCaller& caller = SendRequest("GET", path, id);
    REQUIRE(RunUntil([&] { return IsAnswered(caller) || caller.closed(); }));
    return caller.received().empty() ? "none" : StatusOf(caller);
  }
};

}  // namespace

TEST_CASE_METHOD(WishFixture,
                 "a server that says it leaves gets nothing more") {
  const int status = GENERATE(200, 500);
  const auto& leaving = AddServer("a", "plain", [=](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = LeavingAnswer(status)};
  });
  CHECK(Ask("/unsafe/x", "r1") == std::to_string(status));
  const auto& other = AddServer("b", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  // Its registration still says that it is ready.
  ServerRecord record = *state.directory.Find(ServerId("a"));
  record.draining = false;
  state.directory.OnServer(record, MonotonicNow());
  for (int i = 0; i < 8; ++i) {
    CHECK(Ask("/unsafe/x", "s" + std::to_string(i)) == "200");
  }
  CHECK(leaving.requests().size() == 1);
  CHECK(other.requests().size() == 8);
  CHECK(state.directory.departures().Recent(MonotonicNow()).size() == 1);
  SECTION("a new process under its id takes requests") {
    record.started_ms = 5;
    state.directory.OnServer(record, MonotonicNow());
    CHECK(state.directory.Usable("plain").size() == 2);
  }
}

TEST_CASE_METHOD(WishFixture, "a peer's word that a server leaves is enough") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  state.directory.OnLeaving({ServerId("a"), 0}, MonotonicNow());
  CHECK(Ask("/unsafe/x", "r1") == "503");
}

TEST_CASE_METHOD(WishFixture, "another server's answer tells nothing") {
  AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes =
                             "HTTP/1.1 421 No\r\nServer-Leaving: 1\r\n"
                             "Retry-After: 9\r\nContent-Length: 0\r\n\r\n"};
  });
  Ask("/unsafe/x", "r1");
  CHECK(state.directory.Usable("plain").size() == 1);
  CHECK_FALSE(state.picker.IsPaused(ServerId("a"), MonotonicNow()));
}

TEST_CASE_METHOD(WishFixture,
                 "a server that asks for a pause gets nothing for its time") {
  const auto& busy = AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = Refusal("0.6")};
  });
  CHECK(Ask("/unsafe/x", "r1") == "503");
  const TimePoint asked = MonotonicNow();
  // With every server paused, callers are refused at once and told when to
  // return.
  ScriptedCaller& caller = SendRequest("GET", "/unsafe/x", "r2");
  REQUIRE(RunUntil([&] { return IsAnswered(caller); }));
  CHECK(MonotonicNow() - asked < milliseconds(200));
  CHECK(StatusOf(caller) == "503");
  CHECK(caller.received().find("Retry-After: ") != std::string::npos);
  for (int i = 0; i < 4; ++i) {
    CHECK(Ask("/unsafe/x", "s" + std::to_string(i)) == "503");
  }
  CHECK(busy.requests().size() == 1);
  RunFor(asked + milliseconds(650) - MonotonicNow());
  Ask("/unsafe/x", "t");
  CHECK(busy.requests().size() == 2);
}

TEST_CASE_METHOD(WishFixture,
                 "a pause that is no positive number is no pause") {
  const std::string text =
      GENERATE("-1", "0", "soon", "", "nan", "inf", "1e999");
  CAPTURE(text);
  AddServer("a", "plain", [=](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = Refusal(text)};
  });
  Ask("/unsafe/x", "r1");
  CHECK_FALSE(state.picker.IsPaused(ServerId("a"), MonotonicNow()));
}

TEST_CASE("a pause is cut to the longest one") {
  ServerPauses pauses;
  const TimePoint now{seconds(1'000)};
  pauses.OnAsked(ServerId("a"), std::chrono::hours(5), now);
  CHECK(pauses.Remaining(ServerId("a"), now) == ServerPauses::kMaxPause);
  // A shorter one doesn't end it.
  pauses.OnAsked(ServerId("a"), seconds(1), now);
  CHECK(pauses.Remaining(ServerId("a"), now) == ServerPauses::kMaxPause);
  CHECK_FALSE(pauses.Remaining(ServerId("a"), now + ServerPauses::kMaxPause));
}

// The server sends bytes until the gateway closes: in the head of an answer, in
// a body without length, in chunks, and in an event that never ends.
TEST_CASE_METHOD(WishFixture, "an answer without end is given up") {
  const std::string start =
      GENERATE(std::string("HTTP/1.1 200 OK\r\nX: "),
               std::string("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n\r\n"),
               std::string("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"),
               std::string("no answer at all "));
  const std::string path = GENERATE("/unsafe/x", "/stream/x");
  CAPTURE(start, path);
  auto& server =
      AddServer("a", path == "/unsafe/x" ? "plain" : "chat",
                [&](size_t, const HttpHead&) {
                  return ScriptedReply{.bytes = start, .then = Then::kFlood};
                });
  ScriptedCaller& caller = SendRequest("GET", path, "r1");
  REQUIRE(RunUntil([&] { return IsAnswered(caller) || caller.closed(); }));
  // Told truthfully: it may have run.
  CHECK(caller.received().find("200 OK") == std::string::npos);
  CHECK((caller.received().empty() || StatusOf(caller)[0] == '5'));
  CHECK(caller.received().find(" 503 ") == std::string::npos);
  CHECK(RunUntil([&] { return server.flooding() == 0; }));
  CHECK(server.flooded_bytes() < (size_t{24} << 20U));
}

}  // namespace qh
