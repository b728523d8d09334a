#include "qh_gateway/decisions/streams/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace qh {
namespace {

constexpr std::string_view kIdField = "id:";
// Bytes of "\n\r\n".
constexpr size_t kLongestEventEnd = 3;

// Returns the event's id, or an empty text if it has none.
std::string_view EventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
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

// Whether `id` is later than `last`. Ids are increasing integers; any other id
// that differs from `last` counts as later.
bool IsAfter(std::string_view id, std::string_view last) {
  uint64_t id_number = 0;
  uint64_t last_number = 0;
  const auto first =
      std::from_chars(id.data(), id.data() + id.size(), id_number);
  const auto second =
      std::from_chars(last.data(), last.data() + last.size(), last_number);
  if (first.ec != std::errc() || second.ec != std::errc()) {
    return id != last;
  }
  return id_number > last_number;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  // The bytes held hold no end of an event, but the last of them may belong to
  // one.
  const size_t searched =
      partial_.size() - std::min(partial_.size(), kLongestEventEnd - 1);
  partial_.append(bytes);
  std::string complete;
  size_t begin = 0;
  for (size_t end = EventEnd(partial_, searched); end != std::string::npos;
       end = EventEnd(partial_, begin)) {
    AddEvent(std::string_view(partial_).substr(begin, end - begin), complete);
    begin = end;
  }
  partial_.erase(0, begin);
  return complete;
}

void EventSplitter::AddEvent(std::string_view event, std::string& complete) {
  const std::string_view id = EventId(event);
  if (skipping_ && !id.empty() && !last_id_.empty() && !IsAfter(id, last_id_)) {
    return;
  }
  skipping_ = false;
  if (!id.empty()) {
    last_id_ = std::string(id);
  }
  ++events_;
  complete.append(event);
}

void EventSplitter::Restart() {
  partial_.clear();
  skipping_ = true;
}

}  // namespace qh
