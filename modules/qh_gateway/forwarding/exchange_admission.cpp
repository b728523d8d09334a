// The part of Exchange that decides whether a request may run at all.

#include <algorithm>

#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// Streams that arrive this long after the request to stop could outlive it.
constexpr auto kStreamsWhileStopping = std::chrono::seconds(3);
constexpr auto kStoppingRetryAfter = std::chrono::milliseconds(50);

}  // namespace

bool Exchange::FindRoute() {
  if (config_ == nullptr) {
    Answer(Error(ErrorKind::kNotReady, "no configuration known yet"));
    return false;
  }
  route_ = config_->MatchRoute(request_.host, request_.path());
  if (route_ == nullptr) {
    Answer(Error(ErrorKind::kUnknownRoute, "no route for " + request_.host +
                                               std::string(request_.path())));
    return false;
  }
  // Each request draws its service by the weights of the route's split.
  double total = 0;
  for (const WeightedService& share : route_->services) {
    total += share.weight;
  }
  double draw = total * state_.rng.Uniform();
  const WeightedService* chosen = &route_->services.back();
  for (const WeightedService& share : route_->services) {
    if (draw < share.weight) {
      chosen = &share;
      break;
    }
    draw -= share.weight;
  }
  service_ = config_->FindService(chosen->service);
  ends_at_ = received_ + std::min(request_.deadline.value_or(route_->timeout),
                                  route_->timeout);
  if (service_ == nullptr) {
    Answer(Error(ErrorKind::kNoServer, "service " + chosen->service +
                                           " is not in the configuration"));
    return false;
  }
  const bool late_stream =
      is_stream() && state_.draining_since &&
      received_ - *state_.draining_since > kStreamsWhileStopping;
  if (late_stream) {
    Answer(Error(ErrorKind::kDraining, "node is stopping")
               .WithRetryAfter(kStoppingRetryAfter));
    return false;
  }
  return true;
}

bool Exchange::CheckTeam() {
  if (!config_->needs_keys()) {
    return true;
  }
  team_ = request_.key.empty() ? nullptr : config_->TeamForKey(request_.key);
  if (team_ == nullptr && !route_->anonymous) {
    Answer(Error(ErrorKind::kUnauthorized, "key is missing or not known"));
    return false;
  }
  return true;
}

bool Exchange::CheckContent() {
  content_ = CrashTracker::ContentHash(
      request_.method, request_.target,
      team_ == nullptr ? std::string() : team_->id.value(), request_.body);
  if (state_.crash_tracker.IsBlocked(content_, MonotonicNow())) {
    Answer(Error(ErrorKind::kQuarantined, "content crashed several servers"));
    return false;
  }
  return true;
}

bool Exchange::TakeUnits() {
  if (team_ == nullptr) {
    return true;
  }
  units_ = 1;
  if (team_->counts_tokens) {
    units_ = request_.has_token_count
                 ? double{1} * request_.prompt_tokens +
                       double{1} * request_.max_output_tokens
                 : team_->default_tokens;
  }
  const auto wait = state_.team_budget.Admit(team_->id, units_, MonotonicNow());
  if (wait) {
    const double free = state_.team_budget.Available(team_->id, MonotonicNow());
    const std::string asked = std::to_string(static_cast<int64_t>(units_));
    units_ = 0;
    Answer(Error(ErrorKind::kTeamLimit,
                 "team limit: " + asked + " units asked, " +
                     std::to_string(static_cast<int64_t>(free)) +
                     " free, rate " +
                     std::to_string(static_cast<int64_t>(team_->rate)))
               .WithRetryAfter(*wait));
    return false;
  }
  return true;
}

}  // namespace qh
