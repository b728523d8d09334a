// What crashes servers, as several nodes find it out together: evidence for and
// against contents and prompt parts, verdicts, and what nodes tell each other.

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/crash/crash_tracker.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

// A request on these prompt parts, with a last part and a target of its own.
RequestFeatures Features(const std::vector<uint64_t>& parts, uint64_t own) {
  CallerRequest request{.method = "POST", .target = std::to_string(own)};
  for (const uint64_t part : parts) {
    request.prompt_parts.push_back({part, 10});
  }
  request.prompt_parts.push_back({own, 10});
  return {request, "team"};
}

CrashRecord Crash(const RequestFeatures& features,
                  uint64_t server,
                  TimePoint at) {
  return {.server = server,
          .content = features.content(),
          .features = features.sorted(),
          .at = at};
}

bool IsBlocked(const CrashTracker& tracker,
               const RequestFeatures& features,
               TimePoint now) {
  return tracker.Judge(features, now) == Suspicion::kBlocked;
}

// Parts of the requests below.
constexpr uint64_t kFirst = 1;
constexpr uint64_t kBad = 2;
constexpr uint64_t kOther = 3;

}  // namespace

TEST_CASE("content that crashed three servers is blocked on every node") {
  CrashTracker tracker;
  CrashTracker peer;
  const CallerRequest request{.method = "POST", .target = "/a", .body = "body"};
  CallerRequest other = request;
  other.body = "other";
  const RequestFeatures content(request, "t");
  CHECK(content.content() != RequestFeatures(request, "u").content());
  CHECK(content.content() != RequestFeatures(other, "t").content());
  tracker.OnCrash(Crash(content, 1, kStart), kStart);
  tracker.OnCrash(Crash(content, 1, kStart), kStart);
  tracker.OnCrash(Crash(content, 2, kStart), kStart);
  CHECK(tracker.Judge(content, kStart) == Suspicion::kSuspect);
  peer.OnCrash(Crash(content, 3, kStart), kStart);
  peer.OnPeer(tracker.TakeReport(kStart), false, kStart);
  CHECK(IsBlocked(peer, content, kStart));
  CHECK(peer.IsContentBlocked(content));
  // The block ends some time after the last request that was refused for it.
  const TimePoint refused = kStart + minutes(5);
  peer.OnRefused(content, refused);
  peer.OnTick(refused + CrashVerdicts::kLifetime);
  CHECK(IsBlocked(peer, content, refused));
  peer.OnTick(refused + CrashVerdicts::kLifetime + seconds(1));
  CHECK_FALSE(IsBlocked(peer, content, refused));
}

TEST_CASE("a part is blocked and what shares its other parts is not") {
  CrashTracker tracker;
  TimePoint now = kStart;
  SECTION("other parts had good answers before") {
    tracker.OnSound(Features({kFirst}, 10), now - seconds(5));
  }
  SECTION("other parts get good answers between the crashes") {}
  for (uint64_t i = 0; i < CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kFirst, kBad}, 100 + i), i, now), now);
    tracker.OnSound(Features({kFirst}, 200 + i), now + milliseconds(1));
  }
  CHECK(IsBlocked(tracker, Features({kFirst, kBad}, 300), now));
  CHECK(IsBlocked(tracker, Features({kOther, kBad}, 301), now));
  CHECK_FALSE(tracker.IsContentBlocked(Features({kOther, kBad}, 301)));
  CHECK(tracker.Judge(Features({kFirst}, 302), now) == Suspicion::kNone);
  // The last part of a prompt is never blocked by itself.
  CHECK(tracker.Judge(Features({}, kBad), now) == Suspicion::kNone);
}

TEST_CASE("parts that evidence can't tell apart are blocked only together") {
  CrashTracker tracker;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kFirst, kBad}, 100 + i), i, now), now);
  }
  CHECK(IsBlocked(tracker, Features({kFirst, kBad}, 300), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 301), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kOther, kBad}, 302), now));
  SECTION("until an answer clears one") {
    tracker.OnSound(Features({kFirst}, 303), now + milliseconds(100));
  }
  SECTION("until one crashes a server alone") {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kOther, kBad}, 304), 50, now), now);
  }
  CHECK(IsBlocked(tracker, Features({kOther, kBad}, 305), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 306), now));
}

TEST_CASE("a part that was sound for long and turns bad is blocked") {
  CrashTracker tracker;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < 50; ++i) {
    now += milliseconds(300);
    tracker.OnSound(Features({kFirst, kBad}, 100 + i), now);
  }
  for (uint64_t i = 0; i < CrashVerdict::kOnceSoundThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kFirst, kBad}, 200 + i), i, now), now);
    tracker.OnSound(Features({kFirst}, 300 + i), now + milliseconds(10));
  }
  now += CrashTracker::kSettleTime;
  tracker.OnTick(now);
  CHECK(IsBlocked(tracker, Features({kFirst, kBad}, 400), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 401), now));
}

TEST_CASE("two bad parts at once are both blocked") {
  CrashTracker tracker;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < 2 * CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(200);
    const uint64_t bad = i % 2 == 0 ? kBad : kOther;
    tracker.OnCrash(Crash(Features({kFirst, bad}, 100 + i), i, now), now);
    tracker.OnSound(Features({kFirst}, 200 + i), now + milliseconds(10));
  }
  CHECK(IsBlocked(tracker, Features({kBad}, 300), now));
  CHECK(IsBlocked(tracker, Features({kOther}, 301), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 302), now));
}

TEST_CASE("a server that ends beside a bad part speaks against no other") {
  CrashTracker tracker;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < 8; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kBad}, 100 + i), i, now), now);
    // A session whose streams ran on several of these servers.
    if (i % 2 == 0) {
      tracker.OnCrash(Crash(Features({kOther}, 200 + i), i, now), now);
    }
  }
  CHECK(IsBlocked(tracker, Features({kBad}, 300), now));
  CHECK_FALSE(IsBlocked(tracker, Features({kOther}, 301), now));
}

TEST_CASE("the loss of a whole failure domain blocks nothing") {
  CrashTracker tracker;
  for (uint64_t server = 0; server < 40; ++server) {
    for (uint64_t run = 0; run < 30; ++run) {
      const TimePoint at = kStart + milliseconds(server);
      tracker.OnCrash(
          Crash(Features({kFirst, 50 + run}, server * 100 + run), server, at),
          at);
    }
  }
  CHECK(tracker.verdicts().empty());
  // The next report stays small.
  CHECK(tracker.TakeReport(kStart).records.size() <=
        CrashTracker::kMaxReported);
}

// Guards against a bound on the records of a heartbeat that drops what a
// decision needs: a peer never learned of a block after 20 newer crashes.
TEST_CASE("a node that starts later learns every verdict") {
  CrashTracker tracker;
  TimePoint now = kStart;
  const RequestFeatures content = Features({}, 1);
  for (uint64_t server = 0; server < 3; ++server) {
    tracker.OnCrash(Crash(content, server, now), now);
  }
  for (uint64_t i = 0; i < 200; ++i) {
    now += milliseconds(10);
    tracker.OnCrash(Crash(Features({}, 100 + i), 100 + i, now), now);
    tracker.TakeReport(now);
  }
  now += minutes(3);
  tracker.OnRefused(content, now);
  tracker.OnTick(now);
  CrashTracker late;
  late.OnPeer(tracker.TakeReport(now), false, now);
  CHECK(IsBlocked(late, content, now));
}

TEST_CASE("a wrong verdict ends on every node") {
  CrashTracker tracker;
  CrashTracker peer;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kFirst}, 100 + i), i, now), now);
  }
  peer.OnPeer(tracker.TakeReport(now), false, now);
  REQUIRE(IsBlocked(peer, Features({kFirst}, 200), now));
  // A request that was under way when the verdict was reached.
  peer.OnSound(Features({kFirst}, 201), now + milliseconds(5));
  now += seconds(2);
  CHECK_FALSE(IsBlocked(peer, Features({kFirst}, 202), now));
  // The other node still reports the verdict, but it is not taken up again.
  peer.OnPeer(tracker.TakeReport(now), false, now);
  CHECK_FALSE(IsBlocked(peer, Features({kFirst}, 203), now));
  tracker.OnPeer(peer.TakeReport(now), false, now);
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 204), now));
}

// Guards against a part that is blocked because its good answers were told
// before its crashes were (crash_search_test.cpp, two bad parts, seed 41).
TEST_CASE("a peer's word of a good answer counts for crashes told later") {
  CrashTracker tracker;
  TimePoint now = kStart;
  const std::vector<Feature> features = Features({kFirst}, 1).sorted();
  const Feature part =
      *std::find_if(features.begin(), features.end(), IsPromptPart);
  tracker.OnPeer({.made = now, .sound = {{part, now}}}, false, now);
  for (uint64_t i = 0; i < CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kFirst}, 100 + i), i, now), now);
  }
  CHECK_FALSE(IsBlocked(tracker, Features({kFirst}, 200), now));
}

TEST_CASE("a blocked request is tried again seldom, and counted on all nodes") {
  CrashTracker tracker;
  CrashTracker peer;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < CrashTracker::kBlockThreshold; ++i) {
    now += milliseconds(300);
    tracker.OnCrash(Crash(Features({kBad}, 100 + i), i, now), now);
  }
  const RequestFeatures request = Features({kBad}, 200);
  size_t trials = 0;
  for (const TimePoint end = now + minutes(30); now < end; now += seconds(1)) {
    tracker.OnRefused(request, now);
    tracker.OnTick(now);
    peer.OnPeer(tracker.TakeReport(now), false, now);
    tracker.OnPeer(peer.TakeReport(now), false, now);
    // The lease moves between the nodes.
    CrashTracker& leader = trials % 2 == 0 ? tracker : peer;
    trials += leader.TakeTrial(request, now) ? 1 : 0;
  }
  // After 2, 6 and 14 minutes.
  CHECK(trials == 3);
  CHECK(IsBlocked(tracker, request, now));
}

TEST_CASE("ten thousands of parts that live a second need little memory") {
  CrashTracker tracker;
  TimePoint now = kStart;
  for (uint64_t i = 0; i < 60'000; ++i) {
    now += milliseconds(1);
    tracker.OnSound(Features({kFirst, 1'000 + i}, 100'000 + i), now);
    if (i % 50 == 0) {
      for (uint64_t run = 0; run < 16; ++run) {
        tracker.OnCrash(
            Crash(Features({kFirst, 200'000 + i + run}, 300'000 + i + run), i,
                  now),
            now);
      }
      tracker.OnTick(now);
    }
  }
  CHECK(tracker.record_count() <= CrashTracker::kMaxRecords);
  CHECK(tracker.feature_count() <= 3 * CrashTracker::kMaxRecords);
  CHECK(tracker.verdicts().empty());
  tracker.OnTick(now + 2 * CrashTracker::kEvidenceLifetime);
  CHECK(tracker.feature_count() == 0);
}

}  // namespace qh
