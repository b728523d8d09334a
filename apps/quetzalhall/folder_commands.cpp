#include "apps/quetzalhall/folder_commands.h"

#include <map>
#include <set>

#include "apps/quetzalhall/accepted_config.h"
#include "apps/quetzalhall/line_diff.h"
#include "qh_config/distribution/apply_plan.h"
#include "qh_config/schema/reference_page.h"

namespace qh::cli {
namespace {

// Reads and checks the folder. Prints every mistake and returns nullopt if
// there are any.
std::optional<std::vector<ConfigFile>> LoadFolder(const std::string& folder,
                                                  const Output& output) {
  auto files = ReadConfigFolder(folder);
  if (!files) {
    output.err << files.error().detail() << "\n";
    return std::nullopt;
  }
  const LoadedConfig loaded = LoadConfig(files.value());
  for (const ConfigMistake& mistake : loaded.mistakes) {
    output.err << mistake.ToString() << "\n";
  }
  if (!loaded.mistakes.empty()) {
    output.err << loaded.mistakes.size() << " mistakes; nothing is applied\n";
    return std::nullopt;
  }
  return std::move(files.value());
}

std::map<std::string, std::string> ByName(
    const std::vector<ConfigFile>& files) {
  std::map<std::string, std::string> texts;
  for (const ConfigFile& file : files) {
    texts[file.name] = file.text;
  }
  return texts;
}

// Prints the difference of one file; returns whether there is one.
bool PrintFileDiff(const std::string& name,
                   const std::string& from,
                   const std::string& to,
                   const Output& output) {
  if (from == to) {
    return false;
  }
  output.out << "file " << name << "\n";
  for (const std::string& line : DiffLines(from, to)) {
    output.out << line << "\n";
  }
  return true;
}

ApplyReply ReplyOf(const StoreReply& reply) {
  ApplyReply result;
  result.body = reply.object.body;
  result.version = reply.object.version;
  switch (reply.status) {
    case StoreStatus::kOk:
      result.kind = ApplyReplyKind::kOk;
      break;
    case StoreStatus::kNotFound:
      result.kind = ApplyReplyKind::kNotFound;
      break;
    case StoreStatus::kConflict:
      result.kind = ApplyReplyKind::kConflict;
      break;
    case StoreStatus::kThrottled:
    case StoreStatus::kUnavailable:
      result.kind = ApplyReplyKind::kUnavailable;
      break;
    case StoreStatus::kAmbiguous:
      result.kind = ApplyReplyKind::kAmbiguous;
      break;
  }
  return result;
}

// Executes the plan's steps against the store; returns the final step.
ApplyStep ExecutePlan(ApplyPlan& plan, const StoreHook& store) {
  ApplyStep step = plan.Start();
  while (step.kind == ApplyStepKind::kRead ||
         step.kind == ApplyStepKind::kWrite) {
    StoreRequest request;
    request.op =
        step.kind == ApplyStepKind::kRead ? StoreOp::kGet : StoreOp::kPut;
    request.key = step.key;
    request.body = step.body;
    request.expected_version = step.expected_version;
    step = plan.Advance(ReplyOf(store(request)));
  }
  return step;
}

void PrintNames(const char* label,
                const std::vector<std::string>& names,
                const Output& output) {
  for (const std::string& name : names) {
    output.err << "  " << label << " " << name << "\n";
  }
}

// Prints the accepted version that conflicts with this one, its author, and the
// files that differ.
void PrintRefusal(const ApplyStep& step,
                  const StoreHook& store,
                  const Output& output) {
  const auto manifest = ReadManifest(store);
  const std::string author = manifest &&
                                     manifest.value().version == step.version &&
                                     !manifest.value().author.empty()
                                 ? manifest.value().author
                                 : "somebody else";
  output.err << "refused: version " << step.version << " by " << author
             << " is in force; from it to the folder:\n";
  PrintNames("adds", step.diff.added, output);
  PrintNames("changes", step.diff.changed, output);
  PrintNames("removes", step.diff.removed, output);
  output.err << "see `quetzalhall diff`, then apply with --expect "
             << step.version << "\n";
}

}  // namespace

ExitCode Check(const std::string& folder, const Output& output) {
  const auto files = LoadFolder(folder, output);
  if (!files) {
    return ExitCode::kUsage;
  }
  output.out << "ok: " << files->size() << " files\n";
  return ExitCode::kOk;
}

ExitCode Diff(const std::string& folder,
              const StoreHook& store,
              const Output& output) {
  const auto files = LoadFolder(folder, output);
  if (!files) {
    return ExitCode::kUsage;
  }
  const auto accepted = ReadAcceptedConfig(store);
  if (!accepted) {
    output.err << accepted.error().detail() << "\n";
    return ExitCode::kUnknown;
  }
  auto before = ByName(accepted.value().files);
  auto after = ByName(*files);
  std::set<std::string> names;
  for (const auto* texts : {&before, &after}) {
    for (const auto& [name, text] : *texts) {
      names.insert(name);
    }
  }
  output.out << "accepted version " << accepted.value().manifest.version
             << "\n";
  bool differs = false;
  for (const std::string& name : names) {
    differs |= PrintFileDiff(name, before[name], after[name], output);
  }
  return differs ? ExitCode::kFailed : ExitCode::kOk;
}

ExitCode Apply(const ApplyOptions& options,
               const StoreHook& store,
               const Output& output) {
  const auto files = LoadFolder(options.folder, output);
  if (!files) {
    return ExitCode::kUsage;
  }
  ApplyPlan plan(*files, options.expected_version, options.author);
  const ApplyStep step = ExecutePlan(plan, store);
  switch (step.kind) {
    case ApplyStepKind::kAccepted:
      output.out << "accepted as version " << step.version << "\n";
      return ExitCode::kOk;
    case ApplyStepKind::kRefused:
      PrintRefusal(step, store, output);
      return ExitCode::kFailed;
    case ApplyStepKind::kUnavailable:
      output.err << "not accepted: the store does not answer\n";
      return ExitCode::kFailed;
    case ApplyStepKind::kUnknown:
    case ApplyStepKind::kRead:
    case ApplyStepKind::kWrite:
      break;
  }
  output.err << "not known whether it was accepted; see `quetzalhall diff`\n";
  return ExitCode::kUnknown;
}

ExitCode Reference(const Output& output) {
  output.out << ReferencePage();
  return ExitCode::kOk;
}

}  // namespace qh::cli
