// RequestMachine.

#include "qh_requests/request_machine.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace qh {
namespace {

RequestSpec AtMostOnceSpec() {
  RequestSpec spec;
  spec.id = RequestId("r1");
  spec.idempotent = false;
  spec.idempotency_key = "k1";
  return spec;
}

constexpr TimePoint kNow{};

}  // namespace

TEST_CASE("an at-most-once call is claimed before it is dispatched") {
  auto machine = RequestMachine::Create(AtMostOnceSpec(), 3);
  const auto first =
      machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  REQUIRE(first.size() == 1);
  CHECK(first[0].kind == RequestActionKind::kClaim);
  const auto second =
      machine.Advance({.kind = RequestEventKind::kClaimWon}, kNow);
  REQUIRE(second.size() == 1);
  CHECK(second[0].kind == RequestActionKind::kChoose);
}

TEST_CASE("an at-most-once call is not retried after its server is lost") {
  auto machine = RequestMachine::Create(AtMostOnceSpec(), 3);
  machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  machine.Advance({.kind = RequestEventKind::kClaimWon}, kNow);
  machine.Advance(
      {.kind = RequestEventKind::kServerChosen, .server = ServerId("s1")},
      kNow);
  const auto actions = machine.Advance(
      {.kind = RequestEventKind::kServerLost, .generation = 1}, kNow);
  REQUIRE(actions.size() == 3);
  CHECK(actions[1].kind == RequestActionKind::kRecordUnknown);
  CHECK(actions[2].kind == RequestActionKind::kRefuse);
  CHECK(actions[2].error == ErrorKind::kOutcomeUnknown);
  CHECK(machine.is_final());
}

TEST_CASE("a stream resumes after the tokens already sent") {
  RequestSpec spec;
  spec.stream = true;
  auto machine = RequestMachine::Create(spec, 3);
  machine.Advance({.kind = RequestEventKind::kAccept}, kNow);
  machine.Advance(
      {.kind = RequestEventKind::kServerChosen, .server = ServerId("s1")},
      kNow);
  machine.Advance(
      {.kind = RequestEventKind::kFirstPart, .tokens = 1, .generation = 1},
      kNow);
  machine.Advance(
      {.kind = RequestEventKind::kPart, .tokens = 4, .generation = 1}, kNow);
  const auto lost = machine.Advance(
      {.kind = RequestEventKind::kServerLost, .generation = 1}, kNow);
  REQUIRE(lost.size() == 2);
  CHECK(lost[1].kind == RequestActionKind::kChoose);
  const auto again = machine.Advance(
      {.kind = RequestEventKind::kServerChosen, .server = ServerId("s2")},
      kNow);
  REQUIRE(again.size() == 1);
  CHECK(again[0].resume_from == 5);
}

namespace {

constexpr TimePoint kDeadline = kNow + std::chrono::seconds(10);

RequestSpec StreamSpec() {
  RequestSpec spec;
  spec.id = RequestId("r2");
  spec.stream = true;
  spec.deadline = kDeadline;
  return spec;
}

void Choose(RequestMachine& machine, const char* server) {
  machine.Advance(
      {.kind = RequestEventKind::kServerChosen, .server = ServerId(server)},
      kNow);
}

ErrorKind RefusalError(const std::vector<RequestAction>& actions) {
  REQUIRE(!actions.empty());
  REQUIRE(actions.back().kind == RequestActionKind::kRefuse);
  return actions.back().error;
}

bool HasAction(const std::vector<RequestAction>& actions,
               RequestActionKind kind) {
  return std::any_of(actions.begin(), actions.end(),
                     [&](const auto& action) { return action.kind == kind; });
}

}  // namespace

TEST_CASE("events of an earlier attempt are dropped") {
  auto machine = RequestMachine::Create(StreamSpec(), 3);
  machine.Advance({.kind = RequestEventKind::kAccept}, kNow);
  Choose(machine, "s1");
  machine.Advance({.kind = RequestEventKind::kServerLost, .generation = 1},
                  kNow);
  Choose(machine, "s2");
  const uint32_t generation = machine.generation();
  CHECK(machine
            .Advance({.kind = RequestEventKind::kCompleted, .generation = 1},
                     kNow)
            .empty());
  CHECK(machine.state() == RequestState::kDispatched);
  const auto done = machine.Advance(
      {.kind = RequestEventKind::kCompleted, .generation = generation}, kNow);
  CHECK(HasAction(done, RequestActionKind::kFinish));
}

TEST_CASE(
    "a refusal after a dispatch never states that the request was not run") {
  const auto event =
      GENERATE(RequestEventKind::kDeadline, RequestEventKind::kCallerGone);
  auto machine = RequestMachine::Create(StreamSpec(), 3);
  machine.Advance({.kind = RequestEventKind::kAccept}, kNow);
  Choose(machine, "s1");
  SECTION("while the server runs it") {}
  SECTION("after the server was lost") {
    machine.Advance({.kind = RequestEventKind::kServerLost, .generation = 1},
                    kNow);
  }
  const auto actions = machine.Advance({.kind = event}, kDeadline);
  CHECK(AnswerFor(RefusalError(actions)).executed != Executed::kNo);
}

TEST_CASE("the deadline releases a claim that was requested") {
  auto machine = RequestMachine::Create(AtMostOnceSpec(), 3);
  machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  const auto actions =
      machine.Advance({.kind = RequestEventKind::kDeadline}, kDeadline);
  CHECK(HasAction(actions, RequestActionKind::kReleaseClaim));
  CHECK(RefusalError(actions) == ErrorKind::kClaimUnavailable);
  // If the claim is won after all, nothing is dispatched.
  CHECK(machine.Advance({.kind = RequestEventKind::kClaimWon}, kDeadline)
            .empty());
}

TEST_CASE("a claimed call that finds no server releases its claim") {
  auto machine = RequestMachine::Create(AtMostOnceSpec(), 1);
  machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  machine.Advance({.kind = RequestEventKind::kClaimWon}, kNow);
  Choose(machine, "s1");
  const auto actions = machine.Advance(
      {.kind = RequestEventKind::kNotConnected, .generation = 1}, kNow);
  CHECK(HasAction(actions, RequestActionKind::kReleaseClaim));
  CHECK(RefusalError(actions) == ErrorKind::kNoServer);
}

TEST_CASE("the deadline does not end a stream that has started") {
  auto machine = RequestMachine::Create(StreamSpec(), 1);
  machine.Advance({.kind = RequestEventKind::kAccept}, kNow);
  Choose(machine, "s1");
  machine.Advance(
      {.kind = RequestEventKind::kFirstPart, .tokens = 1, .generation = 1},
      kNow);
  CHECK(machine.Advance({.kind = RequestEventKind::kDeadline}, kDeadline)
            .empty());
  // A lost server and the lack of another one do not end it either.
  machine.Advance({.kind = RequestEventKind::kServerLost, .generation = 1},
                  kDeadline);
  const auto actions = machine.Advance(
      {.kind = RequestEventKind::kNoServer, .error = ErrorKind::kNoServer},
      kDeadline);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].kind == RequestActionKind::kChooseLater);
}

TEST_CASE("an at-most-once call finishes on a server that is leaving") {
  auto machine = RequestMachine::Create(AtMostOnceSpec(), 3);
  machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  machine.Advance({.kind = RequestEventKind::kClaimWon}, kNow);
  Choose(machine, "s1");
  CHECK(machine.Advance({.kind = RequestEventKind::kServerLeaving}, kNow)
            .empty());
  const auto done = machine.Advance(
      {.kind = RequestEventKind::kCompleted, .generation = 1}, kNow);
  CHECK(HasAction(done, RequestActionKind::kRecordOutcome));
}

}  // namespace qh
