#include "qh_gateway/decisions/answers/answer_evidence.h"

namespace qh {
namespace {

constexpr int kStatusCopied = 200;
constexpr int kStatusNoSuchRun = 404;
constexpr int kStatusNoRoom = 503;

// Judges an answer that ended with its connection, whose run nobody stopped.
AnswerVerdict JudgeClose(const AnswerEvidence& evidence) {
  if (evidence.end != AnswerEnd::kClosed || evidence.within_event) {
    return AnswerVerdict::kBroken;
  }
  if (!evidence.probe) {
    return AnswerVerdict::kProbe;
  }
  return *evidence.probe == ProbeResult::kAlive ? AnswerVerdict::kWhole
                                                : AnswerVerdict::kBroken;
}

}  // namespace

AnswerVerdict JudgeAnswer(const AnswerEvidence& evidence) {
  if (evidence.end == AnswerEnd::kOpen) {
    return AnswerVerdict::kOpen;
  }
  if (evidence.end == AnswerEnd::kFramed && !evidence.within_event) {
    return AnswerVerdict::kWhole;
  }
  switch (evidence.stop) {
    case RunStop::kPending:
      return AnswerVerdict::kAwaitStopReply;
    case RunStop::kCopied:
      return AnswerVerdict::kContinueAtDestination;
    case RunStop::kKeptAtSource:
      return AnswerVerdict::kContinueAtSource;
    case RunStop::kUnclear:
      return AnswerVerdict::kBroken;
    case RunStop::kNotAsked:
    case RunStop::kNoSuchRun:
      return JudgeClose(evidence);
  }
  return AnswerVerdict::kBroken;
}

RunStop ReadStopReply(const StopReply& reply, RunStop before) {
  if (reply.status == kStatusCopied && reply.has_handle) {
    return RunStop::kCopied;
  }
  if (reply.status == kStatusNoRoom && reply.has_handle) {
    return RunStop::kKeptAtSource;
  }
  if (reply.status == kStatusNoSuchRun && before != RunStop::kUnclear) {
    return RunStop::kNoSuchRun;
  }
  return RunStop::kUnclear;
}

}  // namespace qh
