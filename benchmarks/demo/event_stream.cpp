#include "benchmarks/demo/event_stream.h"

#include <cstdlib>
#include <sstream>

namespace qh::demo {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

StreamEvent ParseEvent(const std::string& block) {
  StreamEvent event;
  std::istringstream lines(block);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("id: ")) {
      event.id = std::strtoull(line.c_str() + 4, nullptr, 10);
    } else if (line.starts_with("event: ")) {
      event.name = line.substr(7);
    } else if (line.starts_with("data: ")) {
      event.data = line.substr(6);
    }
  }
  return event;
}

}  // namespace

std::vector<StreamEvent> EventStream::Feed(std::string_view bytes) {
  rest_ += bytes;
  std::vector<StreamEvent> events;
  size_t start = 0;
  for (size_t end = rest_.find(kEventEnd); end != std::string::npos;
       end = rest_.find(kEventEnd, start)) {
    events.push_back(ParseEvent(rest_.substr(start, end - start)));
    start = end + kEventEnd.size();
  }
  rest_.erase(0, start);
  return events;
}

}  // namespace qh::demo
