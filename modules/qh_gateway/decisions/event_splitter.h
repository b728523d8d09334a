// Cuts a stream's bytes into whole events, so that a stream that breaks is
// never passed on in the middle of one.

#ifndef QH_GATEWAY_DECISIONS_EVENT_SPLITTER_H_
#define QH_GATEWAY_DECISIONS_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace qh {

class EventSplitter {
 public:
  // Adds bytes and returns the whole events now at hand, as they came.
  std::string Feed(std::string_view bytes);

  // Whether bytes of an unfinished event are held.
  bool has_partial() const { return !partial_.empty(); }
  // Id of the last whole event returned; empty without one.
  const std::string& last_id() const { return last_id_; }
  uint64_t events() const { return events_; }

  // Begins with another run's bytes; events up to last_id() are dropped.
  void Restart();

 private:
  void AddEvent(std::string_view event, std::string& whole);

  std::string partial_;
  std::string last_id_;
  uint64_t events_ = 0;
  // Ids up to last_id_ come again and are dropped.
  bool skipping_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_EVENT_SPLITTER_H_
