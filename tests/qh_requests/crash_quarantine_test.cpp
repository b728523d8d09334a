// CrashQuarantine and CrashArbiter. One session is compared with a golden
// trace.

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
const FailureDomainId kDomainA("domain-a");
const FailureDomainId kDomainB("domain-b");
constexpr TimePoint kNow{seconds(100)};

GrantRequest MakeRequest(const std::string& fingerprint,
                         const std::string& request,
                         const ServerId& server) {
  return {.fingerprint = fingerprint,
          .request_id = RequestId(request),
          .requester = InstanceId("node-1"),
          .server = server,
          .first_choice = kFirst};
}

// Returns an arbiter whose takeover time has passed at kNow.
CrashArbiter EstablishedArbiter() {
  return CrashArbiter::Create({}, TimePoint{});
}

}  // namespace

TEST_CASE("content that crashed two servers is blocked") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = EstablishedArbiter();
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
  quarantine.OnServerDied(kFirst, kDomainA, ServerDeath::kSudden, now);
  note("s1 dies suddenly; poison and an innocent were on it");
  note("poison resent: " +
       std::string(ToName(quarantine.Check("poison", true, now))));
  const auto request_grant = [&](const std::string& fingerprint,
                                 const std::string& request,
                                 const ServerId& server) {
    const auto answer = arbiter.RequestGrant(
        MakeRequest(fingerprint, request, server), quarantine, now);
    note("arbiter: " + fingerprint + " " + request + " on " + server.value() +
         ": " + std::string(ToName(answer.decision)));
    return answer.decision;
  };
  CHECK(request_grant("poison", "r1", kSecond) == GrantDecision::kWait);
  now += seconds(2);
  note("2 s later");
  CHECK(request_grant("poison", "r1", kSecond) == GrantDecision::kRun);
  CHECK(request_grant("poison", "r2", kThird) == GrantDecision::kWait);
  CHECK(request_grant("innocent", "r3", kSecond) == GrantDecision::kWait);
  CHECK(request_grant("innocent", "r3", kThird) == GrantDecision::kRun);
  quarantine.OnDispatched("poison", kSecond);
  quarantine.OnServerDied(kSecond, kDomainB, ServerDeath::kSudden, now);
  note("s2 dies suddenly; poison was on it");
  CHECK(request_grant("poison", "r4", kThird) == GrantDecision::kRefuse);
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

TEST_CASE("a reclaim wave makes no content a suspect") {
  auto quarantine = CrashQuarantine::Create({});
  for (int i = 0; i < 4; ++i) {
    const ServerId server("z" + std::to_string(i));
    quarantine.OnDispatched("print-" + std::to_string(i), server);
    quarantine.OnServerDied(server, kDomainA, ServerDeath::kSudden,
                            kNow + milliseconds(100) * i);
  }
  for (const SuspicionRecord& record : quarantine.Records()) {
    CHECK(record.crashed.empty());
  }
  quarantine.OnDispatched("other", kFirst);
  CHECK(
      quarantine.OnServerDied(kFirst, kDomainB, ServerDeath::kUnderNotice, kNow)
          .empty());
}

TEST_CASE("gossip spreads suspicions and their clearing by a completed run") {
  auto a = CrashQuarantine::Create({});
  auto b = CrashQuarantine::Create({});
  a.OnDispatched("print", kFirst);
  const auto changed =
      a.OnServerDied(kFirst, kDomainA, ServerDeath::kSudden, kNow);
  REQUIRE(changed.size() == 1);
  b.Merge(SuspicionRecord::Decode(changed[0].Encode()).value(), kNow);
  CHECK(b.IsSuspect("print"));
  b.OnSuspectCompleted("print", kNow);
  a.Merge(b.RecordFor("print"), kNow);
  CHECK_FALSE(a.IsSuspect("print"));
  // A record of an earlier round does not restore the suspicion.
  a.Merge(changed[0], kNow);
  CHECK_FALSE(a.IsSuspect("print"));
}

TEST_CASE("a new arbiter grants nothing before the takeover time has passed") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = CrashArbiter::Create({}, kNow);
  CHECK(arbiter.RequestGrant(MakeRequest("p", "r", kSecond), quarantine, kNow)
            .decision == GrantDecision::kWait);
  CHECK(arbiter
            .RequestGrant(MakeRequest("p", "r", kSecond), quarantine,
                          kNow + seconds(4))
            .decision == GrantDecision::kRun);
}

TEST_CASE(
    "a server that dies together with the node that ran a suspect counts") {
  auto other = CrashQuarantine::Create({});
  other.Merge({"print", 0, {kFirst}}, kNow);
  const GrantedRun run = {RequestId("r"), "print", kSecond};
  SECTION("while the run is not known to have ended") {
    other.OnRemoteRunGranted(run, kNow);
    CHECK(other.HasRemoteSuspect(kSecond, kNow));
    other.OnServerDied(kSecond, kDomainA, ServerDeath::kSudden, kNow);
    CHECK(other.IsBlocked("print"));
  }
  SECTION("not after the run has ended") {
    other.OnRemoteRunGranted(run, kNow);
    other.OnRemoteRunEnded(RequestId("r"));
    CHECK_FALSE(other.HasRemoteSuspect(kSecond, kNow));
    other.OnServerDied(kSecond, kDomainA, ServerDeath::kSudden, kNow);
    CHECK_FALSE(other.IsBlocked("print"));
  }
  SECTION("not after the timeout of a run whose end was not reported") {
    other.OnRemoteRunGranted(run, kNow);
    other.OnServerDied(kSecond, kDomainA, ServerDeath::kSudden,
                       kNow + seconds(11));
    CHECK_FALSE(other.IsBlocked("print"));
  }
}

TEST_CASE("a suspect shares no server with other granted content") {
  auto quarantine = CrashQuarantine::Create({});
  auto arbiter = EstablishedArbiter();
  const TimePoint now = kNow + seconds(60);
  quarantine.Merge({"suspect", 0, {kFirst}}, kNow);
  REQUIRE(
      arbiter.RequestGrant(MakeRequest("other", "r1", kSecond), quarantine, now)
          .decision == GrantDecision::kRun);
  GrantRequest request = MakeRequest("suspect", "r2", kSecond);
  request.crashed = {kFirst};
  // By then all nodes have reported what was in flight when the server died.
  const TimePoint later = now + seconds(20);
  CHECK(arbiter.RequestGrant(request, quarantine, now).decision ==
        GrantDecision::kWait);
  request.number = 2;
  CHECK(arbiter.RequestGrant(request, quarantine, later).decision ==
        GrantDecision::kWait);
  request.number = 3;
  request.server = kThird;
  CHECK(arbiter.RequestGrant(request, quarantine, later).decision ==
        GrantDecision::kRun);
  GrantRequest third = MakeRequest("third", "r3", kThird);
  CHECK(arbiter.RequestGrant(third, quarantine, later).decision ==
        GrantDecision::kWait);
}

TEST_CASE("quarantine messages round-trip and malformed ones are errors") {
  GrantRequest request = MakeRequest("p", "r", kSecond);
  request.number = 7;
  request.last_ended = 6;
  request.crashed = {kFirst, kThird};
  const GrantRequest decoded = GrantRequest::Decode(request.Encode()).value();
  CHECK(decoded.number == 7);
  CHECK(decoded.last_ended == 6);
  CHECK(decoded.crashed == request.crashed);
  const GrantEnd end = {RequestId("r"), 7, {"p", 1, {kFirst}}};
  CHECK(GrantEnd::Decode(end.Encode()).value().record.crashed.size() == 1);
  const GrantedRun run = {RequestId("r"), "p", kFirst};
  CHECK(GrantedRun::Decode(run.Encode()).value().server == kFirst);
  CHECK_FALSE(GrantedRun::Decode("").has_value());
  CHECK_FALSE(GrantRequest::Decode("\xff").has_value());
  CHECK_FALSE(GrantAnswer::Decode("").has_value());
}

}  // namespace qh
