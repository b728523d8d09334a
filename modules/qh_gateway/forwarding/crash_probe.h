// Finds out whether a server crashed when it dropped a connection during a
// request.

#ifndef QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
#define QH_GATEWAY_FORWARDING_CRASH_PROBE_H_

#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// Probes `server`, which dropped its connection while it ran a request with the
// content fingerprint `content`. If a new connection can't be made, the server
// counts as crashed: the crash is recorded for this content and the server is
// ejected. Does nothing for a server that is unknown or draining.
void ProbeAfterDisconnect(GatewayState& state,
                          const ServerId& server,
                          uint64_t content);

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_CRASH_PROBE_H_
