// Reads the gateways' logs and tells what became of a request: its own lines,
// and what the nodes came to believe of its servers and dependencies around it.

#ifndef APPS_QUETZALHALL_LOG_TRACE_H_
#define APPS_QUETZALHALL_LOG_TRACE_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "apps/common/program.h"
#include "apps/quetzalhall/folder_commands.h"

namespace qh::cli {

// One line of a gateway's log.
struct LogEvent {
  // Milliseconds since midnight.
  int64_t time_ms = 0;
  std::string node;
  std::string event;
  // Every key=value pair of the line.
  std::map<std::string, std::string> fields;
  // The line from "time=" on.
  std::string text;
};

// Returns the event that `line` holds, or nothing. What stands before "time="
// is passed over.
std::optional<LogEvent> ParseLogLine(std::string_view line);

// Prints the story of `request` from the lines of `logs`, in order of time, and
// its outcome. kFailed when no line names it.
ExitCode TraceRequest(const std::string& request,
                      std::istream& logs,
                      const Output& output);

// Prints how often requests were refused or failed, by reason, how many of them
// bear one, how many requests have no outcome, and the most lines that a node
// wrote in a second.
ExitCode SummariseFailures(std::istream& logs, const Output& output);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_LOG_TRACE_H_
