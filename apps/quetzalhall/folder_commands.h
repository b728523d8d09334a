// Commands for configuration folders (check, diff, apply) and the command that
// prints the configuration reference.

#ifndef APPS_QUETZALHALL_FOLDER_COMMANDS_H_
#define APPS_QUETZALHALL_FOLDER_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

#include "apps/common/program.h"
#include "qh_platform/store/object_store.h"

namespace qh::cli {

// Output streams of a command.
struct Output {
  std::ostream& out;
  // For mistakes in files and error messages.
  std::ostream& err;
};

struct ApplyOptions {
  std::string folder;
  // Accepted version on which the change is based; nullopt means the version
  // that is accepted when the command starts.
  std::optional<uint64_t> expected_version;
  // Stored in the manifest of the accepted version.
  std::string author;
};

// Checks the folder and prints every mistake; kUsage when there is one.
ExitCode Check(const std::string& folder, const Output& output);

// Prints how the folder differs from the accepted configuration. Returns kOk
// when it does not, kFailed when it does, kUsage for mistakes, kUnknown when
// the store does not answer.
ExitCode Diff(const std::string& folder,
              const StoreHook& store,
              const Output& output);

// Checks the folder and makes it the accepted configuration. Returns kUsage for
// mistakes, kFailed when refused or the store is down (nothing was accepted),
// kUnknown when the result of the write is not known.
ExitCode Apply(const ApplyOptions& options,
               const StoreHook& store,
               const Output& output);

// Prints the configuration reference.
ExitCode Reference(const Output& output);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_FOLDER_COMMANDS_H_
