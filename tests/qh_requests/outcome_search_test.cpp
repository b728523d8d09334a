// Seeded random fault sessions of a whole cell (OutcomeWorld). Each session is
// checked against the guarantees that callers have: no accepted request is
// lost, no stream is cut, no at-most-once call runs twice, no "not executed" is
// false, no answer reaches the wrong request, and one content crashes at most
// kMaxCrashesPerFingerprint servers. With one of the guards switched off, the
// search must find a violation.

#include <catch2/catch.hpp>

#include "fakes/outcome_search.h"

namespace qh {

TEST_CASE("the guarantees hold in random sessions") {
  const auto result = SearchOutcomes(1, 200, OutcomeGuard::kNone, false);
  INFO("first broken session " << result.first_broken.value_or(0));
  CHECK_FALSE(result.first_broken);
  const OutcomeTotals& totals = result.totals;
  CHECK(totals.lost_accepted == 0);
  CHECK(totals.cut_streams == 0);
  CHECK(totals.duplicates_run == 0);
  CHECK(totals.false_not_run == 0);
  CHECK(totals.crossed == 0);
  CHECK(totals.servers_lost_per_poison_max <= kMaxCrashesPerFingerprint);
  CHECK(totals.unknown * 200 < totals.accepted_once);
  CHECK(totals.answered_whole > 0);
}

TEST_CASE("sessions that once violated a guarantee no longer do") {
  // Seed and session, with the fault that they guard against.
  const auto [seed, index] = GENERATE(table<uint64_t, uint64_t>({
      {1, 165},   // content blamed for a server that it never reached
      {1, 419},   // a wave evaluated before its last death was counted
      {1, 608},   // a late report of an ended run released a newer grant
      {1, 1208},  // a grant released before its crash was known
      {2, 822},   // a cancelled run crashed its server after the next grant
      {3, 487},   // a crash after the request was handed over
      {3, 1188},  // a request accepted by a node that was leaving
      {4, 323},   // a node resumed from a pause with outdated suspicions
  }));
  OutcomeWorld world(OutcomeSessionSeed(seed, index), OutcomeGuard::kNone);
  CHECK_FALSE(world.Run().broken());
}

TEST_CASE("a harmless stream on servers that crash is answered") {
  const auto [seed, index] = GENERATE(table<uint64_t, uint64_t>({
      {7, 392},    // a suspect granted before a second suspect was known
      {10, 984},   // other content granted on the server of a suspect
      {10, 1035},  // the same
      {8, 601},    // other content sent without a grant to that server
      {11, 485},   // cleared content stayed a suspect on the arbiter
  }));
  OutcomeWorld world(OutcomeSessionSeed(seed, index), OutcomeGuard::kNone);
  CHECK(world.Run().cut_streams == 0);
}

TEST_CASE(
    "a node that dies with the server of its granted run hides no crash") {
  OutcomeWorld world(OutcomeSessionSeed(10, 1258), OutcomeGuard::kNone);
  CHECK(world.Run().servers_lost_per_poison_max <= kMaxCrashesPerFingerprint);
}

TEST_CASE("a stream that two unrelated crashes make a suspect is answered") {
  const auto [seed, index] = GENERATE(table<uint64_t, uint64_t>({
      {4, 492},   // alone on a dead server, then with content not yet a suspect
      {9, 1427},  // with content that crashes, then alone on a dead server
      {12, 21},   // the same
  }));
  OutcomeWorld world(OutcomeSessionSeed(seed, index), OutcomeGuard::kNone);
  const OutcomeTotals totals = world.Run();
  CHECK(totals.cut_streams == 0);
  CHECK(totals.servers_lost_per_poison_max <= kMaxCrashesPerFingerprint);
}

TEST_CASE("a node resumed just before its reclaim hands its stream over") {
  OutcomeWorld world(OutcomeSessionSeed(10, 270), OutcomeGuard::kNone);
  CHECK(world.Run().lost_accepted == 0);
}

TEST_CASE("the search finds a violation when a guard is off") {
  constexpr uint64_t kSessions = 2000;
  SECTION("claim") {
    const auto result =
        SearchOutcomes(1, kSessions, OutcomeGuard::kClaim, true);
    CHECK(result.totals.duplicates_run > 0);
  }
  SECTION("fence") {
    const auto result =
        SearchOutcomes(1, kSessions, OutcomeGuard::kFence, true);
    CHECK(result.totals.duplicates_run > 0);
  }
  SECTION("nonce read-back") {
    const auto result =
        SearchOutcomes(1, kSessions, OutcomeGuard::kNonceReadBack, true);
    CHECK(result.totals.duplicates_run > 0);
  }
  SECTION("connection close") {
    const auto result =
        SearchOutcomes(1, kSessions, OutcomeGuard::kConnectionClose, true);
    CHECK(result.totals.crossed > 0);
  }
  SECTION("quarantine") {
    const auto result =
        SearchOutcomes(1, kSessions, OutcomeGuard::kQuarantine, true);
    CHECK(result.totals.servers_lost_per_poison_max >
          kMaxCrashesPerFingerprint);
  }
}

}  // namespace qh
