#include "benchmarks/routing/faults.h"

#include <algorithm>

namespace qh::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kFaultFrom = seconds(50);
constexpr auto kFaultUntil = seconds(100);
constexpr auto kNotice = seconds(6);
constexpr auto kReplacement = seconds(45);
constexpr double kNormalLagSeconds = 1;
constexpr double kStaleLagSeconds = 12;
constexpr double kSlowShare = 0.15;
constexpr double kSlowFactor = 6;
constexpr double kHotShare = 0.35;
// Part of each domain that a wave takes, and of it the part without notice.
constexpr double kWaveShare = 0.5;
constexpr double kNoNoticeShare = 0.3;
constexpr uint32_t kWaveDomains = 3;

TimePoint At(Duration offset) {
  return TimePoint(offset);
}

void AddReclaim(std::vector<FaultEvent>& events,
                uint32_t server,
                Duration at,
                bool notice) {
  if (notice) {
    events.push_back({At(at), FaultEventKind::kNotice, server});
  }
  events.push_back({At(at + kNotice), FaultEventKind::kDown, server});
  events.push_back(
      {At(at + kNotice + kReplacement), FaultEventKind::kUp, server});
}

void AddWave(std::vector<FaultEvent>& events,
             const Deployment& deployment,
             Rng& rng) {
  for (uint32_t domain = 0; domain < kWaveDomains; ++domain) {
    for (uint32_t server = 0; server < deployment.servers; ++server) {
      if (DomainOf(deployment, server) == domain && rng.Chance(kWaveShare)) {
        AddReclaim(events, server, kFaultFrom + domain * seconds(5),
                   !rng.Chance(kNoNoticeShare));
      }
    }
  }
}

void AddBrownout(std::vector<FaultEvent>& events,
                 const Deployment& deployment,
                 Rng& rng) {
  const auto count =
      std::max<uint32_t>(1, uint32_t(kSlowShare * deployment.servers));
  const auto first = uint32_t(rng.Below(deployment.servers));
  for (uint32_t i = 0; i < count; ++i) {
    const uint32_t server = (first + i * 3) % deployment.servers;
    events.push_back(
        {At(kFaultFrom), FaultEventKind::kSlow, server, kSlowFactor});
    events.push_back({At(kFaultUntil), FaultEventKind::kSlow, server, 1});
  }
}

}  // namespace

std::vector<FaultEvent> PlanFault(Fault fault,
                                  const Deployment& deployment,
                                  Rng& rng) {
  std::vector<FaultEvent> events;
  switch (fault) {
    case Fault::kNone:
    case Fault::kHotPrefix:
      break;
    case Fault::kDomainReclaim: {
      const auto domain = uint32_t(rng.Below(deployment.domains));
      for (uint32_t server = 0; server < deployment.servers; ++server) {
        if (DomainOf(deployment, server) == domain) {
          AddReclaim(events, server, kFaultFrom, true);
        }
      }
      break;
    }
    case Fault::kWave:
      AddWave(events, deployment, rng);
      break;
    case Fault::kStaleLoad:
      events.push_back(
          {At(kFaultFrom), FaultEventKind::kReportLag, 0, kStaleLagSeconds});
      events.push_back(
          {At(kFaultUntil), FaultEventKind::kReportLag, 0, kNormalLagSeconds});
      break;
    case Fault::kBrownout:
      AddBrownout(events, deployment, rng);
      break;
  }
  return events;
}

void AddToTraffic(Fault fault, TrafficOptions& options) {
  if (fault == Fault::kHotPrefix) {
    options.hot_share = kHotShare;
    options.hot_from = kFaultFrom;
    options.hot_until = kFaultUntil;
  }
}

}  // namespace qh::bench
