#include "qh_routing/health/server_health.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

// Smoothing factor of a server's ratio, per sample.
constexpr double kRatioSmoothing = 0.2;
// Larger ratios are counted as this one.
constexpr double kMaxRatio = 20;
// A server is ejected when it is this many times slower than the median server.
constexpr double kSlowFactor = 3;
// Samples before a server can be ejected as slow.
constexpr uint32_t kMinSamples = 2;
// Consecutive failures after which a server is ejected.
constexpr uint32_t kConsecutiveFailures = 2;
// Length of the first ejection.
constexpr Duration kBaseEjection = std::chrono::seconds(8);
// The length doubles with each ejection, at most this many times.
constexpr uint32_t kMaxDoublings = 3;
// Time after an ejection over which the share of requests rises to 1.
constexpr Duration kRampUp = std::chrono::seconds(8);
// A server that was not ejected for this long starts again with the shortest
// ejection.
constexpr Duration kEjectionReset = std::chrono::seconds(120);
// Share of requests right after an ejection.
constexpr double kInitialShare = 0.05;
// Largest share of servers that may be ejected at a time. If more are slow or
// failing, ejecting them would not help: the cause lies elsewhere.
constexpr double kMaxEjectedShare = 0.34;
// Age of the last first byte at which a server's slowness has half its weight.
constexpr Duration kSlownessHalfAge = std::chrono::seconds(5);
// Samples between two computations of the median.
constexpr uint32_t kSamplesPerMedian = 64;

}  // namespace

void ServerHealth::Resize(size_t count) {
  servers_.resize(std::max(count, servers_.size()));
}

void ServerHealth::OnFirstByte(uint32_t server, double ratio, TimePoint now) {
  Server& entry = servers_[server];
  const double sample = std::min(ratio, kMaxRatio);
  entry.consecutive_failures = 0;
  ++entry.samples;
  entry.last_sample = now;
  entry.ratio += kRatioSmoothing * (sample - entry.ratio);
  if (++samples_since_median_ >= kSamplesPerMedian) {
    RefreshMedian();
  }
  const bool slow = entry.ratio > kSlowFactor * std::max(1.0, median_ratio_);
  if (slow && entry.samples >= kMinSamples &&
      StateOf(server, now) != HealthState::kEjected) {
    Eject(server, now);
  }
}

void ServerHealth::OnFailure(uint32_t server, TimePoint now) {
  Server& entry = servers_[server];
  if (++entry.consecutive_failures >= kConsecutiveFailures &&
      StateOf(server, now) != HealthState::kEjected) {
    Eject(server, now);
  }
}

double ServerHealth::Share(uint32_t server, TimePoint now) const {
  const Server& entry = servers_[server];
  if (entry.ejected_until == TimePoint::min()) {
    return 1;
  }
  if (now < entry.ejected_until) {
    return 0;
  }
  const double elapsed = double((now - entry.ejected_until).count());
  return std::min(1.0, kInitialShare + elapsed / kRampUp.count());
}

double ServerHealth::Slowness(uint32_t server, TimePoint now) const {
  const Server& entry = servers_[server];
  if (entry.samples == 0) {
    return 1;
  }
  const double slowness = entry.ratio / std::max(1.0, median_ratio_);
  const double age = ToSeconds(now - entry.last_sample);
  const double weight = 1 / (1 + age / ToSeconds(kSlownessHalfAge));
  return 1 + std::max(0.0, slowness - 1) * weight;
}

HealthState ServerHealth::StateOf(uint32_t server, TimePoint now) const {
  const double share = Share(server, now);
  if (share == 0) {
    return HealthState::kEjected;
  }
  return share < 1 ? HealthState::kReturning : HealthState::kHealthy;
}

void ServerHealth::Eject(uint32_t server, TimePoint now) {
  if (!MayEject(now)) {
    return;
  }
  Server& entry = servers_[server];
  const bool reset_ejections = entry.ejected_until != TimePoint::min() &&
                               now - entry.ejected_until > kEjectionReset;
  entry.ejections = reset_ejections ? 1 : entry.ejections + 1;
  const uint32_t doublings = std::min(entry.ejections - 1, kMaxDoublings);
  entry.ejected_until = now + kBaseEjection * (1U << doublings);
  // Only samples from after the ejection count from here on.
  entry.ratio = 1;
  entry.samples = 0;
  entry.consecutive_failures = 0;
}

bool ServerHealth::MayEject(TimePoint now) const {
  // Includes the server to be ejected.
  size_t ejected = 1;
  for (const Server& entry : servers_) {
    ejected += entry.ejected_until > now;
  }
  return double(ejected) <=
         std::max(1.0, kMaxEjectedShare * double(servers_.size()));
}

void ServerHealth::RefreshMedian() {
  samples_since_median_ = 0;
  std::vector<double> ratios;
  for (const Server& entry : servers_) {
    if (entry.samples > 0) {
      ratios.push_back(entry.ratio);
    }
  }
  if (ratios.empty()) {
    return;
  }
  const auto middle = ratios.begin() + ptrdiff_t(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  median_ratio_ = *middle;
}

}  // namespace qh
