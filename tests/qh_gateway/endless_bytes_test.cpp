// Servers and callers that send bytes without end where nothing of an answer or
// a request is complete, and what all connections hold together.

#include <catch2/catch.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/fakes/endless_framing.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

GatewaySettings SmallMemory() {
  GatewaySettings settings = GatewayFixture::DefaultSettings();
  settings.memory_mb = 2;
  return settings;
}

struct SmallMemoryFixture : GatewayFixture {
  SmallMemoryFixture() : GatewayFixture(SmallMemory()) {}
};

constexpr size_t kSocketBufferBytes = size_t{8} << 20U;

}  // namespace

// Guards against review/1: such bytes filled the node's memory, and its end
// took all other requests with it.
TEST_CASE_METHOD(GatewayFixture,
                 "a server that frames a body without end is cut off") {
  const auto endless = GENERATE(from_range(EndlessFramings()));
  CAPTURE(endless.name);
  auto& server = AddServer("a", "chat", [&](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 2) + endless.begin,
                         .then = Then::kFlood,
                         .flood = endless.more};
  });
  const TimePoint start = MonotonicNow();
  ScriptedCaller& caller = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] { return caller.closed(); }));
  // Far below the route's timeout, which bounds time and not bytes.
  CHECK(MonotonicNow() - start < milliseconds(450));
  CHECK(Has(caller.received(), "id: 2\n"));
  CHECK_FALSE(Has(caller.received(), "\r\n0\r\n\r\n"));
  CHECK(RunUntil([&] { return server.flooding() == 0; }));
  CHECK(server.flooded_bytes() < kSocketBufferBytes);
  CHECK(state.byte_budget->held() == 0);
}

// The same stream goes on at another server.
TEST_CASE_METHOD(GatewayFixture, "a stream goes on after framing without end") {
  const auto endless = GENERATE(from_range(EndlessFramings()));
  CAPTURE(endless.name);
  AddServer("a", "chat", [&](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 2) + endless.begin,
                         .then = Then::kFlood,
                         .flood = endless.more};
  });
  ScriptedCaller& caller = SendRequest("GET", "/resume/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "id: 2\n"); }));
  AddServer("b", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes =
                             StreamHead() + Events(3, 4) + EncodeLastChunk(1)};
  });
  CHECK(RunUntil([&] { return Has(caller.received(), "id: 4\n"); }));
}

// Guards against the same from callers, which a node in the cloud's edge meets
// first.
TEST_CASE_METHOD(GatewayFixture,
                 "a caller that frames a body without end is refused") {
  const auto endless = GENERATE(from_range(EndlessFramings()));
  CAPTURE(endless.name);
  auto& server = AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Transfer-Encoding: chunked\r\n");
  caller.Send("5\r\nhello\r\n" + endless.begin);
  const std::string more = Repeated(endless.more, 16'000);
  size_t sent = 0;
  while (caller.received().empty() && sent < (size_t{2} << 20U)) {
    caller.Send(more);
    sent += more.size();
    RunFor(milliseconds(2));
  }
  CHECK(Has(caller.received(), "400 "));
  CHECK(sent < (size_t{1} << 20U));
  CHECK(server.requests().empty());
  CHECK(state.byte_budget->held() == 0);
}

TEST_CASE_METHOD(GatewayFixture,
                 "answers to other requests without end are cut off") {
  const auto other = GENERATE(
      as<std::string>(), "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 0\r\n\r\n");
  auto& server = AddServer("a", "plain", [&](size_t, const HttpHead&) {
    return ScriptedReply{.then = Then::kFlood, .flood = other};
  });
  ScriptedCaller& caller = SendRequest("GET", "/unsafe/x");
  REQUIRE(RunUntil([&] { return !caller.received().empty(); }));
  CHECK(Has(caller.received(), "502 "));
  CHECK(RunUntil([&] { return server.flooding() == 0; }));
  CHECK(server.flooded_bytes() < 2 * kSocketBufferBytes);
}

// Each answer may hold megabytes; the sum has a bound of its own.
TEST_CASE_METHOD(SmallMemoryFixture,
                 "answers held together have a bound, and small ones go on") {
  auto& server = AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{
        .bytes = StreamHead() + "1000\r\n" + std::string(0x1000, 'x') + "\r\n" +
                 "30000\r\n" + std::string(0x30000, 'x') + "\r\n",
        .then = Then::kStall};
  });
  AddServer("b", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  std::vector<ScriptedCaller*> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(
        &SendRequest("GET", "/stream/x", "r" + std::to_string(i)));
  }
  REQUIRE(RunUntil([&] { return state.byte_budget->refusals() > 0; }));
  CHECK(state.byte_budget->held() <= state.byte_budget->limit() / 2);
  ScriptedCaller& small = SendRequest("GET", "/unsafe/x", "small");
  CHECK(RunUntil([&] { return Has(small.received(), "200 Said"); }));
  // None of the others is answered falsely.
  RunUntil([&] { return state.open_requests == 0; });
  for (const ScriptedCaller* caller : callers) {
    CHECK_FALSE(Has(caller->received(), "200 OK"));
    CHECK_FALSE(Has(caller->received(), " 503 "));
  }
  CHECK(server.requests().size() == 4);
}

TEST_CASE_METHOD(SmallMemoryFixture,
                 "a request is refused before its body exceeds the memory") {
  auto& server = AddServer("a", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "ok")};
  });
  ScriptedCaller& caller =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 900000\r\n");
  const std::string part(16'000, 'x');
  for (size_t sent = 0; caller.received().empty() && sent < 800'000;
       sent += part.size()) {
    caller.Send(part);
    RunFor(milliseconds(2));
  }
  CHECK(Has(caller.received(), "503 "));
  CHECK(server.requests().empty());
  CHECK(state.byte_budget->held() == 0);
}

}  // namespace qh
