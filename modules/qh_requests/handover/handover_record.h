// An open request, as a leaving node hands it over to a peer.

#ifndef QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_
#define QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "qh_requests/request_machine.h"

namespace qh {

// The peer restores a RequestMachine from it and continues the request.
struct HandoverRecord {
  RequestSpec spec;
  // The caller's request, in the encoding of qh_node.
  std::string payload;
  // Texts of all tokens so far, in order. The caller may reconnect and request
  // any of them.
  std::vector<std::string> tokens;
  RequestProgress progress;
  // Whether the call still runs and the sender will relay its outcome.
  bool running = false;

  // Creates the record of `machine`, which must have handled kMovedToPeer. A
  // record must be sent to one peer only. After a lost answer it is sent to the
  // same peer again, which recognises the id of the request.
  static HandoverRecord FromMachine(const RequestMachine& machine,
                                    std::string payload,
                                    std::vector<std::string> tokens);

  // Restores the state machine on the receiving node.
  RequestMachine Restore(uint32_t max_attempts) const;
  // Returns the event that the restored machine must handle first.
  RequestEvent resume_event() const;

  // The deadline is sent as the time left at `now`, since the clocks of nodes
  // differ.
  std::string Encode(TimePoint now) const;
  // Fails with kPeerMalformed.
  static Result<HandoverRecord> Decode(std::string_view bytes, TimePoint now);
};

}  // namespace qh

#endif  // QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_
