#include "qh_gateway/decisions/rollout/response_times.h"

#include <algorithm>

namespace qh {
namespace {

// Weight of a new sample in the mean.
constexpr double kSmoothing = 0.02;
// A sample counts as this multiple of the mean at most.
constexpr double kMaxSample = 4;
constexpr double kMinExpectedMs = 1;

void AddSample(double& mean, double& samples, double value) {
  if (samples > 0) {
    value = std::min(value, kMaxSample * mean);
  }
  samples += 1;
  mean += std::max(kSmoothing, 1 / samples) * (value - mean);
}

double ExpectedMs(const ResponseTime& time) {
  return std::max(kMinExpectedMs, ToMilliseconds(time.expected));
}

}  // namespace

void ResponseTimes::Learn(const std::string& service,
                          const std::string& route,
                          const ResponseTime& time) {
  Usual& usual = usual_[service][route];
  AddSample(usual.first_byte_ratio, usual.samples,
            ToMilliseconds(time.first_byte) / ExpectedMs(time));
  if (time.gap > Duration::zero()) {
    AddSample(usual.gap_ms, usual.gap_samples, ToMilliseconds(time.gap));
  }
}

ResponseCounts ResponseTimes::Sample(const ResponseTime& time) {
  ResponseCounts sample;
  sample.timed = 1;
  sample.time_ratio_sum = ToMilliseconds(time.first_byte) / ExpectedMs(time);
  if (time.gap > Duration::zero()) {
    sample.gaps = 1;
    sample.gap_ms_sum = ToMilliseconds(time.gap);
  }
  return sample;
}

bool ResponseTimes::IsSlow(const std::string& service,
                           const std::string& route,
                           const ResponseTime& time,
                           const ResponseCounts& all_nodes) const {
  Usual usual;
  if (const auto by_route = usual_.find(service); by_route != usual_.end()) {
    if (const auto found = by_route->second.find(route);
        found != by_route->second.end()) {
      usual = found->second;
    }
  }
  if (usual.samples < kMinSamples) {
    usual.samples = static_cast<double>(all_nodes.timed);
    usual.first_byte_ratio =
        all_nodes.time_ratio_sum / std::max(1.0, usual.samples);
  }
  if (usual.gap_samples < kMinSamples) {
    usual.gap_samples = static_cast<double>(all_nodes.gaps);
    usual.gap_ms = all_nodes.gap_ms_sum / std::max(1.0, usual.gap_samples);
  }
  const auto is_slow = [](double ms, double usual_ms) {
    return ms > kSlowFactor * usual_ms &&
           ms > usual_ms + ToMilliseconds(kMinDifference);
  };
  return (usual.samples >= kMinSamples &&
          is_slow(ToMilliseconds(time.first_byte),
                  usual.first_byte_ratio * ExpectedMs(time))) ||
         (usual.gap_samples >= kMinSamples &&
          is_slow(ToMilliseconds(time.gap), usual.gap_ms));
}

}  // namespace qh
