#include "qh_gateway/forwarding/crash_probe.h"

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Returns the same value on all nodes. A restarted server has another one.
uint64_t ProcessHash(const ServerProcess& process) {
  return Hash64(process.id.value(), static_cast<uint64_t>(process.started_ms));
}

void RecordCrash(GatewayState& state,
                 const InterruptedRun& run,
                 TimePoint interrupted,
                 TimePoint now) {
  state.log.Write(LogLine(ToName(GatewayEvent::kCrashRecorded))
                      .With("request", run.request_id)
                      .With("server", run.process.id.value())
                      .With("may_be_cause", run.may_be_cause)
                      .With("features", ToText(run.features.sorted())),
                  GatewayEvent::kCrashRecorded);
  if (run.may_be_cause) {
    state.crash_tracker.OnCrash({.server = ProcessHash(run.process),
                                 .content = run.features.content(),
                                 .features = run.features.sorted(),
                                 .at = interrupted},
                                now);
  }
}

ProbeResult OnProbed(GatewayState& state,
                     const InterruptedRun& run,
                     const ServerConnection& connection,
                     bool connected,
                     TimePoint interrupted) {
  if (connected) {
    return ProbeResult::kAlive;
  }
  const TimePoint now = MonotonicNow();
  state.picker.OnUnreachable(run.process.id, now);
  const bool crashed = connection.was_refused();
  state.log.Write(LogLine(ToName(GatewayEvent::kServerEjected))
                      .With("server", run.process.id.value())
                      .With("end", crashed ? "crashed during a request"
                                           : "lost during a request"),
                  GatewayEvent::kServerEjected);
  if (!crashed) {
    // The path to the server may be cut; that speaks against no request.
    return ProbeResult::kUnknown;
  }
  RecordCrash(state, run, interrupted, now);
  return ProbeResult::kCrashed;
}

}  // namespace

void ProbeAfterDisconnect(GatewayState& state,
                          const InterruptedRun& run,
                          const std::function<void(ProbeResult)>& on_done) {
  const auto done = on_done ? on_done : [](ProbeResult) {};
  const ServerRecord* record = state.directory.Find(run.process.id);
  if (record == nullptr || record->draining) {
    done(ProbeResult::kUnknown);
    return;
  }
  const auto connection =
      ServerConnection::Create(state.io, state.codec, run.process.id);
  connection->Connect(
      record->address, ServerConnectionPool::kConnectTimeout,
      [&state, connection, run, done,
       interrupted = MonotonicNow()](bool connected) {
        connection->Close();
        done(OnProbed(state, run, *connection, connected, interrupted));
      });
}

}  // namespace qh
