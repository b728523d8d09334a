// An open request as one node hands it to another.

#ifndef QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_
#define QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "qh_requests/request_machine.h"

namespace qh {

struct HandoverRecord {
  RequestSpec spec;
  // The caller's request, in the node's own encoding.
  std::string payload;
  // Texts of the tokens so far, in order; the caller may ask for any of them.
  std::vector<std::string> tokens;
  RequestProgress progress;
  // Whether the call still runs and the sender will relay its outcome.
  bool running = false;

  // Makes the record of `machine`, which has taken kMovedToPeer. The sender
  // gives a record to one peer only; after a lost answer it repeats it to the
  // same peer, which knows the request's id.
  static HandoverRecord FromMachine(const RequestMachine& machine,
                                    std::string payload,
                                    std::vector<std::string> tokens);

  // Restores the machine on the receiving node.
  RequestMachine Restore(uint32_t max_attempts) const;
  // The first event of the restored machine.
  RequestEvent resume_event() const;

  // Times are sent as the rest from `now`, since clocks differ.
  std::string Encode(TimePoint now) const;
  // Fails with kPeerMalformed.
  static Result<HandoverRecord> Decode(std::string_view bytes, TimePoint now);
};

}  // namespace qh

#endif  // QH_REQUESTS_HANDOVER_HANDOVER_RECORD_H_
