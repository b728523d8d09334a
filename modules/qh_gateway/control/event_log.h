// The events that a gateway node logs, with limits on the number of lines per
// second. Lines beyond a limit are dropped, and the number of dropped lines is
// logged. Served requests have a lower limit, so that they never crowd out
// refusals and failures.

#ifndef QH_GATEWAY_CONTROL_EVENT_LOG_H_
#define QH_GATEWAY_CONTROL_EVENT_LOG_H_

#include <array>
#include <cstdint>

#include "qh_core/log/log_line.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Kinds of log lines; kEnumNames holds the event names in the log.
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
  kServerPaused,
  kServerLimit,
  kServerLimitUse,
  kCrashRecorded,
  kFeaturesBlocked,
  kFeaturesCleared,
  kVerdictStored,
  kDependencyLost,
  kDependencyRegained,
  kStateListed,
  kStateChanged,
  kCopyDoubted,
  kStoreRestored,
  kDeploymentRecordRead,
  kRoleChanged,
  kStateAged,
  kPeerChanged,
  kPeerHeartbeatRejected,
  kRequestServed,
  kRequestRefused,
  kRequestFailed,
  kRequestAbandoned,
  kCallerInputDropped,
  kClientLimited,
  kQueueServed,
  kAttemptFailed,
  kStreamResumed,
  kStreamMigrated,
  kLeaseAcquired,
  kLeaseLost,
  kUsageReported,
  kOrderSent,
  kRolloutStep,
  kRolloutStored,
  kRolloutIgnored,
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
    {GatewayEvent::kServerPaused, "server_paused"},
    {GatewayEvent::kServerLimit, "server_limit"},
    {GatewayEvent::kServerLimitUse, "server_limit_use"},
    {GatewayEvent::kCrashRecorded, "crash_recorded"},
    {GatewayEvent::kFeaturesBlocked, "features_blocked"},
    {GatewayEvent::kFeaturesCleared, "features_cleared"},
    {GatewayEvent::kVerdictStored, "verdict_stored"},
    {GatewayEvent::kDependencyLost, "dependency_lost"},
    {GatewayEvent::kDependencyRegained, "dependency_regained"},
    {GatewayEvent::kStateListed, "state_listed"},
    {GatewayEvent::kStateChanged, "state_changed"},
    {GatewayEvent::kCopyDoubted, "copy_doubted"},
    {GatewayEvent::kStoreRestored, "store_restored"},
    {GatewayEvent::kDeploymentRecordRead, "deployment_record_read"},
    {GatewayEvent::kRoleChanged, "role_changed"},
    {GatewayEvent::kStateAged, "state_aged"},
    {GatewayEvent::kPeerChanged, "peer_changed"},
    {GatewayEvent::kPeerHeartbeatRejected, "peer_news_rejected"},
    {GatewayEvent::kRequestServed, "request_served"},
    {GatewayEvent::kRequestRefused, "request_refused"},
    {GatewayEvent::kRequestFailed, "request_failed"},
    {GatewayEvent::kRequestAbandoned, "request_given_up"},
    {GatewayEvent::kCallerInputDropped, "caller_input_dropped"},
    {GatewayEvent::kClientLimited, "client_limited"},
    {GatewayEvent::kQueueServed, "queue_served"},
    {GatewayEvent::kAttemptFailed, "attempt_failed"},
    {GatewayEvent::kStreamResumed, "stream_resumed"},
    {GatewayEvent::kStreamMigrated, "run_moved"},
    {GatewayEvent::kLeaseAcquired, "duty_taken"},
    {GatewayEvent::kLeaseLost, "duty_lost"},
    {GatewayEvent::kUsageReported, "usage_reported"},
    {GatewayEvent::kOrderSent, "order_sent"},
    {GatewayEvent::kRolloutStep, "rollout_step"},
    {GatewayEvent::kRolloutStored, "rollout_stored"},
    {GatewayEvent::kRolloutIgnored, "rollout_ignored"},
    {GatewayEvent::kLeaderCallFailed, "duty_call_failed"},
    {GatewayEvent::kLogLinesDropped, "log_lines_dropped"},
};

// Writes log lines of a gateway node within the limits per second. A "second"
// lasts from one OnTick that starts it to the first OnTick at least one second
// later.
class EventLog {
 public:
  // Lines per second of one event.
  static constexpr uint32_t kMaxLinesPerEvent = 100;
  // Lines per second of all events.
  static constexpr uint32_t kMaxLines = 180;
  // After this many lines of all events in a second, served requests are
  // dropped; the rest of kMaxLines is left to refusals, failures and the other
  // events.
  static constexpr uint32_t kServedLinesCutoff = 100;

  // Writes `line` at the level of `event`, or drops and counts it when a limit
  // of this second is reached. Returns whether the line was written.
  bool Write(const LogLine& line, GatewayEvent event);
  // Starts a new second if the last one is over: logs how many lines of each
  // event were dropped and resets the counts.
  void OnTick(TimePoint now);

 private:
  // Lines of one event in this second.
  struct Count {
    uint32_t written = 0;
    uint32_t dropped = 0;
  };

  // Whether the limits of this second allow one more line of `event`.
  bool MayWrite(GatewayEvent event) const;

  // Lines written in this second, of all events.
  uint32_t written_ = 0;
  std::array<Count, std::size(kEnumNames<GatewayEvent>)> counts_{};
  // Start of this second.
  TimePoint second_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_EVENT_LOG_H_
