#include "qh_gateway/forwarding/crash_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// A process that ends may close its connections before its listening socket.
constexpr Duration kOrderlyEndDelay = std::chrono::milliseconds(30);

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

// Whether the server has said that it leaves, or is not listed any more.
bool IsLeaving(const GatewayState& state, const ServerProcess& process) {
  const ServerRecord* record = state.directory.Find(process.id);
  return record == nullptr || record->draining;
}

// Whether another process has registered under the server's id.
bool WasReplaced(const GatewayState& state, const ServerProcess& process) {
  const ServerRecord* record = state.directory.Find(process.id);
  return record != nullptr && record->started_ms != process.started_ms;
}

ProbeResult OnProbed(GatewayState& state,
                     const InterruptedRun& run,
                     const ServerConnection& connection,
                     bool connected,
                     TimePoint interrupted) {
  if (connected) {
    // Another process at the address says nothing about this one.
    return WasReplaced(state, run.process) ? ProbeResult::kGone
                                           : ProbeResult::kAlive;
  }
  const bool refused = connection.was_refused();
  if (IsLeaving(state, run.process)) {
    return refused ? ProbeResult::kGone : ProbeResult::kUnknown;
  }
  const TimePoint now = MonotonicNow();
  state.picker.OnUnreachable(run.process.id, now);
  state.log.Write(LogLine(ToName(GatewayEvent::kServerEjected))
                      .With("server", run.process.id.value())
                      .With("end", refused ? "crashed during a request"
                                           : "lost during a request"),
                  GatewayEvent::kServerEjected);
  if (!refused) {
    // The path to the server may be cut; that speaks against no request.
    return ProbeResult::kUnknown;
  }
  RecordCrash(state, run, interrupted, now);
  return ProbeResult::kCrashed;
}

void Probe(GatewayState& state,
           const InterruptedRun& run,
           TimePoint interrupted,
           std::function<void(ProbeResult)> on_done) {
  const auto connection =
      ServerConnection::Create(state.io, state.codec, run.process.id);
  connection->Connect(
      run.address, ServerConnectionPool::kConnectTimeout,
      [&state, connection, run, on_done = std::move(on_done),
       interrupted](bool connected) {
        connection->Close();
        on_done(OnProbed(state, run, *connection, connected, interrupted));
      });
}

}  // namespace

void ProbeAfterDisconnect(GatewayState& state, const InterruptedRun& run) {
  if (!IsLeaving(state, run.process)) {
    Probe(state, run, MonotonicNow(), [](ProbeResult) {});
  }
}

void ProbeAfterOrderlyClose(GatewayState& state,
                            const InterruptedRun& run,
                            std::function<void(ProbeResult)> on_done) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(state.io);
  timer->expires_after(kOrderlyEndDelay);
  timer->async_wait(
      [&state, timer, run, interrupted = MonotonicNow(),
       on_done = std::move(on_done)](const boost::system::error_code& error) {
        if (!error) {
          Probe(state, run, interrupted, on_done);
        }
      });
}

}  // namespace qh
