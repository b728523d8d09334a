// Tests of tracing a request through the logs of several nodes.

#include "apps/quetzalhall/log_trace.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace qh::cli {
namespace {

constexpr const char* kLogs =
    R"(time=2026-05-30T11:03:30.000 level=info program=g node=n1 event=server_changed change=draining server=i-1
  12.1 n1 time=2026-05-30T11:03:33.147 level=warning program=g node=n1 event=attempt_failed request=r1 server=i-1 end=broken why="answer cut: \"reset\""
time=2026-05-30T11:03:33.150 level=warning program=g node=n1 event=request_failed request=r1 status=502 reason="answer cut: reset" config=7 servers_age_ms=12 server=i-1
time=2026-05-30T11:03:33.100 level=info program=g node=n2 event=server_changed change=gone server=i-1
time=2026-05-30T11:03:33.200 level=info program=g node=n1 event=request_refused request=r2 status=429 reason="limit of team t"
time=2026-05-30T11:03:32.000 level=warning program=g node=n1 event=dependency_lost dependency=store
time=2026-05-30T11:02:00.000 level=warning program=g node=n1 event=dependency_lost dependency=store old=1
this is no line of ours
)";

struct Fixture {
  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};
  std::istringstream logs{kLogs};
};

}  // namespace

TEST_CASE("a log line is parsed whatever text precedes it") {
  const auto event = ParseLogLine(
      "  1.2 n1 time=2026-05-30T11:03:33.147 node=n1 event=e a=\"b \\\"c\\\" "
      "d=e\" f=g");
  REQUIRE(event);
  CHECK(event->event == "e");
  CHECK(event->fields.at("a") == "b \"c\" d=e");
  CHECK(event->fields.at("f") == "g");
  CHECK(event->time_ms == ((11 * 60 + 3) * 60 + 33) * 1'000 + 147);
  CHECK_FALSE(ParseLogLine("nothing"));
  CHECK_FALSE(ParseLogLine("time=x"));
}

TEST_CASE_METHOD(Fixture,
                 "a trace has the related state changes in order of time") {
  CHECK(TraceRequest("r1", logs, output) == ExitCode::kOk);
  const std::string text = out.str();
  const size_t draining = text.find("change=draining");
  const size_t lost = text.find("dependency_lost");
  const size_t failed = text.find("event=request_failed");
  CHECK(draining < lost);
  CHECK(lost < failed);
  CHECK(text.find("old=1") == std::string::npos);
  CHECK(text.find("request=r2") == std::string::npos);
  CHECK(text.find("change=gone") == std::string::npos);
  CHECK(text.find("outcome: request_failed, status 502, because: answer cut: "
                  "reset") != std::string::npos);
  CHECK(text.find("decided by n1 with configuration 7") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "a request that no line names is reported as unknown") {
  CHECK(TraceRequest("r9", logs, output) == ExitCode::kFailed);
  CHECK(err.str().find("no line names request r9") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "failures are counted by reason") {
  CHECK(SummariseFailures(logs, output) == ExitCode::kOk);
  CHECK(out.str().find("1\trequest_failed 502 answer cut: reset") !=
        std::string::npos);
  CHECK(out.str().find("2 of 2 refused or failed requests bear a reason") !=
        std::string::npos);
  CHECK(out.str().find("0 of 2 requests that have lines have no outcome") !=
        std::string::npos);
  CHECK(out.str().find("3 lines in a second at most, on n1; 0 left out") !=
        std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "requests without outcome and dropped lines are counted") {
  logs.str(
      R"(time=2026-05-30T11:03:33.147 node=n1 event=attempt_failed request=r1
time=2026-05-30T11:03:34.147 node=n1 event=log_lines_dropped of=request_served lines=17
)");
  CHECK(SummariseFailures(logs, output) == ExitCode::kOk);
  CHECK(out.str().find("1 of 1 requests that have lines have no outcome") !=
        std::string::npos);
  CHECK(out.str().find("17 left out") != std::string::npos);
}

}  // namespace qh::cli
