// How long an idle connection may be reused, as its server tells the client,
// and when the server closes it. The server closes well after the announced
// time, so that no request is on its way when it does.

#ifndef QH_NET_IDLE_CONNECTION_H_
#define QH_NET_IDLE_CONNECTION_H_

#include <string>

#include "qh_core/time/time.h"

namespace qh {

// Returns the idle time to announce in Keep-Alive: whole seconds, one at least,
// and four fifths of the configured `limit` if that is longer.
std::chrono::seconds AnnouncedIdleTimeout(Duration limit);

// Returns after how much idle time a server closes a connection for which it
// last announced `announced`, while `limit` is the configured limit.
Duration IdleCloseDelay(std::chrono::seconds announced, Duration limit);

// Appends the Keep-Alive header field that announces `timeout` to `text`.
void AppendKeepAlive(std::string& text, std::chrono::seconds timeout);

}  // namespace qh

#endif  // QH_NET_IDLE_CONNECTION_H_
