#include "qh_gateway/decisions/event_splitter.h"

#include <charconv>

namespace qh {
namespace {

constexpr std::string_view kIdMark = "id:";

std::string_view IdOf(std::string_view event) {
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    if (line.substr(0, kIdMark.size()) == kIdMark) {
      line.remove_prefix(kIdMark.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
      }
      return line;
    }
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return {};
}

// Returns the position after the first empty line at or after `from`, or npos.
size_t EventEnd(std::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.substr(0, 1) == "\n") {
      return at + 2;
    }
    if (rest.substr(0, 2) == "\r\n") {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

// Ids are whole numbers that rise.
bool IsAfter(std::string_view id, std::string_view last) {
  uint64_t a = 0;
  uint64_t b = 0;
  const auto first = std::from_chars(id.data(), id.data() + id.size(), a);
  const auto second =
      std::from_chars(last.data(), last.data() + last.size(), b);
  if (first.ec != std::errc() || second.ec != std::errc()) {
    return id != last;
  }
  return a > b;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::string whole;
  size_t begin = 0;
  for (size_t end = EventEnd(partial_, begin); end != std::string::npos;
       end = EventEnd(partial_, begin)) {
    AddEvent(std::string_view(partial_).substr(begin, end - begin), whole);
    begin = end;
  }
  partial_.erase(0, begin);
  return whole;
}

void EventSplitter::AddEvent(std::string_view event, std::string& whole) {
  const std::string_view id = IdOf(event);
  if (skipping_ && !id.empty() && !last_id_.empty() && !IsAfter(id, last_id_)) {
    return;
  }
  skipping_ = false;
  if (!id.empty()) {
    last_id_ = std::string(id);
  }
  ++events_;
  whole.append(event);
}

void EventSplitter::Restart() {
  partial_.clear();
  skipping_ = true;
}

}  // namespace qh
