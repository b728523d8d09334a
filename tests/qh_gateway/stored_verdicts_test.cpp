// What nodes write to the store about their verdicts, in virtual time.

#include "qh_gateway/decisions/crash/stored_verdicts.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

using std::chrono::minutes;
using Kind = VerdictWrite::Kind;

const TimePoint kStart{};

CrashVerdict VerdictOn(Feature feature) {
  return {.features = {feature},
          .crashed = kStart,
          .decided = kStart,
          .refused = kStart};
}

}  // namespace

TEST_CASE("the leader stores a verdict at once, other nodes only later") {
  StoredVerdicts stored;
  CHECK_FALSE(stored.NextWrite({VerdictOn(2)}, true, kStart));
  stored.OnListBegins();
  CHECK_FALSE(stored.NextWrite({VerdictOn(2)}, false, kStart));
  const auto write = stored.NextWrite({VerdictOn(2)}, true, kStart);
  REQUIRE(write);
  CHECK(write->kind == Kind::kCreate);
  CHECK(write->name == StoredVerdicts::NameOf({2}));
  CHECK(stored.NextWrite({VerdictOn(2)}, false,
                         kStart + StoredVerdicts::kLeaderFirst));
  stored.OnStored(write->name, write->verdict);
  CHECK_FALSE(stored.NextWrite({VerdictOn(2)}, false, kStart + minutes(1)));
  CHECK_FALSE(stored.NextWrite({VerdictOn(2)}, true, kStart + minutes(1)));
}

TEST_CASE("the leader refreshes a stored verdict and removes one that ended") {
  StoredVerdicts stored;
  stored.OnListBegins();
  CrashVerdict verdict = VerdictOn(2);
  stored.OnStored(StoredVerdicts::NameOf({2}), verdict);
  verdict.refused += StoredVerdicts::kRefreshInterval + minutes(1);
  CHECK_FALSE(stored.NextWrite({verdict}, false, verdict.refused));
  const auto refresh = stored.NextWrite({verdict}, true, verdict.refused);
  REQUIRE(refresh);
  CHECK(refresh->kind == Kind::kReplace);
  CHECK_FALSE(stored.NextWrite({}, false, verdict.refused));
  const auto removal = stored.NextWrite({}, true, verdict.refused);
  REQUIRE(removal);
  CHECK(removal->kind == Kind::kRemove);
  const auto ended = stored.OnRemoved(removal->name);
  REQUIRE(ended);
  CHECK(ended->features == std::vector<Feature>{2});
}

TEST_CASE("a store that was restored without a verdict gets it again") {
  StoredVerdicts stored;
  stored.OnListBegins();
  stored.OnStored(StoredVerdicts::NameOf({2}), VerdictOn(2));
  stored.OnListBegins();
  const auto write = stored.NextWrite({VerdictOn(2)}, true, kStart);
  REQUIRE(write);
  CHECK(write->kind == Kind::kCreate);
}

}  // namespace qh
