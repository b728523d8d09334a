// Decides whether a server's answer is whole, from the evidence of how it
// ended. Nothing else in the gateway decides this: an answer that was cut off
// must never look whole to its caller, and each way in which an answer ends
// proves less than it seems. A server that crashes may close its connections in
// order, and a run that was stopped for a migration is closed in the same way
// as one that ended by itself.
//
// Made for reclaims of many servers at once, when streams without a length end,
// break off and migrate side by side.

#ifndef QH_GATEWAY_DECISIONS_ANSWERS_ANSWER_EVIDENCE_H_
#define QH_GATEWAY_DECISIONS_ANSWERS_ANSWER_EVIDENCE_H_

#include <optional>

#include "qh_core/text/enum_table.h"

namespace qh {

// How an answer has ended on its connection.
enum class AnswerEnd {
  // It has not: more may come.
  kOpen,
  // By its length, or its last chunk.
  kFramed,
  // Without a length, by an orderly close.
  kClosed,
  // In any other way, e.g. by a reset, or by a close before the end that its
  // head announced.
  kCut,
};

// What is known of the run after its server was asked to stop it and to copy
// its KV cache to another server.
enum class RunStop {
  kNotAsked,
  // Asked; the reply has not come.
  kPending,
  // The server stopped the run, and the destination has the copy.
  kCopied,
  // The server stopped the run, and it alone has the KV cache.
  kKeptAtSource,
  // There was no run to stop: it had ended before.
  kNoSuchRun,
  // The server may have stopped the run.
  kUnclear,
};

// What a probe of the server found, after its answer ended with an orderly
// close.
enum class ProbeResult {
  kAlive,
  // Nothing listens any more, though the server has not said that it leaves.
  kCrashed,
  // Nothing listens any more at a server that was leaving, or another process
  // does. The server ended in order or crashed.
  kGone,
  // The server could not be reached.
  kUnknown,
};

template <>
inline constexpr EnumName<AnswerEnd> kEnumNames<AnswerEnd>[] = {
    {AnswerEnd::kOpen, "open"},
    {AnswerEnd::kFramed, "framed"},
    {AnswerEnd::kClosed, "closed"},
    {AnswerEnd::kCut, "cut"},
};

template <>
inline constexpr EnumName<RunStop> kEnumNames<RunStop>[] = {
    {RunStop::kNotAsked, "not_asked"},
    {RunStop::kPending, "pending"},
    {RunStop::kCopied, "copied"},
    {RunStop::kKeptAtSource, "kept_at_source"},
    {RunStop::kNoSuchRun, "no_such_run"},
    {RunStop::kUnclear, "unclear"},
};

template <>
inline constexpr EnumName<ProbeResult> kEnumNames<ProbeResult>[] = {
    {ProbeResult::kAlive, "alive"},
    {ProbeResult::kCrashed, "crashed"},
    {ProbeResult::kGone, "gone"},
    {ProbeResult::kUnknown, "unreachable"},
};

// Whether the server has certainly stopped the run, so that it can go on from
// its KV cache.
constexpr bool IsStopped(RunStop stop) {
  return stop == RunStop::kCopied || stop == RunStop::kKeptAtSource;
}

// All that is known of how one attempt's answer ended.
struct AnswerEvidence {
  AnswerEnd end = AnswerEnd::kOpen;
  // A stream ended between the first and the last byte of an event.
  bool within_event = false;
  RunStop stop = RunStop::kNotAsked;
  // nullopt before the server was probed.
  std::optional<ProbeResult> probe;
};

enum class AnswerVerdict {
  // The answer goes on.
  kOpen,
  // The reply to the call that stops the run decides.
  kAwaitStopReply,
  // A probe of the server decides.
  kProbe,
  kWhole,
  // Broken off, and the run goes on where the copy of its KV cache is.
  kContinueAtDestination,
  // Broken off, and the run can go on at the server that stopped it.
  kContinueAtSource,
  // Broken off.
  kBroken,
};

// Returns what `evidence` says about the answer.
AnswerVerdict JudgeAnswer(const AnswerEvidence& evidence);

// The reply to a call that asks a server to stop a run and to copy its KV
// cache.
struct StopReply {
  // nullopt if no whole answer came.
  std::optional<int> status;
  // The reply names the handle of a stopped run's KV cache.
  bool has_handle = false;
};

// Returns what is known after `reply`. `before` is what was known before the
// call: a run that an earlier call may have stopped is not found either.
RunStop ReadStopReply(const StopReply& reply, RunStop before);

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ANSWERS_ANSWER_EVIDENCE_H_
