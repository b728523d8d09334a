#include "benchmarks/control/control_operators.h"

#include <algorithm>

namespace qh::control {
namespace {

ApplyReply ToApplyReply(const StoreReply& reply) {
  ApplyReply answer;
  answer.body = reply.object.body;
  answer.version = reply.object.version;
  switch (reply.status) {
    case StoreStatus::kOk:
      answer.kind = ApplyReplyKind::kOk;
      break;
    case StoreStatus::kNotFound:
      answer.kind = ApplyReplyKind::kNotFound;
      break;
    case StoreStatus::kConflict:
      answer.kind = ApplyReplyKind::kConflict;
      break;
    case StoreStatus::kAmbiguous:
      answer.kind = ApplyReplyKind::kAmbiguous;
      break;
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
      answer.kind = ApplyReplyKind::kUnavailable;
      break;
  }
  return answer;
}

}  // namespace

ControlOperators::ControlOperators(ControlWorld& world,
                                   const OperatorOptions& options)
    : world_(world), options_(options) {
  for (size_t i = 0; i < options.files; ++i) {
    files_.push_back(
        {std::to_string(100 + i) + ".json",
         std::string(options.file_bytes, 'x') + std::to_string(i)});
  }
}

void ControlOperators::Start(TimePoint end) {
  end_ = end;
  Change();
  Next();
}

void ControlOperators::Next() {
  const Duration wait =
      FromSeconds(world_.rng().Exponential(ToSeconds(options_.mean_interval)));
  world_.network().At(world_.now() + wait, [this] {
    if (world_.now() >= end_) {
      return;
    }
    Change();
    if (world_.rng().Chance(options_.race_share)) {
      Change();
    }
    Next();
  });
}

void ControlOperators::Change() {
  std::vector<ConfigFile> files = files_;
  ConfigFile& file = files[world_.rng().Below(files.size())];
  file.text =
      std::string(options_.file_bytes, 'x') + std::to_string(++changes_);
  auto run = std::make_shared<Run>(ApplyPlan(files, std::nullopt));
  run->files = std::move(files);
  Take(run, run->plan.Start());
}

void ControlOperators::Take(const std::shared_ptr<Run>& run,
                            const ApplyStep& step) {
  if (step.kind != ApplyStepKind::kRead && step.kind != ApplyStepKind::kWrite) {
    Judge(*run, step);
    return;
  }
  StoreRequest request;
  request.op =
      step.kind == ApplyStepKind::kRead ? StoreOp::kGet : StoreOp::kPut;
  request.key = step.key;
  request.body = step.body;
  request.expected_version = step.expected_version;
  world_.store().Call(request, [this, run](const StoreReply& reply) {
    Take(run, run->plan.Advance(ToApplyReply(reply)));
  });
}

void ControlOperators::Judge(const Run& run, const ApplyStep& step) {
  const StoreReply present = world_.store().Peek(kManifestKey);
  const auto manifest = Manifest::Decode(present.object.body);
  const bool is_mine =
      manifest &&
      DiffManifests(manifest.value(), MakeManifest(0, run.files)).empty();
  if (step.kind == ApplyStepKind::kAccepted) {
    files_ = run.files;
    misjudged_ +=
        manifest && manifest.value().version == step.version && !is_mine;
  } else if (step.kind == ApplyStepKind::kRefused) {
    ++refused_;
    misjudged_ += is_mine;
  }
}

}  // namespace qh::control
