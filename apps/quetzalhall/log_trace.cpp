#include "apps/quetzalhall/log_trace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <ostream>
#include <set>
#include <vector>

namespace qh::cli {
namespace {

// State changes are shown if they happened at most this long before the first
// line of a request, as they may explain its outcome, or after its last line.
constexpr int64_t kBeforeMs = 10'000;
constexpr int64_t kAfterMs = 1'000;
constexpr std::string_view kTimePrefix = "time=";

bool IsOutcome(const std::string& event) {
  return event == "request_served" || event == "request_refused" ||
         event == "request_failed" || event == "request_given_up";
}

// Events that report a state change of a whole node.
bool IsNodeStateEvent(const std::string& event) {
  constexpr std::array<std::string_view, 8> kEvents = {
      "config_in_force", "dependency_lost", "dependency_regained", "stopping",
      "started",         "ready",           "log_lines_dropped",   "not_ready"};
  return std::find(kEvents.begin(), kEvents.end(), event) != kEvents.end();
}

std::string FieldOf(const LogEvent& event, const std::string& key) {
  const auto found = event.fields.find(key);
  return found == event.fields.end() ? std::string() : found->second;
}

// Removes one value, either quoted or up to a space, from the front of `rest`
// and returns it.
std::string TakeValue(std::string_view& rest) {
  std::string value;
  if (rest.empty() || rest.front() != '"') {
    const size_t end = std::min(rest.find(' '), rest.size());
    value = std::string(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
  }
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() == '\\' && rest.size() > 1) {
      rest.remove_prefix(1);
    }
    value += rest.front();
    rest.remove_prefix(1);
  }
  rest.remove_prefix(std::min<size_t>(1, rest.size()));
  return value;
}

// Returns milliseconds since midnight, or zero if `time` is malformed.
int64_t MillisecondsOf(const std::string& time) {
  int hour = 0;
  int minute = 0;
  int second = 0;
  int ms = 0;
  const size_t day_end = time.find('T');
  if (day_end == std::string::npos ||
      std::sscanf(time.c_str() + day_end, "T%d:%d:%d.%d", &hour, &minute,
                  &second, &ms) != 4) {
    return 0;
  }
  return ((int64_t{hour} * 60 + minute) * 60 + second) * 1'000 + ms;
}

std::vector<LogEvent> ReadLogs(std::istream& logs) {
  std::vector<LogEvent> events;
  for (std::string line; std::getline(logs, line);) {
    if (auto event = ParseLogLine(line)) {
      events.push_back(std::move(*event));
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const LogEvent& a, const LogEvent& b) {
                     return a.time_ms < b.time_ms;
                   });
  return events;
}

// Selects the state changes that may concern one request: those of its nodes
// and servers, close to its own log lines.
struct TraceScope {
  std::set<std::string> servers;
  std::set<std::string> nodes;
  int64_t first_ms = 0;
  int64_t last_ms = 0;

  bool Covers(const LogEvent& event) const {
    const bool near = event.time_ms >= first_ms - kBeforeMs &&
                      event.time_ms <= last_ms + kAfterMs;
    const bool of_server = servers.contains(FieldOf(event, "server")) &&
                           event.event.rfind("server_", 0) == 0;
    const bool of_node =
        nodes.contains(event.node) && IsNodeStateEvent(event.event);
    return near && ((of_server && nodes.contains(event.node)) || of_node);
  }
};

// Counts requests that have log lines but no outcome: their node was killed, or
// the log's line limit dropped the line.
class UnfinishedRequests {
 public:
  void Add(const LogEvent& event) {
    const std::string request = FieldOf(event, "request");
    if (!request.empty()) {
      bool& has_outcome = has_outcome_[request];
      has_outcome = has_outcome || IsOutcome(event.event);
    }
  }
  void Print(std::ostream& out) const {
    const auto unfinished =
        std::count_if(has_outcome_.begin(), has_outcome_.end(),
                      [](const auto& request) { return !request.second; });
    out << unfinished << " of " << has_outcome_.size()
        << " requests that have lines have no outcome\n";
  }

 private:
  std::map<std::string, bool> has_outcome_;
};

// Counts log lines for each node and second, and lines that nodes dropped.
class LogVolume {
 public:
  void Add(const LogEvent& event) {
    ++lines_[{event.node, event.time_ms / 1'000}];
    if (event.event == "log_lines_dropped") {
      dropped_ += std::strtoull(FieldOf(event, "lines").c_str(), nullptr, 10);
    }
  }
  void Print(std::ostream& out) const {
    const auto most = std::max_element(
        lines_.begin(), lines_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (most != lines_.end()) {
      out << most->second << " lines in a second at most, on "
          << most->first.first << "; " << dropped_ << " left out\n";
    }
  }

 private:
  // By node and second.
  std::map<std::pair<std::string, int64_t>, uint64_t> lines_;
  uint64_t dropped_ = 0;
};

void PrintOutcome(const LogEvent& event, std::ostream& out) {
  out << "outcome: " << event.event << ", status " << FieldOf(event, "status")
      << ", because: " << FieldOf(event, "reason") << "\n"
      << "decided by " << event.node << " with configuration "
      << FieldOf(event, "config");
  const std::string age = FieldOf(event, "servers_age_ms");
  if (!age.empty()) {
    out << " and a list of servers confirmed " << age << " ms before";
  }
  out << "\n";
}

}  // namespace

std::optional<LogEvent> ParseLogLine(std::string_view line) {
  const size_t start = line.find(kTimePrefix);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = line.substr(start);
  LogEvent event{.text = std::string(rest)};
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    event.fields[key] = TakeValue(rest);
    const size_t next = rest.find_first_not_of(' ');
    rest.remove_prefix(std::min(next, rest.size()));
  }
  event.time_ms = MillisecondsOf(FieldOf(event, "time"));
  event.node = FieldOf(event, "node");
  event.event = FieldOf(event, "event");
  if (event.event.empty()) {
    return std::nullopt;
  }
  return event;
}

ExitCode TraceRequest(const std::string& request,
                      std::istream& logs,
                      const Output& output) {
  const std::vector<LogEvent> events = ReadLogs(logs);
  TraceScope scope;
  const LogEvent* outcome = nullptr;
  bool found = false;
  for (const LogEvent& event : events) {
    if (FieldOf(event, "request") != request) {
      continue;
    }
    scope.first_ms = found ? scope.first_ms : event.time_ms;
    scope.last_ms = event.time_ms;
    scope.nodes.insert(event.node);
    if (const std::string server = FieldOf(event, "server"); !server.empty()) {
      scope.servers.insert(server);
    }
    found = true;
    outcome = IsOutcome(event.event) ? &event : outcome;
  }
  if (!found) {
    output.err << "no line names request " << request
               << "; served requests beyond the log's bound are only counted\n";
    return ExitCode::kFailed;
  }
  for (const LogEvent& event : events) {
    if (FieldOf(event, "request") == request || scope.Covers(event)) {
      output.out << event.text << "\n";
    }
  }
  if (outcome != nullptr) {
    PrintOutcome(*outcome, output.out);
  } else {
    output.out << "outcome: none logged; the node may have been killed\n";
  }
  return ExitCode::kOk;
}

ExitCode SummariseFailures(std::istream& logs, const Output& output) {
  std::map<std::string, uint64_t> reasons;
  uint64_t failed = 0;
  uint64_t explained = 0;
  LogVolume volume;
  UnfinishedRequests unfinished;
  for (const LogEvent& event : ReadLogs(logs)) {
    volume.Add(event);
    unfinished.Add(event);
    if (event.event != "request_refused" && event.event != "request_failed") {
      continue;
    }
    std::string reason = FieldOf(event, "reason");
    // Numbers and names in a reason would put nearly every failure into a group
    // of its own; keep only the text before the first digit.
    reason = reason.substr(0, reason.find_first_of("0123456789"));
    ++failed;
    explained += reason.empty() ? 0 : 1;
    ++reasons[event.event + " " + FieldOf(event, "status") + " " + reason];
  }
  for (const auto& [reason, count] : reasons) {
    output.out << count << "\t" << reason << "\n";
  }
  output.out << explained << " of " << failed
             << " refused or failed requests bear a reason\n";
  unfinished.Print(output.out);
  volume.Print(output.out);
  return ExitCode::kOk;
}

}  // namespace qh::cli
