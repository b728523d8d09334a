// The part of LeaderTasks that reports the teams' usage.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "qh_gateway/control/leader_tasks.h"

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyCalls = 429;

constexpr const char* kReportKind = "usage-reports";
// Reports kept in case that the store loses their records.
constexpr size_t kKnownReports = 16;
// How far apart the clocks of a window's leader and of the process that noticed
// a restore may be.
constexpr Duration kClockTolerance = std::chrono::milliseconds(500);

// Returns the name of the stored object that holds the report of `window`.
std::string ReportName(int64_t window) {
  return "window-" + std::to_string(window);
}

std::string ReportContent(const UsageReport& report) {
  Json counts = Json::object();
  for (const auto& [team, count] : report.requests) {
    counts[team.value()] = count;
  }
  return Json{{"window", report.window}, {"requests", counts}}.dump();
}

// Parses a stored report. Fails with kPeerMalformed.
Result<UsageReport> ReadReport(const std::string& content) {
  try {
    const Json json = Json::parse(content);
    UsageReport report{.window = json.at("window")};
    for (const auto& [team, count] : json.at("requests").items()) {
      report.requests[TeamId(team)] = count;
    }
    return report;
  } catch (const Json::exception& exception) {
    return Error(ErrorKind::kPeerMalformed, exception.what());
  }
}

}  // namespace

void LeaderTasks::DelayReports() {
  reports_delayed_until_ = MonotonicNow() + kRetryDelay;
}

void LeaderTasks::RunReports(TimePoint now, size_t unresponsive_peers) {
  const Duration wall = state_.wall_clock.Now(now);
  if (!epoch_record_.is_resolved()) {
    epoch_record_.Resolve(now);
    return;
  }
  if (!next_window_) {
    // Starts with the oldest window that is not overdue, because an earlier
    // holder may have left windows unreported.
    const Duration oldest = wall - state_.settings.usage_due;
    next_window_ =
        std::max(state_.usage.WindowOf(oldest), reported_window_ + 1);
  }
  if (now < reports_delayed_until_) {
    return;
  }
  if (report_step_ == ReportStep::kRecorded) {
    SendReport();
    return;
  }
  const Duration settle =
      unresponsive_peers > 0 ? kLongSettleTime : kSettleTime;
  const bool complete = wall >= state_.usage.EndOf(*next_window_) + settle;
  if (report_step_ == ReportStep::kNone && complete) {
    RecordReport(*next_window_);
  }
}

bool LeaderTasks::MayHaveLostRecord(int64_t window) const {
  if (known_reports_.contains(window)) {
    return false;
  }
  // A window is not recorded before its counts have had time to settle.
  const Duration recorded_after = state_.usage.EndOf(window) + kSettleTime;
  return recorded_after < epoch_record_.lost_before() + kClockTolerance;
}

void LeaderTasks::RecordReport(int64_t window) {
  report_step_ = ReportStep::kRecording;
  report_ = {.window = window};
  if (MayHaveLostRecord(window)) {
    FetchRecordedReport();
    return;
  }
  const auto known = known_reports_.find(window);
  report_.requests = known == known_reports_.end() ? state_.usage.Total(window)
                                                   : known->second.requests;
  store_.Send(state_.codec.store.create(kReportKind,
                                        {.name = ReportName(window),
                                         .content = ReportContent(report_)}),
              kCallTimeout,
              [this](const CallReply& reply) { OnReportRecorded(reply); });
}

void LeaderTasks::OnReportRecorded(const CallReply& reply) {
  if (report_step_ != ReportStep::kRecording) {
    return;
  }
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  const bool created = answered && reply.status >= kOk && reply.status < 300;
  const bool exists = answered && reply.status == kConflict;
  if (!created && !exists) {
    // The object may have been written all the same. The next attempt to create
    // it will then fail with a conflict.
    report_step_ = ReportStep::kNone;
    DelayReports();
    return;
  }
  if (exists) {
    FetchRecordedReport();
    return;
  }
  OnReportKnown();
  if (MayAct()) {
    SendReport();
  }
}

void LeaderTasks::OnReportKnown() {
  report_step_ = ReportStep::kRecorded;
  known_reports_[report_.window] = report_;
  while (known_reports_.size() > kKnownReports) {
    known_reports_.erase(known_reports_.begin());
  }
}

void LeaderTasks::FetchRecordedReport() {
  store_.Send(
      state_.codec.store.get(kReportKind, ReportName(report_.window)),
      kCallTimeout, [this](const CallReply& reply) {
        if (report_step_ != ReportStep::kRecording) {
          return;
        }
        const bool absent = reply.outcome == HttpCallOutcome::kAnswered &&
                            reply.status == kNotFound;
        if (absent && MayHaveLostRecord(report_.window)) {
          // An earlier leader may have sent other counts than this node has.
          state_.log.Write(LogLine(ToName(GatewayEvent::kLeaderCallFailed))
                               .With("call", "usage")
                               .With("window", report_.window)
                               .With("why", "record lost by the store"),
                           GatewayEvent::kLeaderCallFailed);
          CloseReport();
          return;
        }
        const auto object =
            reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk
                ? state_.codec.store.read_object(reply.body)
                : Result<StoredObject>(
                      Error(ErrorKind::kStoreUnavailable,
                            "the store did not return the report"));
        const auto report = object ? ReadReport(object.value().content)
                                   : Result<UsageReport>(object.error());
        if (!report) {
          state_.log.Write(LogLine(ToName(GatewayEvent::kLeaderCallFailed))
                               .With("call", "read usage report")
                               .With("window", report_.window)
                               .With(report.error()),
                           GatewayEvent::kLeaderCallFailed);
          report_step_ = ReportStep::kNone;
          DelayReports();
          return;
        }
        report_ = report.value();
        OnReportKnown();
      });
}

void LeaderTasks::SendReport() {
  report_step_ = ReportStep::kSending;
  cloud_->Send(state_.codec.write_usage(report_, CurrentFencing()),
               kCallTimeout,
               [this](const CallReply& reply) { OnReportSent(reply); });
}

void LeaderTasks::OnReportSent(const CallReply& reply) {
  if (report_step_ != ReportStep::kSending) {
    return;
  }
  const bool answered = reply.outcome == HttpCallOutcome::kAnswered;
  const bool retry =
      !answered || reply.status == kTooManyCalls || reply.status >= 500;
  uint64_t requests = 0;
  for (const auto& [team, count] : report_.requests) {
    requests += count;
  }
  const GatewayEvent event = retry || reply.status != kOk
                                 ? GatewayEvent::kLeaderCallFailed
                                 : GatewayEvent::kUsageReported;
  state_.log.Write(LogLine(ToName(event))
                       .With("call", "usage")
                       .With("window", report_.window)
                       .With("requests", requests)
                       .With("status", reply.status),
                   event);
  if (retry) {
    report_step_ = ReportStep::kRecorded;
    DelayReports();
    return;
  }
  reported_window_ = std::max(reported_window_, report_.window);
  CloseReport();
}

void LeaderTasks::CloseReport() {
  report_step_ = ReportStep::kNone;
  next_window_ = report_.window + 1;
}

}  // namespace qh
