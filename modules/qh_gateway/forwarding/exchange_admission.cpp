// The part of Exchange with the admission checks.

#include <algorithm>
#include <utility>

#include "qh_gateway/forwarding/exchange.h"

namespace qh {
namespace {

// A draining node refuses streams that arrive later than this after it was
// asked to stop: they could outlive the node. Callers accept that of streams
// sent in the first 3 s; the rest is for a signal that the node handles late.
constexpr auto kStreamGracePeriod = std::chrono::milliseconds(2'500);
constexpr auto kDrainingRetryAfter = std::chrono::milliseconds(50);

}  // namespace

bool Exchange::SelectRoute() {
  if (config_ == nullptr) {
    AnswerWithError(
        Error(ErrorKind::kNotReady, "no configuration received yet"));
    return false;
  }
  route_ = config_->MatchRoute(request_.host, request_.path());
  if (route_ == nullptr) {
    AnswerWithError(
        Error(ErrorKind::kUnknownRoute,
              "no route for " + request_.host + std::string(request_.path())));
    return false;
  }
  // Weighted random choice among the services that share the route.
  double total = 0;
  for (const WeightedService& share : route_->services) {
    total += share.weight;
  }
  double draw = total * state_.rng.Uniform();
  const WeightedService* selected = &route_->services.back();
  for (const WeightedService& share : route_->services) {
    if (draw < share.weight) {
      selected = &share;
      break;
    }
    draw -= share.weight;
  }
  service_ = config_->FindService(selected->service);
  deadline_ = received_ + std::min(request_.deadline.value_or(route_->timeout),
                                   route_->timeout);
  if (service_ == nullptr) {
    AnswerWithError(
        Error(ErrorKind::kNoServer,
              "service " + selected->service + " is not in the configuration"));
    return false;
  }
  const bool late_stream =
      is_stream() && state_.draining_since &&
      received_ - *state_.draining_since > kStreamGracePeriod;
  const bool outlives_node =
      !is_stream() && state_.draining_since && deadline_ > *state_.StopTime();
  if (late_stream || outlives_node) {
    AnswerWithError(Error(ErrorKind::kDraining, "node is about to stop")
                        .WithRetryAfter(kDrainingRetryAfter));
    return false;
  }
  return true;
}

bool Exchange::AuthenticateTeam() {
  if (!config_->needs_keys()) {
    return true;
  }
  team_ = request_.key.empty() ? nullptr : config_->TeamForKey(request_.key);
  if (team_ == nullptr && !route_->anonymous) {
    AnswerWithError(
        Error(ErrorKind::kUnauthorized, "API key is missing or unknown"));
    return false;
  }
  return true;
}

bool Exchange::CheckBlockedFeatures() {
  features_ = RequestFeatures(
      request_, team_ == nullptr ? std::string() : team_->id.value());
  const TimePoint now = MonotonicNow();
  if (state_.crash_tracker.Judge(features_, now) != Suspicion::kBlocked) {
    return true;
  }
  // One node makes the trials, so that they don't add up.
  is_trial_ =
      state_.is_leader && state_.crash_tracker.TakeTrial(features_, now);
  if (is_trial_) {
    return true;
  }
  RefuseSend();
  return false;
}

void Exchange::RefuseSend() {
  const TimePoint now = MonotonicNow();
  if (state_.crash_tracker.Judge(features_, now) == Suspicion::kSuspect) {
    AnswerWithError(
        Error(ErrorKind::kServerFailed, "not repeated: may crash servers"));
    return;
  }
  state_.crash_tracker.OnRefused(features_, now);
  if (state_.crash_tracker.IsContentBlocked(features_)) {
    AnswerWithError(Error(ErrorKind::kQuarantined,
                          "content is blocked: it crashed several servers"));
    return;
  }
  // Unlike a content, a part may be blocked together with sound requests, which
  // may come again.
  AnswerWithError(Error(ErrorKind::kPromptPartBlocked,
                        "a part of the prompt is blocked: requests with it "
                        "crashed several servers"));
}

void Exchange::OnFeaturesBlocked() {
  const bool blocked =
      !is_trial_ && state_.crash_tracker.Judge(features_, MonotonicNow()) ==
                        Suspicion::kBlocked;
  if (finished_ || connection_ == nullptr || !blocked) {
    return;
  }
  connection_->Close();
  EndAttempt(AttemptOutcome::kAbandoned,
             "blocked while it waited at the server");
  RefuseSend();
}

bool Exchange::ChargeTeamLimit() {
  if (team_ == nullptr) {
    return true;
  }
  charged_units_ = 1;
  if (team_->counts_tokens) {
    charged_units_ = request_.has_token_count
                         ? double{1} * request_.prompt_tokens +
                               double{1} * request_.max_output_tokens
                         : team_->default_tokens;
  }
  const TimePoint now = MonotonicNow();
  const auto wait = state_.team_rate_limiter.Admit(team_->id,
                                                   {.units = charged_units_,
                                                    .priority = Priority(),
                                                    .time_left = TimeLeft(now)},
                                                   now);
  if (wait) {
    const double units = std::exchange(charged_units_, 0);
    RefuseByTeamLimit(units, *wait, now);
    return false;
  }
  return true;
}

void Exchange::RefuseByTeamLimit(double units, Duration wait, TimePoint now) {
  const double available = state_.team_rate_limiter.Available(team_->id, now);
  const std::string priority = std::to_string(Priority());
  state_.metrics.Count({.name = "gateway_team_limit_refusals_total",
                        .team = team_->id.value(),
                        .reason = "priority_" + priority});
  state_.metrics.Count({.name = "gateway_team_limit_refused_units_total",
                        .team = team_->id.value(),
                        .reason = "priority_" + priority},
                       static_cast<uint64_t>(std::max(units, 0.0)));
  state_.metrics.Set(
      {.name = "gateway_team_limit_available", .team = team_->id.value()},
      available);
  const auto text = [](double number) {
    return std::to_string(static_cast<int64_t>(number));
  };
  AnswerWithError(
      Error(ErrorKind::kTeamLimit,
            "team limit: " + text(units) + " units requested at priority " +
                priority + ", " + text(available) + " available, rate " +
                text(team_->rate) + ", back in " + text(ToMilliseconds(wait)) +
                " ms" + (wait > TimeLeft(now) ? ", after its deadline" : ""))
          .WithRetryAfter(wait));
}

}  // namespace qh
