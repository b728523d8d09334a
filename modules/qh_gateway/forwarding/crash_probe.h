// Finds out whether a server crashed when it dropped a connection during a
// request.

#ifndef QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
#define QH_GATEWAY_FORWARDING_CRASH_PROBE_H_

#include <functional>

#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// A request whose connection the server closed.
struct InterruptedRun {
  ServerProcess process;
  std::string request_id;
  RequestFeatures features;
  // Whether the server may have crashed of this request. It can't have if it
  // had gone on for long after it began the answer.
  bool may_be_cause = true;
};

// What a probe found.
enum class ProbeResult {
  kAlive,
  // Nothing listens any more, though the server has not said that it leaves.
  kCrashed,
  // The server was leaving or could not be reached.
  kUnknown,
};

// Probes the server by a new connection, and calls `on_done`, if set. A server
// that can't be reached is ejected. If it crashed, the crash is recorded for
// the request.
void ProbeAfterDisconnect(GatewayState& state,
                          const InterruptedRun& run,
                          const std::function<void(ProbeResult)>& on_done = {});

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
