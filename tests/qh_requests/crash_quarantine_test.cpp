// Crash quarantine and its arbiter; a golden session.

#include <catch2/catch.hpp>

#include "fakes/outcome_golden.h"
#include "qh_requests/qh_requests.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId kFirst("s1");
const ServerId kSecond("s2");
const ServerId kThird("s3");
const FailureDomainId kZoneA("zone-a");
const FailureDomainId kZoneB("zone-b");
constexpr TimePoint kNow{seconds(100)};

GrantRequest AskFor(const std::string& print,
                    const std::string& request,
                    const ServerId& server) {
  return {.fingerprint = print,
          .request_id = RequestId(request),
          .requester = InstanceId("node-1"),
          .server = server,
          .first_choice = kFirst};
}

CrashArbiter OldArbiter() {
  return CrashArbiter::Create({}, TimePoint{});
}

}  // namespace

TEST_CASE("a poison request takes two servers down and is then refused") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = OldArbiter();
  std::string trace;
  const auto note = [&](const std::string& text) { trace += text + "\n"; };
  quarantine.Tick(kNow - seconds(2));
  TimePoint now = kNow;
  for (TimePoint at = kNow - seconds(2); at <= now; at += milliseconds(200)) {
    quarantine.Tick(at);
  }
  note("poison on s1: " +
       std::string(ToName(quarantine.Check("poison", true, now))));
  quarantine.OnDispatched("poison", kFirst);
  quarantine.OnDispatched("innocent", kFirst);
  quarantine.OnServerDied(kFirst, kZoneA, ServerDeath::kSudden, now);
  note("s1 dies suddenly; poison and an innocent were on it");
  note("poison resent: " +
       std::string(ToName(quarantine.Check("poison", true, now))));
  const auto ask = [&](const std::string& print, const std::string& request,
                       const ServerId& server) {
    const auto answer =
        arbiter.RequestGrant(AskFor(print, request, server), quarantine, now);
    note("arbiter: " + print + " " + request + " on " + server.value() + ": " +
         std::string(ToName(answer.decision)));
    return answer.decision;
  };
  CHECK(ask("poison", "r1", kSecond) == GrantDecision::kWait);
  now += seconds(2);
  note("2 s later");
  CHECK(ask("poison", "r1", kSecond) == GrantDecision::kRun);
  CHECK(ask("poison", "r2", kThird) == GrantDecision::kWait);
  CHECK(ask("innocent", "r3", kSecond) == GrantDecision::kWait);
  CHECK(ask("innocent", "r3", kThird) == GrantDecision::kRun);
  quarantine.OnDispatched("poison", kSecond);
  quarantine.OnServerDied(kSecond, kZoneB, ServerDeath::kSudden, now);
  note("s2 dies suddenly; poison was on it");
  CHECK(ask("poison", "r4", kThird) == GrantDecision::kRefuse);
  note("poison resent: " +
       std::string(ToName(quarantine.Check("poison", true, now))));
  CHECK(quarantine.Check("poison", true, now) == QuarantineVerdict::kRefuse);
  CHECK_FALSE(quarantine.IsSuspect("innocent"));
  note("the innocent is no suspect any more: poison explains s1");
  CHECK_THAT(
      GoldenDifference(
          std::string(QH_TEST_DATA) + "/golden/outcomes_quarantine.txt", trace),
      Catch::Equals(""));
}

TEST_CASE("a reclaim wave condemns nobody") {
  auto quarantine = CrashQuarantine::Create({});
  for (int i = 0; i < 4; ++i) {
    const ServerId server("z" + std::to_string(i));
    quarantine.OnDispatched("print-" + std::to_string(i), server);
    quarantine.OnServerDied(server, kZoneA, ServerDeath::kSudden,
                            kNow + milliseconds(100) * i);
  }
  for (const SuspicionRecord& record : quarantine.Records()) {
    CHECK(record.crashed.empty());
  }
  quarantine.OnDispatched("other", kFirst);
  CHECK(quarantine.OnServerDied(kFirst, kZoneB, ServerDeath::kUnderNotice, kNow)
            .empty());
}

TEST_CASE("gossip merges suspicions; a survived run clears them everywhere") {
  auto a = CrashQuarantine::Create({});
  auto b = CrashQuarantine::Create({});
  a.OnDispatched("print", kFirst);
  const auto changed =
      a.OnServerDied(kFirst, kZoneA, ServerDeath::kSudden, kNow);
  REQUIRE(changed.size() == 1);
  b.Merge(SuspicionRecord::Decode(changed[0].Encode()).value(), kNow);
  CHECK(b.IsSuspect("print"));
  b.OnSuspectCompleted("print", kNow);
  a.Merge(b.RecordFor("print"), kNow);
  CHECK_FALSE(a.IsSuspect("print"));
  // The older record does not come back.
  a.Merge(changed[0], kNow);
  CHECK_FALSE(a.IsSuspect("print"));
}

TEST_CASE("a new arbiter grants nothing before it has taken over") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = CrashArbiter::Create({}, kNow);
  CHECK(arbiter.RequestGrant(AskFor("p", "r", kSecond), quarantine, kNow)
            .decision == GrantDecision::kWait);
  CHECK(arbiter
            .RequestGrant(AskFor("p", "r", kSecond), quarantine,
                          kNow + seconds(4))
            .decision == GrantDecision::kRun);
}

TEST_CASE("a server that dies with the node that ran a suspect counts") {
  auto other = CrashQuarantine::Create({});
  other.Merge({"print", 0, {kFirst}}, kNow);
  const GrantedRun run = {RequestId("r"), "print", kSecond};
  SECTION("while the run is not known to have ended") {
    other.OnRemoteRunGranted(run, kNow);
    CHECK(other.HasRemoteSuspect(kSecond, kNow));
    other.OnServerDied(kSecond, kZoneA, ServerDeath::kSudden, kNow);
    CHECK(other.IsBlocked("print"));
  }
  SECTION("not after its end") {
    other.OnRemoteRunGranted(run, kNow);
    other.OnRemoteRunEnded(RequestId("r"));
    CHECK_FALSE(other.HasRemoteSuspect(kSecond, kNow));
    other.OnServerDied(kSecond, kZoneA, ServerDeath::kSudden, kNow);
    CHECK_FALSE(other.IsBlocked("print"));
  }
  SECTION("not when its end was never told") {
    other.OnRemoteRunGranted(run, kNow);
    other.OnServerDied(kSecond, kZoneA, ServerDeath::kSudden,
                       kNow + seconds(11));
    CHECK_FALSE(other.IsBlocked("print"));
  }
}

TEST_CASE("a suspect shares no server with other granted content") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = OldArbiter();
  const TimePoint now = kNow + seconds(60);
  quarantine.Merge({"suspect", 0, {kFirst}}, kNow);
  REQUIRE(arbiter.RequestGrant(AskFor("other", "r1", kSecond), quarantine, now)
              .decision == GrantDecision::kRun);
  GrantRequest ask = AskFor("suspect", "r2", kSecond);
  ask.crashed = {kFirst};
  // What was in flight elsewhere when the server died has been told by then.
  const TimePoint later = now + seconds(20);
  CHECK(arbiter.RequestGrant(ask, quarantine, now).decision ==
        GrantDecision::kWait);
  ask.number = 2;
  CHECK(arbiter.RequestGrant(ask, quarantine, later).decision ==
        GrantDecision::kWait);
  ask.number = 3;
  ask.server = kThird;
  CHECK(arbiter.RequestGrant(ask, quarantine, later).decision ==
        GrantDecision::kRun);
  GrantRequest third = AskFor("third", "r3", kThird);
  CHECK(arbiter.RequestGrant(third, quarantine, later).decision ==
        GrantDecision::kWait);
}

TEST_CASE("messages of the quarantine survive encoding; garbage is an error") {
  GrantRequest ask = AskFor("p", "r", kSecond);
  ask.number = 7;
  ask.last_ended = 6;
  ask.crashed = {kFirst, kThird};
  const GrantRequest read = GrantRequest::Decode(ask.Encode()).value();
  CHECK(read.number == 7);
  CHECK(read.last_ended == 6);
  CHECK(read.crashed == ask.crashed);
  const GrantEnd end = {RequestId("r"), 7, {"p", 1, {kFirst}}};
  CHECK(GrantEnd::Decode(end.Encode()).value().record.crashed.size() == 1);
  const GrantedRun run = {RequestId("r"), "p", kFirst};
  CHECK(GrantedRun::Decode(run.Encode()).value().server == kFirst);
  CHECK_FALSE(GrantedRun::Decode("").has_value());
  CHECK_FALSE(GrantRequest::Decode("\xff").has_value());
  CHECK_FALSE(GrantAnswer::Decode("").has_value());
}

}  // namespace qh
