#include "qh_gateway/forwarding/crash_probe.h"

#include "qh_core/hash/hash.h"

namespace qh {

void ProbeAfterBreak(GatewayState& state,
                     const ServerId& server,
                     uint64_t content) {
  const ServerRecord* record = state.directory.Find(server);
  if (record == nullptr || record->draining) {
    return;
  }
  const uint64_t process =
      Hash64(server.value(), static_cast<uint64_t>(record->started_ms));
  const auto connection =
      ServerConnection::Create(state.io, state.codec, server);
  connection->Connect(
      record->address, ServerConnectionPool::kConnectLimit,
      [&state, connection, server, content, process](bool connected) {
        connection->Close();
        if (connected) {
          return;
        }
        const TimePoint now = MonotonicNow();
        state.crash_tracker.OnCrash({content, process}, now);
        state.picker.OnUnreachable(server, now);
        state.log.Write(LogLine(ToName(GatewayEvent::kServerEjected))
                            .With("server", server.value())
                            .With("end", "died during a request"),
                        GatewayEvent::kServerEjected);
      });
}

}  // namespace qh
