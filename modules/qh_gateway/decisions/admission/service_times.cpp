#include "qh_gateway/decisions/admission/service_times.h"

#include <algorithm>

namespace qh {
namespace {

constexpr double kSmoothing = 0.05;
constexpr double kMinMs = 1;
// Share of the latency target that a request may spend at a plain server.
constexpr double kServerShare = 0.6;
// Weight of the maximum in the expected output; the rest is the estimate's.
constexpr double kMaximumWeight = 0.25;
// Time of one decoding step of an engine with a full batch.
constexpr double kDecodeStepMs = 5;
constexpr double kMinPrefillRate = 1;

}  // namespace

void ServiceTimes::OnAnswered(const std::string& route, Duration took) {
  const double took_ms = std::max(kMinMs, ToMilliseconds(took));
  double& average = plain_ms_.try_emplace(route, kInitialMs).first->second;
  average += kSmoothing * (took_ms - average);
}

double ServiceTimes::PlainMs(const std::string& route) const {
  const auto found = plain_ms_.find(route);
  return found == plain_ms_.end() ? kInitialMs : found->second;
}

void ServiceTimes::OnLoadedAnswer(const std::string& service,
                                  Duration took,
                                  double open_per_slot) {
  const double per_open =
      std::max(kMinMs, ToMilliseconds(took)) / std::max(1.0, open_per_slot);
  double& average = per_open_ms_.try_emplace(service, kInitialMs).first->second;
  average += kSmoothing * (per_open - average);
}

double ServiceTimes::PerOpenMs(const std::string& service) const {
  const auto found = per_open_ms_.find(service);
  return found == per_open_ms_.end() ? kInitialMs : found->second;
}

double ServiceTimes::HoldPerSlot(const std::string& service,
                                 Duration latency_target) const {
  return std::clamp(
      kServerShare * ToMilliseconds(latency_target) / PerOpenMs(service),
      kMinHoldPerSlot, kMaxHoldPerSlot);
}

double ServiceTimes::ExpectedOutputTokens(const CallerRequest& request) {
  const double maximum = request.max_output_tokens;
  // Half of the maximum is assumed without an estimate.
  const double estimate =
      request.expected_output_tokens == 0
          ? maximum / 2
          : std::min<double>(request.expected_output_tokens, maximum);
  return kMaximumWeight * maximum + (1 - kMaximumWeight) * estimate;
}

double ServiceTimes::EngineMs(const CallerRequest& request,
                              double prefill_rate,
                              double slots) {
  const double prefill_ms =
      request.prompt_tokens / std::max(prefill_rate, kMinPrefillRate);
  return std::max(kMinMs, prefill_ms * std::max(slots, 1.0) +
                              ExpectedOutputTokens(request) * kDecodeStepMs);
}

}  // namespace qh
