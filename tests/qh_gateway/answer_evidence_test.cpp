// Every cell of the table by which the gateway decides whether an answer is
// whole.

#include "qh_gateway/decisions/answers/answer_evidence.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

using End = AnswerEnd;
using Verdict = AnswerVerdict;

constexpr RunStop kAllStops[] = {RunStop::kNotAsked,  RunStop::kPending,
                                 RunStop::kCopied,    RunStop::kKeptAtSource,
                                 RunStop::kNoSuchRun, RunStop::kUnclear};
const std::optional<ProbeResult> kAllProbes[] = {
    std::nullopt, ProbeResult::kAlive, ProbeResult::kCrashed,
    ProbeResult::kGone, ProbeResult::kUnknown};

}  // namespace

TEST_CASE("an answer that has not ended is open whatever else is known") {
  for (const RunStop stop : kAllStops) {
    for (const auto& probe : kAllProbes) {
      CHECK(JudgeAnswer({.stop = stop, .probe = probe}) == Verdict::kOpen);
      CHECK(JudgeAnswer({.within_event = true, .stop = stop, .probe = probe}) ==
            Verdict::kOpen);
    }
  }
}

// A server that could send the last byte of its frame was not stopped before.
TEST_CASE("an answer with its announced end is whole") {
  for (const RunStop stop : kAllStops) {
    CHECK(JudgeAnswer({.end = End::kFramed, .stop = stop}) == Verdict::kWhole);
  }
}

TEST_CASE("an answer that ended otherwise is judged by the stop of its run") {
  struct Row {
    RunStop stop;
    // For a cut answer, or one that ended within an event; and for one that was
    // closed in order and not probed.
    Verdict cut;
    Verdict closed;
  };
  const Row row =
      GENERATE(Row{RunStop::kNotAsked, Verdict::kBroken, Verdict::kProbe},
               Row{RunStop::kPending, Verdict::kAwaitStopReply,
                   Verdict::kAwaitStopReply},
               Row{RunStop::kCopied, Verdict::kContinueAtDestination,
                   Verdict::kContinueAtDestination},
               Row{RunStop::kKeptAtSource, Verdict::kContinueAtSource,
                   Verdict::kContinueAtSource},
               Row{RunStop::kNoSuchRun, Verdict::kBroken, Verdict::kProbe},
               Row{RunStop::kUnclear, Verdict::kBroken, Verdict::kBroken});
  CAPTURE(ToName(row.stop));
  CHECK(JudgeAnswer({.end = End::kCut, .stop = row.stop}) == row.cut);
  CHECK(JudgeAnswer({.end = End::kClosed, .stop = row.stop}) == row.closed);
  for (const End end : {End::kFramed, End::kClosed, End::kCut}) {
    CHECK(JudgeAnswer({.end = end, .within_event = true, .stop = row.stop}) ==
          row.cut);
  }
}

TEST_CASE("an orderly close ends an answer only if its server lives") {
  for (const RunStop stop : {RunStop::kNotAsked, RunStop::kNoSuchRun}) {
    for (const ProbeResult probe :
         {ProbeResult::kAlive, ProbeResult::kCrashed, ProbeResult::kGone,
          ProbeResult::kUnknown}) {
      CAPTURE(ToName(stop), ToName(probe));
      CHECK(
          JudgeAnswer({.end = End::kClosed, .stop = stop, .probe = probe}) ==
          (probe == ProbeResult::kAlive ? Verdict::kWhole : Verdict::kBroken));
      CHECK(JudgeAnswer({.end = End::kCut, .stop = stop, .probe = probe}) ==
            Verdict::kBroken);
    }
  }
}

// A server that lives says nothing about a run that it may have stopped.
TEST_CASE("a probe completes no run that may have been stopped") {
  for (const RunStop stop : {RunStop::kPending, RunStop::kCopied,
                             RunStop::kKeptAtSource, RunStop::kUnclear}) {
    CHECK(JudgeAnswer({.end = End::kClosed,
                       .stop = stop,
                       .probe = ProbeResult::kAlive}) != Verdict::kWhole);
  }
}

TEST_CASE("a reply says what became of the run") {
  struct Row {
    StopReply reply;
    RunStop first;
    // After an earlier call that may have stopped the run.
    RunStop after_unclear;
  };
  const Row row = GENERATE(
      Row{{200, true}, RunStop::kCopied, RunStop::kCopied},
      Row{{200, false}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{404, false}, RunStop::kNoSuchRun, RunStop::kUnclear},
      Row{{404, true}, RunStop::kNoSuchRun, RunStop::kUnclear},
      Row{{409, false}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{429, false}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{500, false}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{500, true}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{503, true}, RunStop::kKeptAtSource, RunStop::kKeptAtSource},
      Row{{503, false}, RunStop::kUnclear, RunStop::kUnclear},
      Row{{std::nullopt, false}, RunStop::kUnclear, RunStop::kUnclear});
  CAPTURE(row.reply.status.value_or(0), row.reply.has_handle);
  CHECK(ReadStopReply(row.reply, RunStop::kNotAsked) == row.first);
  CHECK(ReadStopReply(row.reply, RunStop::kNoSuchRun) == row.first);
  CHECK(ReadStopReply(row.reply, RunStop::kUnclear) == row.after_unclear);
}

}  // namespace qh
