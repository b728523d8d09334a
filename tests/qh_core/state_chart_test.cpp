// Tests the state chart interpreter.

#include "qh_core/statechart/state_chart.h"

#include <catch2/catch.hpp>

namespace qh {

TEST_CASE(
    "a chart returns the next state and rejects events it does not list") {
  const auto chart = StateChart::Parse(
      "initial open\nfinal closed\nopen close -> closed // done\n");
  REQUIRE(chart);
  CHECK(chart.value().initial() == "open");
  CHECK(chart.value().Next("open", "close") == "closed");
  CHECK(!chart.value().Next("closed", "close"));
  CHECK(!chart.value().Next("open", "other"));
}

TEST_CASE("a rule for any state does not apply to final states") {
  const auto chart =
      StateChart::Parse("initial a\nfinal z\na go -> b\n* stop -> z\n");
  REQUIRE(chart);
  CHECK(chart.value().Next("b", "stop") == "z");
  CHECK(!chart.value().Next("z", "stop"));
}

TEST_CASE("a malformed chart is refused with the line number") {
  const auto no_arrow = StateChart::Parse("initial a\na go b\n");
  REQUIRE(!no_arrow);
  CHECK(no_arrow.error().detail().find("line 2") != std::string::npos);
  CHECK(!StateChart::Parse("a go -> b\n"));
  CHECK(!StateChart::Parse("initial a\na go -> b\na go -> c\n"));
  CHECK(!StateChart::Parse("initial a\nfinal b\na go -> b\nb go -> a\n"));
}

}  // namespace qh
