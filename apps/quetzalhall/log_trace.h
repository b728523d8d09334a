// Reads gateway logs and shows what happened to a request: its own log lines,
// and state changes of its nodes and servers at about the same time.

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

// Parses a log line; ignores any text before "time=". Returns nullopt if the
// line has no time or no event.
std::optional<LogEvent> ParseLogLine(std::string_view line);

// Prints the lines of `logs` that concern `request`, in order of time, and its
// outcome. Returns kFailed when no line names the request.
ExitCode TraceRequest(const std::string& request,
                      std::istream& logs,
                      const Output& output);

// Prints how often requests were refused or failed, by reason, how many of them
// have a reason, how many requests have no outcome, and the most lines that a
// node wrote in a second.
ExitCode SummariseFailures(std::istream& logs, const Output& output);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_LOG_TRACE_H_
