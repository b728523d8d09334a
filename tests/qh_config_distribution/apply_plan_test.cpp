// Steps by which a configuration is accepted, and lost races and answers.

#include "qh_config/distribution/apply_plan.h"

#include <catch2/catch.hpp>

namespace qh {
namespace {

const std::vector<ConfigFile> kFiles = {{"10-a.json", "{}"},
                                        {"20-b.json", "{\"x\":1}"}};

ApplyReply Stored(const Manifest& manifest, uint64_t object_version) {
  return {ApplyReplyKind::kOk, manifest.Encode(), object_version};
}

// Runs the plan up to its manifest write, with `base` as the answer to the
// first read.
ApplyStep UpToManifest(ApplyPlan& plan, const ApplyReply& base) {
  CHECK(plan.Start().key == kManifestKey);
  ApplyStep step = plan.Advance(base);
  while (step.kind == ApplyStepKind::kWrite && step.key != kManifestKey) {
    step = plan.Advance({ApplyReplyKind::kOk, "", 1});
  }
  return step;
}

}  // namespace

TEST_CASE("the first manifest is written only if none exists") {
  ApplyPlan plan(kFiles, std::nullopt);
  const ApplyStep step = UpToManifest(plan, {ApplyReplyKind::kNotFound, "", 0});
  REQUIRE(step.kind == ApplyStepKind::kWrite);
  CHECK(step.expected_version == 0);
  const ApplyStep end = plan.Advance({ApplyReplyKind::kOk, "", 1});
  CHECK(end.kind == ApplyStepKind::kAccepted);
  CHECK(end.version == 1);
}

TEST_CASE("only files that the base manifest lacks are written") {
  ApplyPlan plan(kFiles, std::nullopt);
  plan.Start();
  const ApplyStep step = plan.Advance(Stored(MakeManifest(4, {kFiles[0]}), 9));
  CHECK(step.key == ObjectKeyOf(kFiles[1].text));
  const ApplyStep manifest = plan.Advance({ApplyReplyKind::kOk, "", 1});
  CHECK(manifest.key == kManifestKey);
  CHECK(manifest.expected_version == 9);
}

TEST_CASE("a lost race is refused with the difference of files") {
  ApplyPlan plan(kFiles, std::nullopt);
  UpToManifest(plan, Stored(MakeManifest(4, {kFiles[0]}), 9));
  CHECK(plan.Advance({ApplyReplyKind::kConflict, "", 10}).key == kManifestKey);
  const ApplyStep end = plan.Advance(Stored(
      MakeManifest(5, {{"10-a.json", "{\"y\":2}"}, {"30-c.json", "{}"}}), 10));
  CHECK(end.kind == ApplyStepKind::kRefused);
  CHECK(end.diff.added == std::vector<std::string>{"20-b.json"});
  CHECK(end.diff.changed == std::vector<std::string>{"10-a.json"});
  CHECK(end.diff.removed == std::vector<std::string>{"30-c.json"});
}

TEST_CASE("a change made against an older manifest is refused at once") {
  ApplyPlan plan(kFiles, 3);
  plan.Start();
  CHECK(plan.Advance(Stored(MakeManifest(4, {}), 9)).kind ==
        ApplyStepKind::kRefused);
}

TEST_CASE(
    "a lost answer to the manifest write is resolved by reading the manifest") {
  const Manifest base = MakeManifest(4, {});
  ApplyPlan accepted(kFiles, std::nullopt);
  UpToManifest(accepted, Stored(base, 9));
  accepted.Advance({ApplyReplyKind::kAmbiguous, "", 0});
  CHECK(accepted.Advance(Stored(MakeManifest(5, kFiles), 10)).kind ==
        ApplyStepKind::kAccepted);

  ApplyPlan lost(kFiles, std::nullopt);
  UpToManifest(lost, Stored(base, 9));
  lost.Advance({ApplyReplyKind::kAmbiguous, "", 0});
  const ApplyStep repeat = lost.Advance(Stored(base, 9));
  CHECK(repeat.kind == ApplyStepKind::kWrite);
  CHECK(repeat.expected_version == 9);

  ApplyPlan raced(kFiles, std::nullopt);
  UpToManifest(raced, Stored(base, 9));
  raced.Advance({ApplyReplyKind::kAmbiguous, "", 0});
  CHECK(raced.Advance(Stored(MakeManifest(5, {kFiles[0]}), 10)).kind ==
        ApplyStepKind::kRefused);

  ApplyPlan hidden(kFiles, std::nullopt);
  UpToManifest(hidden, Stored(base, 9));
  hidden.Advance({ApplyReplyKind::kAmbiguous, "", 0});
  CHECK(hidden.Advance(Stored(MakeManifest(6, {kFiles[0]}), 11)).kind ==
        ApplyStepKind::kUnknown);
}

TEST_CASE("a plan ends when every manifest write stays ambiguous") {
  const Manifest base = MakeManifest(4, {});
  ApplyPlan plan(kFiles, std::nullopt);
  ApplyStep step = UpToManifest(plan, Stored(base, 9));
  int steps = 0;
  while (step.kind == ApplyStepKind::kWrite ||
         step.kind == ApplyStepKind::kRead) {
    step = plan.Advance(step.kind == ApplyStepKind::kWrite
                            ? ApplyReply{ApplyReplyKind::kAmbiguous, "", 0}
                            : Stored(base, 9));
    REQUIRE(++steps < 50);
  }
  CHECK(step.kind == ApplyStepKind::kUnknown);
}

}  // namespace qh
