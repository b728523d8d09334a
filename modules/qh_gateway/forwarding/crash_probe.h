// Finds out whether a server crashed when it dropped a connection during a
// request, or still lives when it ended an answer by closing the connection.

#ifndef QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
#define QH_GATEWAY_FORWARDING_CRASH_PROBE_H_

#include <functional>

#include "qh_gateway/decisions/answers/answer_evidence.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// A request whose connection the server closed.
struct InterruptedRun {
  ServerProcess process;
  // Where the connection led.
  Address address;
  std::string request_id;
  RequestFeatures features;
  // Whether the server may have crashed of this request. It can't have if it
  // had gone on for long after it began the answer.
  bool may_be_cause = true;
};

// Probes the server of a broken connection by a new one. A server that can't be
// reached is ejected. If it crashed, the crash is recorded for the request. A
// server that is leaving is not probed.
void ProbeAfterDisconnect(GatewayState& state, const InterruptedRun& run);

// Probes the server of a connection that was closed in order, also one that is
// leaving: only a server that still lives has ended its answer by the close.
// Calls `on_done`. Else the same as ProbeAfterDisconnect.
void ProbeAfterOrderlyClose(GatewayState& state,
                            const InterruptedRun& run,
                            std::function<void(ProbeResult)> on_done);

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
