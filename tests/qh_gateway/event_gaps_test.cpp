// The longest time between two events of a stream, in the decisions and in the
// metrics.

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/streams/event_gaps.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

}  // namespace

TEST_CASE("the longest gap counts, and the time since the last event") {
  EventGaps gaps;
  CHECK_FALSE(gaps.Longest(kStart));
  gaps.OnEvents(kStart + seconds(5));
  CHECK(gaps.Longest(kStart + seconds(5)) == Duration::zero());
  gaps.OnEvents(kStart + seconds(7));
  gaps.OnEvents(kStart + seconds(8));
  CHECK(gaps.Longest(kStart + seconds(8)) == seconds(2));
  // A stream that stalls and is given up.
  CHECK(gaps.Longest(kStart + seconds(12)) == seconds(4));
}

// Guards against gaps that are not measured in the data path, where a stream is
// late without a trace.
TEST_CASE_METHOD(GatewayFixture, "the gaps of streams are in the metrics") {
  const auto measured = [&] {
    return state.metrics.Exposition().find(
               "gateway_longest_event_gap_ms_count{class=") !=
           std::string::npos;
  };
  AddServer("p", "plain", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StampedAnswer(200, "body")};
  });
  AddServer("a", "chat", [](size_t, const HttpHead&) {
    return ScriptedReply{.bytes = StreamHead() + Events(1, 2),
                         .later = Events(3, 3) + "0\r\n\r\n"};
  });
  ScriptedCaller& plain =
      SendRequest("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil(
      [&] { return plain.received().find("body") != std::string::npos; }));
  CHECK_FALSE(measured());
  ScriptedCaller& stream = SendRequest("GET", "/stream/x");
  REQUIRE(RunUntil([&] {
    return stream.received().find("0\r\n\r\n") != std::string::npos;
  }));
  CHECK(measured());
}

}  // namespace qh
