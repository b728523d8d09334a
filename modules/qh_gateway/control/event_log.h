// The catalogue of what a node logs, with a bound on the lines of each event a
// second. Lines beyond it are counted and the count is logged. Failures have
// bounds of their own, so that successes never crowd them out.

#ifndef QH_GATEWAY_CONTROL_EVENT_LOG_H_
#define QH_GATEWAY_CONTROL_EVENT_LOG_H_

#include <array>
#include <cstdint>

#include "qh_core/log/log_line.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

enum class GatewayEvent {
  kStarted,
  kStopping,
  kStopped,
  kSettingsReloaded,
  kReady,
  kNotReady,
  kConfigInForce,
  kConfigRejected,
  kServerChanged,
  kServerIgnored,
  kServerEjected,
  kDependencyLost,
  kDependencyRegained,
  kPeerChanged,
  kPeerHeartbeatRejected,
  kRequestServed,
  kRequestRefused,
  kRequestFailed,
  kRequestAbandoned,
  kAttemptFailed,
  kStreamResumed,
  kStreamMigrated,
  kLeaseAcquired,
  kLeaseLost,
  kUsageReported,
  kOrderSent,
  kLeaderCallFailed,
  kLogLinesDropped,
};

template <>
inline constexpr EnumName<GatewayEvent> kEnumNames<GatewayEvent>[] = {
    {GatewayEvent::kStarted, "started"},
    {GatewayEvent::kStopping, "stopping"},
    {GatewayEvent::kStopped, "stopped"},
    {GatewayEvent::kSettingsReloaded, "settings_reloaded"},
    {GatewayEvent::kReady, "ready"},
    {GatewayEvent::kNotReady, "not_ready"},
    {GatewayEvent::kConfigInForce, "config_in_force"},
    {GatewayEvent::kConfigRejected, "config_rejected"},
    {GatewayEvent::kServerChanged, "server_changed"},
    {GatewayEvent::kServerIgnored, "server_ignored"},
    {GatewayEvent::kServerEjected, "server_put_aside"},
    {GatewayEvent::kDependencyLost, "dependency_lost"},
    {GatewayEvent::kDependencyRegained, "dependency_regained"},
    {GatewayEvent::kPeerChanged, "peer_changed"},
    {GatewayEvent::kPeerHeartbeatRejected, "peer_news_rejected"},
    {GatewayEvent::kRequestServed, "request_served"},
    {GatewayEvent::kRequestRefused, "request_refused"},
    {GatewayEvent::kRequestFailed, "request_failed"},
    {GatewayEvent::kRequestAbandoned, "request_given_up"},
    {GatewayEvent::kAttemptFailed, "attempt_failed"},
    {GatewayEvent::kStreamResumed, "stream_resumed"},
    {GatewayEvent::kStreamMigrated, "run_moved"},
    {GatewayEvent::kLeaseAcquired, "duty_taken"},
    {GatewayEvent::kLeaseLost, "duty_lost"},
    {GatewayEvent::kUsageReported, "usage_reported"},
    {GatewayEvent::kOrderSent, "order_sent"},
    {GatewayEvent::kLeaderCallFailed, "duty_call_failed"},
    {GatewayEvent::kLogLinesDropped, "log_lines_dropped"},
};

class EventLog {
 public:
  // Lines of one event a second.
  static constexpr uint32_t kMaxLinesPerEvent = 100;
  // Lines of all events a second, and those after which served requests are
  // only counted: failures and refusals go first.
  static constexpr uint32_t kMaxLines = 180;
  static constexpr uint32_t kMaxLinesWithServed = 100;

  // Writes the line unless the second has had its lines; returns whether it
  // did.
  bool Write(const LogLine& line, GatewayEvent event);
  // Begins a second's count anew and logs what was left out.
  void OnTick(TimePoint now);

 private:
  struct Count {
    uint32_t written = 0;
    uint32_t dropped = 0;
  };

  bool MayWrite(GatewayEvent event) const;

  // Lines of this second.
  uint32_t written_ = 0;
  std::array<Count, std::size(kEnumNames<GatewayEvent>)> counts_{};
  TimePoint second_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_EVENT_LOG_H_
