#include "qh_gateway/decisions/placement/server_picker.h"

#include <algorithm>
#include <cmath>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

// Prefill rates in prompt tokens per millisecond. The initial rate is used
// until one has been measured.
constexpr double kInitialPrefillRate = 80;
constexpr double kMinPrefillRate = 10;
constexpr double kMaxPrefillRate = 2'000;
// Smoothing factor of the measured rate.
constexpr double kPrefillRateSmoothing = 0.05;
// A wait for fewer tokens says little about the prefill rate.
constexpr double kMinTokensToMeasure = 3'000;
// A server's speed is measured by prompts with at least this number of tokens,
// and with at least this share of what was waiting there: the rest was computed
// before or beside the prompt, in an order that the node doesn't know.
constexpr double kMinTokensForSpeed = 1'500;
constexpr double kMinShareForSpeed = 0.5;
// Bonus in the score of a prompt's home server.
constexpr double kHomeServerBonusMs = 10;
// Penalty for a server with a failure share of 1; smaller shares in proportion.
constexpr double kFailurePenaltyMs = 2'000;
// Penalty for a server that asked a peer for a pause.
constexpr double kPeerPausePenaltyMs = 200;
// Refusals while no server takes requests are spread over the wait and this
// share of it beyond, so that the callers don't return together.
constexpr double kWaitSpread = 0.5;
// Plain services: expected wait for each request in flight per slot.
constexpr double kServiceMsPerOpenRequest = 40;
// Plain services: penalty for a server in another failure domain than the node.
constexpr double kOtherDomainPenaltyMs = 1;
// A random time up to this is added to each score, so that nodes don't all
// choose the same server among equals.
constexpr double kTieBreakMs = 2;
// Plain services: requests are refused when the best server has this many in
// flight per slot.
constexpr double kMaxOpenPerSlot = 4.5;

double Milliseconds(Duration duration) {
  return ToMilliseconds(duration);
}

}  // namespace

ServerPicker::ServerPicker(const ServerDirectory& directory,
                           FailureDomainId own_domain,
                           uint64_t seed)
    : directory_(directory), own_domain_(std::move(own_domain)), rng_(seed) {}

double ServerPicker::PrefillRate(const std::string& service) const {
  const auto found = prefill_rates_.find(service);
  return found == prefill_rates_.end() ? kInitialPrefillRate : found->second;
}

SpeedRange ServerPicker::Speeds(const std::string& service) const {
  return speeds_.Range(directory_.Usable(service));
}

double ServerPicker::HomeRank(uint64_t home_key,
                              const ServerRecord& server) const {
  // Weighted rendezvous hashing; with equal weights the order is that of the
  // hashes.
  constexpr double kRange = 0x1p64;
  constexpr double kBelowOne = 1 - 0x1p-53;
  const auto hash =
      static_cast<double>(RendezvousWeight(home_key, server.id.value()));
  const double uniform = std::clamp(hash / kRange, 1 / kRange, kBelowOne);
  return -speeds_.HomeWeight(server) / std::log(uniform);
}

double ServerPicker::PeerPausePenalty(const ServerId& server,
                                      TimePoint now) const {
  return pauses_.PausedForPeer(server, now) ? kPeerPausePenaltyMs : 0;
}

Error ServerPicker::WaitError(const PickQuery& query,
                              const std::string& reason,
                              Duration wait) {
  return Error(ErrorKind::kOverloaded, query.service->name + ": " + reason)
      .WithRetryAfter(
          FromSeconds(ToSeconds(wait) * (1 + kWaitSpread * rng_.Uniform())));
}

std::string ServerPicker::DescribeLimit(const ServerId& limited,
                                        TimePoint now) const {
  const auto limit = rate_limits_.Find(limited, now);
  if (!limit || !limit->rate) {
    return "no server has a permit";
  }
  return "no server has a permit; " + limited.value() + " takes " +
         std::to_string(*limit->rate) + " a second, by its word " +
         std::to_string(
             static_cast<int64_t>(ToMilliseconds(limit->heard_ago))) +
         " ms ago";
}

ServerPicker::Unavailable ServerPicker::RemoveUnavailable(
    std::vector<const ServerRecord*>& servers,
    const PickQuery& query,
    TimePoint now) {
  Unavailable unavailable;
  std::erase_if(servers, [&](const ServerRecord* server) {
    const bool limited = rate_limits_.IsLimited(server->id);
    unavailable.all_limited = unavailable.all_limited && limited;
    const auto pause = pauses_.Remaining(server->id, now);
    const auto to_permit =
        limited ? rate_limits_.TimeToPermit(server->id, now) : std::nullopt;
    if (to_permit) {
      unavailable.limited = server->id;
    }
    if (pause || to_permit) {
      const Duration wait = std::max(pause.value_or(Duration::zero()),
                                     to_permit.value_or(Duration::zero()));
      unavailable.shortest_wait =
          std::min(wait, unavailable.shortest_wait.value_or(wait));
    }
    return pause || to_permit || query.tried_servers.contains(server->id);
  });
  return unavailable;
}

Result<std::vector<const ServerRecord*>> ServerPicker::EligibleServers(
    const PickQuery& query,
    TimePoint now) {
  const std::string& service = query.service->name;
  std::vector<const ServerRecord*> usable = directory_.Usable(service);
  if (query.eligible) {
    std::erase_if(usable, [&](const ServerRecord* server) {
      return !query.eligible(*server);
    });
  }
  const Unavailable unavailable = RemoveUnavailable(usable, query, now);
  const auto to_yield = unavailable.all_limited && query.first_attempt
                            ? urgency_.TimeToYield(service, query.priority, now)
                            : std::nullopt;
  if (to_yield && !usable.empty()) {
    return WaitError(query, "the last permits are for more urgent requests",
                     *to_yield);
  }
  if (usable.empty() && unavailable.limited) {
    urgency_.OnRefused(service, query.priority, now);
    return WaitError(
        query, DescribeLimit(*unavailable.limited, now),
        std::max(*unavailable.shortest_wait, to_yield.value_or(Duration())));
  }
  if (usable.empty()) {
    return unavailable.shortest_wait
               ? WaitError(query, "every server asked for a pause",
                           *unavailable.shortest_wait)
               : Error(ErrorKind::kNoServer, "no usable server of " + service);
  }
  std::vector<const ServerRecord*> healthy;
  for (const ServerRecord* server : usable) {
    if (!outliers_.IsEjected(server->id, now)) {
      healthy.push_back(server);
    }
  }
  // If every server is ejected, one of them is better than none.
  std::vector<const ServerRecord*>& pool = healthy.empty() ? usable : healthy;
  return pool;
}

void ServerPicker::Shorten(std::vector<const ServerRecord*>& servers,
                           std::optional<uint64_t> home_key) {
  if (servers.size() <= kMaxCompared) {
    return;
  }
  size_t chosen = 0;
  if (home_key) {
    std::vector<std::pair<double, const ServerRecord*>> ranked;
    for (const ServerRecord* server : servers) {
      ranked.emplace_back(HomeRank(*home_key, *server), server);
    }
    std::partial_sort(ranked.begin(), ranked.begin() + kHomeCandidates,
                      ranked.end(), std::greater<>());
    std::transform(ranked.begin(), ranked.end(), servers.begin(),
                   [](const auto& rank) { return rank.second; });
    chosen = kHomeCandidates;
  }
  for (size_t i = 0; i < kRandomCandidates; ++i, ++chosen) {
    std::swap(servers[chosen],
              servers[chosen + rng_.Below(servers.size() - chosen)]);
  }
  servers.resize(chosen);
}

ServerPicker::Candidate ServerPicker::AssessEngine(const ServerRecord& server,
                                                   const PickQuery& query,
                                                   double cached_tokens,
                                                   TimePoint now) const {
  const RouteRule& route = *query.route;
  Candidate candidate{.server = &server,
                      .outstanding = load_.At(server.id),
                      .speed = speeds_.Speed(server)};
  const EngineEstimate estimate = EngineEstimate::Of(
      {.slots = server.slots,
       .tokens_per_event = query.service->engine->tokens_per_event,
       .kv_capacity = static_cast<double>(query.service->engine->kv_tokens),
       .service_rate = PrefillRate(query.service->name),
       .speed = candidate.speed,
       .outstanding = candidate.outstanding},
      {.prompt_tokens = static_cast<double>(query.request->prompt_tokens),
       .cached_tokens = cached_tokens,
       .kv_tokens = ExpectedKvTokens(*query.request),
       .is_stream = route.kind == RequestKind::kStream,
       .gap_target_ms = Milliseconds(route.event_gap_target),
       .service_gap_target_ms = Milliseconds(
           query.service_gap_target.value_or(route.event_gap_target)),
       .latency_target_ms = Milliseconds(route.latency_target)});
  candidate.prefill_tokens = estimate.prefill_tokens;
  candidate.expected_ttfb_ms = estimate.ttfb_ms;
  candidate.expected_gap_ms = estimate.gap_ms;
  candidate.score = estimate.ttfb_ms + estimate.penalty_ms +
                    kFailurePenaltyMs * outliers_.FailureShare(server.id, now) +
                    PeerPausePenalty(server.id, now);
  return candidate;
}

ServerPicker::Candidate ServerPicker::AssessService(const ServerRecord& server,
                                                    TimePoint now) const {
  Candidate candidate{.server = &server, .outstanding = load_.At(server.id)};
  const double per_slot =
      static_cast<double>(candidate.outstanding.requests) / server.slots;
  candidate.expected_ttfb_ms =
      kServiceMsPerOpenRequest * std::max(1.0, per_slot);
  candidate.score =
      kServiceMsPerOpenRequest * per_slot +
      kFailurePenaltyMs * outliers_.FailureShare(server.id, now) +
      PeerPausePenalty(server.id, now) +
      (server.failure_domain == own_domain_ ? 0 : kOtherDomainPenaltyMs);
  return candidate;
}

Result<ServerPick> ServerPicker::Choose(const PickQuery& query, TimePoint now) {
  BOOST_OUTCOME_TRY(servers, EligibleServers(query, now));
  const bool engine = query.service->engine.has_value();
  const auto& parts = query.request->prompt_parts;
  const auto prefixes = PrefixCacheEstimate::HashPrefixes(parts);
  // Requests share the prompt up to the part before the last, so its hash
  // selects the home server. A prompt with one part is selected by that part.
  const uint64_t home_key = prefixes.empty() ? 0
                            : prefixes.size() == 1
                                ? prefixes[0]
                                : prefixes[prefixes.size() - 2];
  Shorten(servers, prefixes.empty() ? std::nullopt : std::optional(home_key));
  const ServerRecord* home =
      engine && !prefixes.empty() ? HomeAmong(servers, home_key) : nullptr;
  std::vector<Candidate> candidates;
  for (const ServerRecord* server : servers) {
    if (!engine) {
      candidates.push_back(AssessService(*server, now));
      continue;
    }
    uint32_t cached = prefix_cache_.CachedTokens(server->id, prefixes, parts);
    if (server == home) {
      cached = std::max(cached, SharedTokens(parts));
    }
    candidates.push_back(AssessEngine(*server, query, cached, now));
    candidates.back().score -= server == home ? kHomeServerBonusMs : 0;
  }
  for (Candidate& candidate : candidates) {
    candidate.score += kTieBreakMs * rng_.Uniform();
  }
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  return CheckAdmission(*best, query);
}

// All nodes send a session to its home server, which therefore likely has the
// whole prompt but its last part cached.
uint32_t ServerPicker::SharedTokens(const std::vector<PromptPart>& parts) {
  uint32_t tokens = 0;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    tokens += parts[i].tokens;
  }
  return tokens;
}

const ServerRecord* ServerPicker::HomeAmong(
    const std::vector<const ServerRecord*>& servers,
    uint64_t home_key) const {
  const ServerRecord* home = nullptr;
  double home_rank = 0;
  for (const ServerRecord* server : servers) {
    const double rank = HomeRank(home_key, *server);
    if (rank >= home_rank) {
      home = server;
      home_rank = rank;
    }
  }
  return home;
}

Result<ServerPick> ServerPicker::CheckAdmission(const Candidate& best,
                                                const PickQuery& query) const {
  const bool engine = query.service->engine.has_value();
  const double target_ms = Milliseconds(query.route->latency_target);
  const double time_left_ms = Milliseconds(query.time_left);
  const double lateness_factor = kMaxLateness / (1.0 + query.route->priority);
  const double own_prefill_ms =
      query.promoted ? best.prefill_tokens / PrefillRate(query.service->name)
                     : 0;
  const double limit_ms =
      std::min(kUsableTimeShare * time_left_ms,
               std::max(1.0, lateness_factor) * target_ms + own_prefill_ms);
  const double open_per_slot =
      static_cast<double>(best.outstanding.requests) / best.server->slots;
  const bool overloaded =
      engine ? best.expected_ttfb_ms > limit_ms && open_per_slot > 0.5
             : open_per_slot >= query.hold_per_slot.value_or(kMaxOpenPerSlot);
  if (overloaded && query.first_attempt) {
    const double excess_ms =
        engine ? best.expected_ttfb_ms - limit_ms : kServiceMsPerOpenRequest;
    return Error(ErrorKind::kOverloaded,
                 "first part expected after " +
                     std::to_string(static_cast<int>(best.expected_ttfb_ms)) +
                     " ms, limit " +
                     std::to_string(static_cast<int>(limit_ms)) + " ms")
        .WithRetryAfter(FromSeconds(excess_ms / 1'000));
  }
  return ServerPick{.server = best.server->id,
                    .expected_ttfb = FromSeconds(best.expected_ttfb_ms / 1'000),
                    .prefill_tokens = best.prefill_tokens,
                    .kv_tokens = engine ? ExpectedKvTokens(*query.request) : 0,
                    .outstanding = best.outstanding,
                    .speed = best.speed,
                    .expected_gap = FromSeconds(best.expected_gap_ms / 1'000)};
}

void ServerPicker::OnSent(const ServerPick& pick,
                          const CallerRequest& request) {
  load_.OnSent(pick.server, pick.prefill_tokens, pick.kv_tokens);
  prefix_cache_.OnSent(pick.server,
                       PrefixCacheEstimate::HashPrefixes(request.prompt_parts));
}

void ServerPicker::OnResponseStarted(const ServerPick& pick,
                                     const std::string& service,
                                     bool measurable,
                                     Duration waited,
                                     TimePoint now) {
  load_.OnResponseStarted(pick.server, pick.prefill_tokens);
  if (measurable) {
    MeasurePrefill(pick, service, waited, now);
  }
}

void ServerPicker::MeasurePrefill(const ServerPick& pick,
                                  const std::string& service,
                                  Duration waited,
                                  TimePoint now) {
  const double tokens = pick.outstanding.prefill_tokens + pick.prefill_tokens;
  const double prefill_ms = Milliseconds(waited) - kIdleEngineTtfbMs;
  if (prefill_ms <= 1) {
    return;
  }
  const double measured = tokens / prefill_ms;
  if (tokens >= kMinTokensToMeasure) {
    double& rate =
        prefill_rates_.try_emplace(service, kInitialPrefillRate).first->second;
    rate +=
        kPrefillRateSmoothing *
        (std::clamp(measured / pick.speed, kMinPrefillRate, kMaxPrefillRate) -
         rate);
  }
  const ServerRecord* server = directory_.Find(pick.server);
  const bool had_slot =
      server != nullptr && pick.outstanding.requests < server->slots;
  if (had_slot && pick.prefill_tokens >= kMinTokensForSpeed &&
      pick.prefill_tokens >= kMinShareForSpeed * tokens) {
    speeds_.OnSample(pick.server, server->started_ms, measured, now);
  }
}

bool ServerPicker::OnEnded(const ServerPick& pick,
                           bool response_started,
                           AttemptOutcome outcome,
                           TimePoint now) {
  if (!response_started) {
    load_.OnResponseStarted(pick.server, pick.prefill_tokens);
  }
  load_.OnEnded(pick.server, pick.kv_tokens);
  return outliers_.OnAttemptEnded(pick.server, outcome, now);
}

bool ServerPicker::OnUnreachable(const ServerId& server, TimePoint now) {
  return outliers_.OnAttemptEnded(server, AttemptOutcome::kUnreachable, now);
}

void ServerPicker::OnPauseAsked(const ServerId& server,
                                Duration pause,
                                TimePoint now) {
  pauses_.OnAsked(server, pause, now);
}

bool ServerPicker::IsPaused(const ServerId& server, TimePoint now) const {
  return pauses_.Remaining(server, now).has_value();
}

void ServerPicker::ResetServer(const ServerId& server) {
  outliers_.Reset(server);
  prefix_cache_.Invalidate(server);
  speeds_.Forget(server);
}

void ServerPicker::OnTick(TimePoint now) {
  load_.OnTick(now);
  pauses_.OnTick(now);
  rate_limits_.OnTick(now);
  speeds_.OnTick(directory_.All(), now);
}

}  // namespace qh
