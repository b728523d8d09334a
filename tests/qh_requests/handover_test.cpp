// Hand-over of open requests and the resume planner; a golden session.

#include <catch2/catch.hpp>

#include "fakes/outcome_golden.h"
#include "qh_requests/qh_requests.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(10)};
// The receiving node's clock differs.
constexpr TimePoint kPeerNow{seconds(5000)};

RequestSpec Spec(bool once) {
  return {.id = RequestId("r1"),
          .team = TeamId("team"),
          .idempotent = !once,
          .stream = !once,
          .idempotency_key = once ? "key" : "",
          .fingerprint = "print",
          .deadline = kNow + seconds(4)};
}

// A machine with a readable trace.
struct Traced {
  RequestMachine machine;
  std::string* trace;
  std::string name;

  std::vector<RequestAction> Feed(const RequestEvent& event) {
    const auto actions = machine.Advance(event, kNow);
    *trace += name + ": " + std::string(ToName(event.kind)) + " -> " +
              std::string(ToName(machine.state()));
    for (const RequestAction& action : actions) {
      *trace += " " + std::string(ToName(action.kind));
      if (action.kind == RequestActionKind::kDispatch) {
        *trace += "(from " + std::to_string(action.resume_from) + ")";
      }
    }
    *trace += "\n";
    return actions;
  }
};

HandoverRecord Carry(const HandoverRecord& record) {
  return HandoverRecord::Decode(record.Encode(kNow), kPeerNow).value();
}

}  // namespace

TEST_CASE("a stream goes on at the peer from the tokens already sent") {
  std::string trace;
  Traced old = {RequestMachine::Create(Spec(false), 3), &trace, "node"};
  old.Feed({.kind = RequestEventKind::kAccept});
  old.Feed({.kind = RequestEventKind::kServerChosen, .server = ServerId("s1")});
  old.Feed(
      {.kind = RequestEventKind::kFirstPart, .tokens = 1, .generation = 1});
  old.Feed({.kind = RequestEventKind::kPart, .tokens = 1, .generation = 1});
  old.Feed({.kind = RequestEventKind::kMovedToPeer});
  const auto record =
      Carry(HandoverRecord::FromMachine(old.machine, "payload", {"a", "b"}));
  CHECK(record.tokens == std::vector<std::string>{"a", "b"});
  CHECK(record.payload == "payload");
  CHECK(record.spec.deadline == kPeerNow + seconds(4));
  Traced peer = {record.Restore(3), &trace, "peer"};
  peer.Feed(record.resume_event());
  const auto dispatch = peer.Feed(
      {.kind = RequestEventKind::kServerChosen, .server = ServerId("s2")});
  REQUIRE(dispatch.size() == 1);
  CHECK(dispatch[0].resume_from == 2);
  trace += "# a late part of the old connection\n";
  CHECK(
      old.Feed({.kind = RequestEventKind::kPart, .tokens = 1, .generation = 1})
          .empty());
  peer.Feed({.kind = RequestEventKind::kCompleted, .generation = 1});
  CHECK_THAT(GoldenDifference(std::string(QH_TEST_DATA) +
                                  "/golden/outcomes_stream_handover.txt",
                              trace),
             Catch::Equals(""));
}

TEST_CASE(
    "a running call that may not be repeated is relayed, never run again") {
  std::string trace;
  Traced old = {RequestMachine::Create(Spec(true), 3), &trace, "node"};
  old.Feed({.kind = RequestEventKind::kAcceptOnce});
  old.Feed({.kind = RequestEventKind::kClaimWon});
  old.Feed({.kind = RequestEventKind::kServerChosen, .server = ServerId("s1")});
  old.Feed({.kind = RequestEventKind::kMovedToPeer});
  const auto record = Carry(HandoverRecord::FromMachine(old.machine, "", {}));
  Traced peer = {record.Restore(3), &trace, "peer"};
  CHECK(peer.Feed(record.resume_event()).empty());
  SECTION("the answer comes in time") {
    const auto relayed =
        old.Feed({.kind = RequestEventKind::kCompleted, .generation = 1});
    REQUIRE(relayed.size() == 1);
    CHECK(relayed[0].kind == RequestActionKind::kRelayAnswer);
    const auto end = peer.Feed({.kind = RequestEventKind::kRelayedAnswer});
    CHECK(end.back().kind == RequestActionKind::kFinish);
    CHECK_THAT(
        GoldenDifference(
            std::string(QH_TEST_DATA) + "/golden/outcomes_relay.txt", trace),
        Catch::Equals(""));
  }
  SECTION("the node goes first") {
    const auto end = peer.Feed({.kind = RequestEventKind::kRelayLost});
    CHECK(end.back().error == ErrorKind::kOutcomeUnknown);
  }
}

TEST_CASE("a call that is not dispatched yet goes on with its claim") {
  auto machine = RequestMachine::Create(Spec(true), 3);
  machine.Advance({.kind = RequestEventKind::kAcceptOnce}, kNow);
  SECTION("the claim is asked for again under the same id") {
    machine.Advance({.kind = RequestEventKind::kMovedToPeer}, kNow);
    CHECK(Carry(HandoverRecord::FromMachine(machine, "", {}))
              .resume_event()
              .kind == RequestEventKind::kRestoreClaiming);
  }
  SECTION("the claim is held") {
    machine.Advance({.kind = RequestEventKind::kClaimWon}, kNow);
    machine.Advance({.kind = RequestEventKind::kMovedToPeer}, kNow);
    CHECK(Carry(HandoverRecord::FromMachine(machine, "", {}))
              .resume_event()
              .kind == RequestEventKind::kRestoreChoosing);
  }
}

TEST_CASE("the peer is in another failure domain when one serves there") {
  const std::vector<HandoverCandidate> candidates = {
      {InstanceId("same"), FailureDomainId("a"), true, 0},
      {InstanceId("busy"), FailureDomainId("b"), true, 9},
      {InstanceId("idle"), FailureDomainId("c"), true, 1},
      {InstanceId("gone"), FailureDomainId("c"), false, 0}};
  const auto choose = [&](std::set<FailureDomainId> leaving) {
    return ChooseHandoverPeer(RequestId("r"), candidates, leaving);
  };
  CHECK(choose({FailureDomainId("a")}) == InstanceId("idle"));
  CHECK(choose({FailureDomainId("a"), FailureDomainId("c")}) ==
        InstanceId("busy"));
  CHECK(choose({FailureDomainId("a"), FailureDomainId("b"),
                FailureDomainId("c")}) == InstanceId("same"));
  CHECK_FALSE(ChooseHandoverPeer(RequestId("r"), {}, {}));
}

TEST_CASE("the cache moves only when that is in time and faster") {
  const auto planner =
      ResumePlanner::Create({.cache_bytes_per_token = 100'000,
                             .transfer_bytes_per_second = 1'000'000'000,
                             .prefill_tokens_per_second = 5'000,
                             .transfer_setup = milliseconds(50),
                             .notice_margin = milliseconds(500)});
  ResumeSituation situation = {
      .tokens = 10'000, .notice_left = seconds(3), .can_transfer = true};
  // 1 s and the setup against 2 s.
  CHECK(planner.Plan(situation).method == ResumeMethod::kTransferCache);
  situation.notice_left = milliseconds(1500);
  CHECK(planner.Plan(situation).method == ResumeMethod::kRecompute);
  situation.notice_left = seconds(10);
  situation.transfers = 3;
  CHECK(planner.Plan(situation).method == ResumeMethod::kRecompute);
  situation = {.tokens = 10, .notice_left = seconds(3), .can_transfer = true};
  CHECK(planner.Plan(situation).method == ResumeMethod::kRecompute);
}

}  // namespace qh
