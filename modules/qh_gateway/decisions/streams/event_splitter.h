// Splits the bytes of an event stream (SSE) into complete events, so that the
// caller never receives a part of an event when the server's stream breaks.

#ifndef QH_GATEWAY_DECISIONS_STREAMS_EVENT_SPLITTER_H_
#define QH_GATEWAY_DECISIONS_STREAMS_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace qh {

class EventSplitter {
 public:
  // Adds received bytes. Returns the events that are complete now, unchanged.
  std::string Feed(std::string_view bytes);

  // Whether bytes of an incomplete event are held.
  bool has_partial() const { return !partial_.empty(); }
  // Size of that incomplete event, in bytes.
  size_t partial_size() const { return partial_.size(); }
  // Id of the last event that was returned; empty if none had an id.
  const std::string& last_id() const { return last_id_; }
  // Number of events that were returned.
  uint64_t events() const { return events_; }

  // The stream is resumed: the next bytes come from another server. An
  // incomplete event is discarded, and events up to last_id() are dropped when
  // they come again.
  void Restart();

 private:
  // Appends `event` to `complete` unless the caller has received it before.
  void AddEvent(std::string_view event, std::string& complete);

  std::string partial_;
  std::string last_id_;
  uint64_t events_ = 0;
  // After Restart(): events up to last_id_ are dropped.
  bool skipping_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_STREAMS_EVENT_SPLITTER_H_
