// The duties that one node at a time owes the cloud: reports of usage and
// orders of servers. The holder has a lease in the store; its fencing number
// goes with every call. A window's report is written to the store before it is
// sent, so that whoever sends it again sends the same counts.

#ifndef QH_GATEWAY_CONTROL_LEADER_TASKS_H_
#define QH_GATEWAY_CONTROL_LEADER_TASKS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "qh_gateway/decisions/capacity_planner.h"
#include "qh_gateway/forwarding/gateway_state.h"
#include "qh_net/http_client.h"
#include "qh_platform/lease/lease.h"

namespace qh {

class LeaderTasks {
 public:
  // After a window's end, until its counts are taken as complete.
  static constexpr Duration kSettle = std::chrono::milliseconds(1'200);
  // The same while a peer is silent.
  static constexpr Duration kSettleSilent = std::chrono::seconds(5);
  static constexpr Duration kCallLimit = std::chrono::milliseconds(900);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(300);
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

  // `incarnation` names this process.
  LeaderTasks(GatewayState& state, std::string incarnation, uint64_t seed);

  // Several times a second. `boot` is the time of BootNow, `silent_peers` the
  // nodes that are not heard.
  void OnTick(TimePoint now, TimePoint boot, size_t silent_peers);
  // Tells what the peers read at servers, by service.
  void SetPeerReading(std::map<std::string, double> reading);
  void Stop();

  bool holds() const { return holds_; }
  // Prompt tokens a millisecond that servers read for this node, by service.
  const std::map<std::string, double>& own_reading() const {
    return own_reading_;
  }

 private:
  // Steps of one window's report.
  enum class ReportStep { kNone, kRecording, kRecorded, kSending };

  void RunLease(const std::vector<LeaseAction>& actions);
  void SendLeaseCall(const LeaseAction& action);
  bool MayAct() const;
  FencingToken Stamp() const;

  void RunUsage(TimePoint now, size_t silent_peers);
  void Record(int64_t window);
  void OnRecorded(const CallReply& reply);
  void FetchRecorded();
  void SendReport();
  void OnReported(const CallReply& reply);
  void PauseUsage();

  void MeasureReading(TimePoint now);
  void RunOrders(TimePoint now);
  ServiceDemand DemandOf(const ServiceRule& service) const;
  void SendOrder(const CapacityOrder& order);

  GatewayState& state_;
  Lease lease_;
  std::shared_ptr<HttpClient> store_;
  std::shared_ptr<HttpClient> cloud_;
  bool holds_ = false;
  bool stopped_ = false;

  ReportStep step_ = ReportStep::kNone;
  UsageReport report_;
  // The next window to report; nothing until the lease is held.
  std::optional<int64_t> next_window_;
  TimePoint usage_paused_until_;

  CapacityPlanner plan_;
  TimePoint planned_at_;
  // Orders sent and not answered.
  size_t orders_in_flight_ = 0;
  std::map<std::string, double> peer_reading_;
  // Own reading of the last interval.
  std::map<std::string, double> tokens_before_;
  std::map<std::string, double> own_reading_;
  TimePoint reading_at_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_LEADER_TASKS_H_
