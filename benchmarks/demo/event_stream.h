// A caller's view of an event stream: its events' ids, names and data.

#ifndef BENCHMARKS_DEMO_EVENT_STREAM_H_
#define BENCHMARKS_DEMO_EVENT_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace qh::demo {

struct StreamEvent {
  // Zero when the event has none.
  uint64_t id = 0;
  // Empty for plain messages.
  std::string name;
  std::string data;
};

class EventStream {
 public:
  // Takes the next bytes; returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);

 private:
  // Bytes of the event not yet complete.
  std::string rest_;
};

}  // namespace qh::demo

#endif  // BENCHMARKS_DEMO_EVENT_STREAM_H_
