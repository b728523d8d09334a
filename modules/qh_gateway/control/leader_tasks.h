// Tasks that one node at a time, the leader, performs towards the cloud: it
// reports each team's usage and orders backend servers. The leader holds a
// lease in the store, and every call to the cloud carries the lease's fencing
// number. The report of a window is written to the store before it is sent, so
// that a retry, also by the next leader, sends the same counts. A store that
// was restored from an older copy may have lost that record, also before the
// leader's process began. The report is then only sent by a leader that knows
// its counts or that none was sent: a missing report is better than two
// different ones.
// The implementation is in leader_tasks.cpp (lease, orders) and
// leader_tasks_reports.cpp (usage).

#ifndef QH_GATEWAY_CONTROL_LEADER_TASKS_H_
#define QH_GATEWAY_CONTROL_LEADER_TASKS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "qh_gateway/control/store_connection.h"
#include "qh_gateway/control/store_epoch_record.h"
#include "qh_gateway/decisions/capacity/capacity_planner.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_net/http_client.h"
#include "qh_platform/lease/lease.h"

namespace qh {

// Every node runs one LeaderTasks. It competes for the lease, and reports and
// orders only while it holds the lease. Without a cloud address in the settings
// it only measures prefill rates.
class LeaderTasks {
 public:
  // Time from a window's end until its counts are taken as complete.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1'200);
  // The same while a peer is unresponsive.
  static constexpr Duration kLongSettleTime = std::chrono::seconds(5);
  // Timeout of one call to the store or the cloud.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  // Delay before a failed call of a report is retried.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
  // Time between two capacity plans.
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

  // `incarnation` identifies this process to the lease; `seed` feeds the
  // lease's jitter and nonces.
  LeaderTasks(GatewayState& state, std::string incarnation, uint64_t seed);

  // Advances the lease, the reports and the orders; to be called several times
  // a second. `now` is the time of MonotonicNow, `boot_now` that of BootNow.
  // `unresponsive_peers` is the number of known nodes without a recent
  // heartbeat. The lease is only sought while `may_lead`.
  void OnTick(TimePoint now,
              TimePoint boot_now,
              size_t unresponsive_peers,
              bool may_lead);
  // Sets the sum of the peers' prefill rates by service, in prompt tokens per
  // millisecond.
  void SetPeerPrefillRates(std::map<std::string, double> rates);
  // The store's epoch became known or rose; `restored` tells whether the store
  // was restored from an older copy.
  void OnStoreEpoch(uint64_t epoch, bool restored);
  // A peer knows that every window up to `window` has been reported.
  void OnPeerReported(int64_t window);
  // The newest window that is known to be reported; zero if none is.
  int64_t reported_window() const { return reported_window_; }
  // Drops the open calls without releasing the lease. Nothing is sent
  // afterwards.
  void Stop();

  // Whether this node holds the lease.
  bool is_leader() const { return is_leader_; }
  // Whether calls may be made under the lease: it is held with enough time left
  // for a call, and the node isn't stopping.
  bool MayAct() const;
  // Smoothed rate of prompt tokens that servers had to prefill for this node,
  // by service, in tokens per millisecond.
  const std::map<std::string, double>& own_prefill_rates() const {
    return own_prefill_rates_;
  }

 private:
  // Progress of the report in `report_`.
  enum class ReportStep { kNone, kRecording, kRecorded, kSending };

  void RunLease(const std::vector<LeaseAction>& actions);
  void SendLeaseCall(const LeaseAction& action);
  FencingToken CurrentFencing() const;

  // Reports windows one after the other, each once its counts are complete.
  void RunReports(TimePoint now, size_t unresponsive_peers);
  // Writes the counts of `window` to the store, or reads those that an earlier
  // leader wrote.
  void RecordReport(int64_t window);
  // Whether an earlier leader may have sent a report of `window` whose record
  // the store has lost.
  bool MayHaveLostRecord(int64_t window) const;
  // Continues with the next window.
  void CloseReport();
  void OnReportRecorded(const CallReply& reply);
  // The store holds `report_`, which may now be sent.
  void OnReportKnown();
  // Reads a report that another leader wrote first; its counts are the ones to
  // send.
  void FetchRecordedReport();
  // Sends `report_` to the cloud.
  void SendReport();
  void OnReportSent(const CallReply& reply);
  // Starts no call of a report for kRetryDelay.
  void DelayReports();

  // Updates this node's prefill rates once per kPlanInterval.
  void MeasurePrefillRates(TimePoint now);
  // Returns the servers' worth of capacity that rate limits withhold.
  double WithheldServers(const ServiceRule& service) const;
  // Plans the capacity of each scaled service and sends the resulting orders.
  // Every node plans, so that a new leader knows the recent demand; only the
  // leader sends orders.
  void RunOrders(TimePoint now);
  ServiceDemand DemandOf(const ServiceRule& service) const;
  void SendOrder(const CapacityOrder& order);

  GatewayState& state_;
  Lease lease_;
  StoreConnection store_;
  StoreEpochRecord epoch_record_;
  std::shared_ptr<HttpClient> cloud_;
  bool is_leader_ = false;
  bool stopped_ = false;

  ReportStep report_step_ = ReportStep::kNone;
  // The report being recorded or sent.
  UsageReport report_;
  // The next window to report; empty until this leader has chosen its first.
  std::optional<int64_t> next_window_;
  TimePoint reports_delayed_until_;
  int64_t reported_window_ = 0;
  // Reports that this process has read from the store or written to it, by
  // window; only the newest.
  std::map<int64_t, UsageReport> known_reports_;
  CapacityPlanner capacity_planner_;
  TimePoint last_planned_at_;
  // Orders sent and not yet answered.
  size_t orders_in_flight_ = 0;
  // By service, in prompt tokens per millisecond.
  std::map<std::string, double> peer_prefill_rates_;
  // Prompt tokens counted up to rates_measured_at_, by service.
  std::map<std::string, double> previous_prefill_tokens_;
  // Requests that this node sent, smoothed per second, and in total at the last
  // measurement, by service.
  std::map<std::string, double> own_send_rates_;
  std::map<std::string, double> previous_sends_;
  // By service, in prompt tokens per millisecond.
  std::map<std::string, double> own_prefill_rates_;
  TimePoint rates_measured_at_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_LEADER_TASKS_H_
