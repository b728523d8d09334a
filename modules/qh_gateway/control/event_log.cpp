#include "qh_gateway/control/event_log.h"

namespace qh {
namespace {

constexpr auto kSecond = std::chrono::seconds(1);

LogLevel LevelOf(GatewayEvent event) {
  switch (event) {
    case GatewayEvent::kConfigRejected:
    case GatewayEvent::kServerEjected:
    case GatewayEvent::kFeaturesBlocked:
    case GatewayEvent::kDependencyLost:
    case GatewayEvent::kCopyDoubted:
    case GatewayEvent::kStoreRestored:
    case GatewayEvent::kStateAged:
    case GatewayEvent::kRequestFailed:
    case GatewayEvent::kCallerInputDropped:
    case GatewayEvent::kClientLimited:
    case GatewayEvent::kAttemptFailed:
    case GatewayEvent::kLeaseLost:
    case GatewayEvent::kLeaderCallFailed:
    case GatewayEvent::kLogLinesDropped:
      return LogLevel::kWarning;
    default:
      return LogLevel::kInfo;
  }
}

}  // namespace

bool EventLog::MayWrite(GatewayEvent event) const {
  const uint32_t lines =
      event == GatewayEvent::kRequestServed ? kServedLinesCutoff : kMaxLines;
  return written_ < lines &&
         counts_[static_cast<size_t>(event)].written < kMaxLinesPerEvent;
}

bool EventLog::Write(const LogLine& line, GatewayEvent event) {
  Count& count = counts_[static_cast<size_t>(event)];
  if (!MayWrite(event)) {
    ++count.dropped;
    return false;
  }
  ++count.written;
  ++written_;
  line.Write(LevelOf(event));
  return true;
}

void EventLog::OnTick(TimePoint now) {
  if (now < second_ + kSecond) {
    return;
  }
  second_ = now;
  written_ = 0;
  for (const auto& row : kEnumNames<GatewayEvent>) {
    Count& count = counts_[static_cast<size_t>(row.value)];
    if (count.dropped > 0) {
      LogLine(ToName(GatewayEvent::kLogLinesDropped))
          .With("of", row.name)
          .With("lines", count.dropped)
          .Write(LevelOf(GatewayEvent::kLogLinesDropped));
    }
    count = {};
  }
}

}  // namespace qh
