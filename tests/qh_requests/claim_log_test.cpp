// Claim logs under faults of the store and of other writers; golden sessions.

#include <catch2/catch.hpp>

#include "fakes/outcome_claim_writers.h"
#include "fakes/outcome_golden.h"
#include "qh_requests/claims/claim_log.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ClaimWriters TwoWriters() {
  ClaimWriters writers;
  writers.Add("a");
  writers.Add("b");
  return writers;
}

void CheckGolden(const ClaimWriters& writers, const std::string& name) {
  const std::string path =
      std::string(QH_TEST_DATA) + "/golden/outcomes_" + name + ".txt";
  CHECK_THAT(GoldenDifference(path, writers.trace()), Catch::Equals(""));
}

// Appends `count` entries through `writer`, each with one claim and release.
void Fill(ClaimWriters& writers, const std::string& writer, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string ask = writer + "-fill-" + std::to_string(i);
    writers.Ask(writer, ask);
    writers.Pass(milliseconds(100));
    writers.Report(writer, ask, OutcomeKind::kNotDispatched);
    writers.Pass(milliseconds(400));
  }
}

}  // namespace

TEST_CASE("a claim write whose answer is lost is found by reading it back") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kAnswerLost});
  writers.Ask("a", "r1");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r1") == "won");
  writers.Ask("b", "r2");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r2") ==
        "refused request_in_progress executed=unknown");
  CheckGolden(writers, "lost_answer");
}

TEST_CASE("a claim write that was lost is not taken as written") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kRequestLost, StoreFault::kRequestLost});
  writers.Ask("a", "r1");
  writers.Ask("b", "r2");
  writers.Pass(milliseconds(500));
  CHECK(writers.wins() == 1);
  CHECK(writers.AnswerTo("r2") == "won");
  CheckGolden(writers, "lost_write");
}

TEST_CASE("a paused owner's write that arrives late does not take the key") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kHeld});
  writers.Ask("a", "r1");
  writers.Note("a is paused; b takes the partition over");
  writers.Ask("b", "r2");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r2") == "won");
  writers.Note("a wakes");
  writers.ReleaseHeld("a");
  writers.DeliverHeld("a");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r1") ==
        "refused request_in_progress executed=unknown");
  CHECK(writers.wins() == 1);
  CheckGolden(writers, "paused_owner");
}

TEST_CASE("a writer paused for whole laps of the ring can't take a position") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kHeld});
  writers.Ask("a", "r1");
  const int laps = GENERATE(1, 2);
  Fill(writers, "b", laps * static_cast<int>(kClaimRingSlots) / 2);
  writers.Ask("b", "r2");
  writers.Pass(milliseconds(300));
  REQUIRE(writers.AnswerTo("r2") == "won");
  writers.ReleaseHeld("a");
  writers.DeliverHeld("a");
  writers.Ask("a", "r3");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r3") ==
        "refused request_in_progress executed=unknown");
  CHECK(writers.log("a").next_sequence() == writers.log("b").next_sequence());
}

TEST_CASE("two owners that race give the key to one") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kHeld});
  writers.Fault("b", {StoreFault::kHeld});
  writers.Ask("a", "r1");
  writers.Ask("b", "r2");
  writers.ReleaseHeld("b");
  writers.ReleaseHeld("a");
  writers.DeliverHeld("a");
  writers.DeliverHeld("b");
  writers.Pass(milliseconds(100));
  CHECK(writers.wins() == 1);
  CHECK(writers.AnswerTo("r2") == "won");
  CheckGolden(writers, "racing_owners");
}

TEST_CASE("resends get the outcome of the first run") {
  ClaimWriters writers = TwoWriters();
  writers.Ask("a", "r1");
  writers.Note("a resend to another node while the first runs");
  writers.Ask("b", "r2");
  writers.Note("the same key with another body");
  writers.Ask("b", "r3", "print-2");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r2") ==
        "refused request_in_progress executed=unknown");
  CHECK(writers.AnswerTo("r3") == "refused idempotency_key_reused executed=no");
  writers.Report("a", "r1", OutcomeKind::kAnswered, "booked");
  writers.Pass(seconds(1));
  writers.Ask("b", "r4");
  writers.Pass(milliseconds(100));
  CHECK(writers.AnswerTo("r4") == "replayed booked");
  CheckGolden(writers, "resends");
}

TEST_CASE("an answer too large to keep is refused with executed yes") {
  ClaimWriters writers = TwoWriters();
  writers.Ask("a", "r1");
  writers.Report("a", "r1", OutcomeKind::kAnswered,
                 std::string(ClaimLogSettings().max_answer_bytes + 1, 'x'));
  writers.Pass(seconds(1));
  writers.Ask("b", "r2");
  CHECK(writers.AnswerTo("r2") == "refused answer_not_kept executed=yes");
}

TEST_CASE(
    "a claimant that died leaves an unknown outcome, never a second run") {
  ClaimWriters writers = TwoWriters();
  writers.Ask("a", "r1", "print-1", "node-1");
  writers.Note("node-1 dies between claim and outcome");
  writers.SetDead("b", "node-1");
  writers.Ask("b", "r2");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r2") == "refused outcome_unknown executed=unknown");
  writers.Pass(seconds(60));
  writers.Ask("a", "r3");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r3") == "refused outcome_unknown executed=unknown");
  CHECK(writers.wins() == 1);
  CheckGolden(writers, "claimant_died");
}

TEST_CASE("a released key can be claimed again, but not by the released ask") {
  ClaimWriters writers = TwoWriters();
  writers.Ask("a", "r1");
  writers.Report("a", "r1", OutcomeKind::kNotDispatched);
  writers.Pass(seconds(1));
  writers.Ask("b", "r1");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r1") == "refused claim_unavailable executed=no");
  writers.Ask("b", "r2");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r2") == "won");
  CheckGolden(writers, "released");
}

TEST_CASE("a claim that lands after its release does not hold the key") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", {StoreFault::kHeld});
  writers.Ask("a", "r1");
  writers.Note("the asker gives up and releases through b");
  writers.Report("b", "r1", OutcomeKind::kNotDispatched);
  writers.Pass(seconds(1));
  writers.ReleaseHeld("a");
  writers.DeliverHeld("a");
  writers.Pass(seconds(3));
  writers.Ask("b", "r2");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r1") == "refused claim_unavailable executed=no");
  CHECK(writers.AnswerTo("r2") == "won");
}

TEST_CASE("with the store down asks are refused and nothing runs") {
  ClaimWriters writers = TwoWriters();
  writers.Fault("a", std::vector<StoreFault>(100, StoreFault::kUnavailable));
  writers.Ask("a", "r1");
  writers.Pass(seconds(3));
  CHECK(writers.AnswerTo("r1") == "refused claim_unavailable executed=no");
  CHECK(writers.wins() == 0);
  writers.Fault("a", {});
  writers.Ask("a", "r2");
  writers.Pass(seconds(2));
  CHECK(writers.AnswerTo("r2") == "won");
}

TEST_CASE("asking again after a lost answer gives the same verdict") {
  ClaimWriters writers = TwoWriters();
  writers.Ask("a", "r1");
  writers.Ask("a", "r1");
  writers.Ask("b", "r1");
  writers.Pass(seconds(1));
  CHECK(writers.wins() == 3);
  writers.Ask("b", "r2");
  CHECK(writers.AnswerTo("r2") ==
        "refused request_in_progress executed=unknown");
}

TEST_CASE("claims outlive all writers, through segments and ring") {
  ClaimWriters writers = TwoWriters();
  Fill(writers, "a", 40);
  writers.Ask("a", "r1");
  writers.Pass(milliseconds(200));
  writers.Report("a", "r1", OutcomeKind::kAnswered, "booked");
  writers.Pass(seconds(1));
  const int more = GENERATE(0, 33, 80);
  for (int i = 0; i < more; ++i) {
    writers.Report("a", "r1", OutcomeKind::kUnknown);
    writers.Pass(milliseconds(300));
  }
  writers.Add("c");
  writers.Ask("c", "r2");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r2") == "replayed booked");
  CHECK(writers.log("c").next_sequence() == writers.log("a").next_sequence());
}

TEST_CASE("old claims and their segments go after the retention") {
  ClaimLogSettings settings;
  settings.retention = std::chrono::minutes(2);
  ClaimWriters writers(settings);
  writers.Add("a");
  Fill(writers, "a", 40);
  const size_t before = writers.store().objects().size();
  writers.Pass(std::chrono::minutes(5));
  CHECK(writers.log("a").claims() == 0);
  CHECK(writers.store().objects().size() < before);
  writers.Add("c");
  writers.Ask("c", "r1");
  writers.Pass(seconds(1));
  CHECK(writers.AnswerTo("r1") == "won");
}

TEST_CASE("a malformed object is no crash and no claim") {
  ClaimWriters writers = TwoWriters();
  const std::string body =
      GENERATE(as<std::string>(), "", "x", "\xc1", "\x81\xa7records\x91\xa1x");
  writers.store().Apply(
      {.op = StoreOp::kPut, .key = "claims/00/log/00", .body = body});
  writers.Ask("a", "r1");
  writers.Pass(seconds(3));
  CHECK(writers.AnswerTo("r1") == "refused claim_unavailable executed=no");
}

TEST_CASE("messages of a newer version are read, malformed ones are errors") {
  ClaimRequest ask = {
      .key = "k", .fingerprint = "f", .request_id = RequestId("r")};
  std::string bytes = ask.Encode();
  // One more field with a nested map: {"new": {}}.
  bytes[0] = static_cast<char>(bytes[0] + 1);
  bytes += std::string("\xa3new\x80", 5);
  REQUIRE(ClaimRequest::Decode(bytes).has_value());
  CHECK(ClaimRequest::Decode(bytes).value().key == "k");
  for (size_t size = 0; size + 5 < bytes.size(); ++size) {
    CHECK(!ClaimRequest::Decode(bytes.substr(0, size)).has_value());
  }
  CHECK(!OutcomeReport::Decode("\x80").has_value());
  CHECK(!ClaimAnswer::Decode("\x80").has_value());
}

TEST_CASE("every member agrees on a partition's owner") {
  const std::vector<InstanceId> members = {InstanceId("a"), InstanceId("b"),
                                           InstanceId("c")};
  const std::vector<InstanceId> other = {members[2], members[0], members[1]};
  for (uint32_t partition = 0; partition < kClaimPartitions; ++partition) {
    CHECK(ClaimOwner(partition, members) == ClaimOwner(partition, other));
  }
  CHECK(ClaimOwner(0, {}).empty());
}

}  // namespace qh
