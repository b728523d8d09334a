#include "qh_routing/router.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace qh {
namespace {

constexpr size_t kDecisionLogCapacity = 4'096;
// Random servers that are considered besides the home servers and the servers
// that hold the prefix.
constexpr uint32_t kRandomServers = 3;
// Time to first byte on an idle server that has the whole prompt cached.
constexpr double kBaseTtfbSeconds = 0.04;
// Assumed prompt tokens that a server computes per second. Router scales the
// resulting times by latency_scale_, which follows the observed times.
constexpr double kPrefillTokensPerSecond = 10'000;
// Cost of a full batch, in which requests slow each other down.
constexpr double kFullBatchSeconds = 0.06;
// Share of the uncached prompt that a home server is assumed to hold because
// other nodes sent the same prefix to that server.
constexpr double kHomeCachedShare = 0.2;
// Cost of a server in a failure domain of which all servers are leaving.
constexpr double kLeavingDomainSeconds = 0.3;
// Smoothing factor and bounds of Router::latency_scale_.
constexpr double kLatencyScaleSmoothing = 0.02;
constexpr double kMinLatencyScale = 0.3;
constexpr double kMaxLatencyScale = 3;
// Smoothing factor of the means over requests.
constexpr double kMeanSmoothing = 0.02;
// Lower bound of the expected time to first byte when a server's health is
// derived from it. Times shorter than this say nothing about the health.
constexpr double kMinExpectedSeconds = 0.15;
// A first byte that takes longer than this many times the expected time counts
// against the server before it arrives.
constexpr double kOverdueFactor = 4;
// Age below which a request is not checked for being overdue.
constexpr Duration kMinOverdue = std::chrono::seconds(1);

// Finalizer of MurmurHash3.
uint64_t Mix(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

std::string DispatchKey(const ServerId& server, const RouteQuery& query) {
  return query.request.value() + "\n" + server.value();
}

}  // namespace

// The servers of largest rendezvous weight for a prefix. Every node derives the
// same ones. The second is in another failure domain, so that a copy of the
// prefix remains when a domain is reclaimed.
struct Router::HomeServers {
  std::optional<uint32_t> first;
  std::optional<uint32_t> second;
};

Router Router::Create(ConfigurationPtr config, uint64_t seed) {
  return Create(std::move(config), seed, {});
}

Router Router::Create(ConfigurationPtr config,
                      uint64_t seed,
                      PrefixAffinity::Options affinity) {
  return {std::move(config), seed, affinity};
}

Router::Router(ConfigurationPtr config,
               uint64_t seed,
               PrefixAffinity::Options affinity)
    : rng_(seed), affinity_(affinity), decisions_(kDecisionLogCapacity) {
  SetConfiguration(std::move(config));
}

void Router::SetConfiguration(ConfigurationPtr config) {
  assert(config);
  config_ = std::move(config);
  table_.SetConfiguration(*config_);
  load_.Resize(table_.size());
  health_.Resize(table_.size());
  while (limits_.size() < table_.size()) {
    const auto next = uint32_t(limits_.size());
    limits_.emplace_back(table_.at(next).slots);
  }
}

void Router::SetLeaving(std::set<ServerId> leaving) {
  table_.SetLeaving(leaving);
}

void Router::SetCapability(const ServerId& server,
                           ServerCapability capability) {
  table_.SetCapability(server, std::move(capability));
}

Result<RouteChoice> Router::Choose(const RouteQuery& query, TimePoint now) {
  ErrorKind error = ErrorKind::kNoServer;
  const auto* servers = table_.Candidates(query, error);
  if (!servers) {
    return Error(error, query.model + query.route.value());
  }
  return query.route.empty() ? ChooseEngine(query, *servers, now)
                             : ChooseService(query, *servers, now);
}

Result<RouteChoice> Router::ChooseService(const RouteQuery& query,
                                          const std::vector<uint32_t>& servers,
                                          TimePoint now) {
  std::optional<uint32_t> best;
  double best_load = 0;
  const uint64_t offset = servers.empty() ? 0 : rng_.Below(servers.size());
  for (size_t i = 0; i < servers.size(); ++i) {
    const uint32_t server = servers[(i + offset) % servers.size()];
    if (!table_.IsEligible(server, query)) {
      continue;
    }
    // The lower bound lets an ejected server serve when no other one can.
    const double share = std::max(0.001, health_.Share(server, now));
    const double load = (load_.own(server) + 1) / share;
    if (!best || load < best_load) {
      best = server;
      best_load = load;
    }
  }
  if (!best) {
    return Error(ErrorKind::kNoServer, "every server is leaving or failed");
  }
  Candidate candidate;
  candidate.server = *best;
  candidate.in_flight = load_.own(*best);
  candidate.reason = "least_in_flight";
  return RecordChoice(candidate, query, now);
}

Result<RouteChoice> Router::ChooseEngine(const RouteQuery& query,
                                         const std::vector<uint32_t>& servers,
                                         TimePoint now) {
  eligible_.clear();
  for (const uint32_t server : servers) {
    if (table_.IsEligible(server, query) && health_.Share(server, now) > 0) {
      eligible_.push_back(server);
    }
  }
  if (eligible_.empty()) {
    for (const uint32_t server : servers) {
      if (table_.IsEligible(server, query)) {
        eligible_.push_back(server);
      }
    }
  }
  if (eligible_.empty()) {
    return Error(ErrorKind::kNoServer, "every server is leaving or failed");
  }
  const PrefixAffinity::Match match =
      affinity_.Find(query.prefix_blocks, eligible_.size(), now);
  const uint32_t hot_tokens = match.hot_blocks * kPrefixBlockTokens;
  std::optional<Candidate> best;
  const auto consider = [&](uint32_t server, uint32_t cached, bool is_home,
                            std::string_view reason) {
    Candidate candidate = ScoreServer(server, cached, is_home, query, now);
    candidate.reason = reason;
    if (!best || candidate.score < best->score) {
      best = candidate;
    }
  };
  for (uint32_t i = 0; i < match.holder_count; ++i) {
    const auto& holder = match.holders[i];
    if (std::find(eligible_.begin(), eligible_.end(), holder.server) !=
        eligible_.end()) {
      consider(holder.server,
               std::max(hot_tokens, holder.blocks * kPrefixBlockTokens), false,
               "prefix_holder");
    }
  }
  if (!query.prefix_blocks.empty()) {
    const HomeServers homes = FindHomeServers(match.home_key, now);
    consider(*homes.first, hot_tokens, true, "prefix_home");
    if (homes.second) {
      consider(*homes.second, hot_tokens, false, "second_home");
    }
  }
  for (uint32_t i = 0; i < kRandomServers; ++i) {
    consider(eligible_[rng_.Below(eligible_.size())], hot_tokens, false,
             "least_expected_wait");
  }
  if (best->in_flight + 1 > best->limit) {
    const Candidate other = BestOfAll(query, hot_tokens, now);
    if (other.score < best->score) {
      best = other;
    }
  }
  return RecordChoice(*best, query, now);
}

Router::HomeServers Router::FindHomeServers(uint64_t key,
                                            TimePoint /*now*/) const {
  HomeServers homes;
  uint64_t first_weight = 0;
  for (const uint32_t server : eligible_) {
    const uint64_t weight = Mix(key ^ table_.at(server).seed);
    if (!homes.first || weight > first_weight) {
      homes.first = server;
      first_weight = weight;
    }
  }
  uint64_t second_weight = 0;
  for (const uint32_t server : eligible_) {
    const uint64_t weight = Mix(key ^ table_.at(server).seed);
    if (table_.at(server).domain != table_.at(*homes.first).domain &&
        (!homes.second || weight > second_weight)) {
      homes.second = server;
      second_weight = weight;
    }
  }
  return homes;
}

Router::Candidate Router::ScoreServer(uint32_t server,
                                      uint32_t cached_tokens,
                                      bool is_home,
                                      const RouteQuery& query,
                                      TimePoint now) const {
  Candidate candidate;
  candidate.server = server;
  candidate.cached_tokens = std::min(cached_tokens, query.prompt_tokens);
  candidate.in_flight = load_.InFlight(server, now);
  candidate.limit =
      limits_[server].value() * std::max(0.01, health_.Share(server, now));
  const double uncached = query.prompt_tokens - candidate.cached_tokens;
  // Prompt tokens that the server computes before those of this request.
  const double ahead = load_.own_prefill_tokens(server) +
                       load_.OthersQueued(server, now) * mean_prefill_tokens_;
  double wait = latency_scale_ * (kBaseTtfbSeconds +
                                  (ahead + uncached) / kPrefillTokensPerSecond);
  const double excess = candidate.in_flight + 1 - candidate.limit;
  if (excess > 0) {
    wait += excess / candidate.limit * mean_request_seconds_;
  }
  candidate.ttfb_seconds = wait * health_.Slowness(server, now);
  const MeasureWeights& weights = config_->weights;
  const double weight_sum = weights.cost + weights.recomputed_tokens;
  const double cost_weight = weight_sum > 0 ? 2 * weights.cost / weight_sum : 1;
  const double home_credit =
      is_home ? kHomeCachedShare * uncached / kPrefillTokensPerSecond : 0;
  candidate.score =
      cost_weight *
          (candidate.ttfb_seconds +
           kFullBatchSeconds * candidate.in_flight / candidate.limit) +
      (2 - cost_weight) * uncached / kPrefillTokensPerSecond - home_credit +
      kLeavingDomainSeconds * table_.LeavingShare(server);
  return candidate;
}

Router::Candidate Router::BestOfAll(const RouteQuery& query,
                                    uint32_t hot_tokens,
                                    TimePoint now) const {
  std::optional<Candidate> best;
  for (const uint32_t server : eligible_) {
    Candidate candidate = ScoreServer(server, hot_tokens, false, query, now);
    if (!best || candidate.score < best->score) {
      best = candidate;
    }
  }
  best->reason = "least_expected_wait_of_all";
  return *best;
}

RouteChoice Router::RecordChoice(const Candidate& best,
                                 const RouteQuery& query,
                                 TimePoint now) {
  RouteChoice choice;
  choice.server = table_.at(best.server).server;
  choice.reason = best.reason;
  choice.expected_ttfb = FromSeconds(best.ttfb_seconds);
  choice.cached_tokens = best.cached_tokens;
  choice.in_flight = best.in_flight;
  choice.limit = best.limit;
  choice.has_capacity = best.limit == 0 || best.in_flight + 1 <= best.limit;
  Decision decision;
  decision.request = query.request;
  decision.at = now;
  decision.server = choice.server.id;
  decision.reason = best.reason;
  decision.in_flight = best.in_flight;
  decision.limit = best.limit;
  decision.prompt_tokens = query.prompt_tokens;
  decision.cached_tokens = best.cached_tokens;
  decision.expected_ttfb = choice.expected_ttfb;
  decisions_.Record(std::move(decision));
  return choice;
}

void Router::OnDispatched(const ServerId& server,
                          const RouteQuery& query,
                          TimePoint now) {
  const uint32_t index = table_.IndexOf(server);
  if (index == table_.size()) {
    return;
  }
  Dispatch dispatch;
  dispatch.server = index;
  dispatch.dispatched_at = now;
  if (query.route.empty()) {
    const auto match = affinity_.Find(query.prefix_blocks, table_.size(), now);
    uint32_t blocks = match.hot_blocks;
    for (uint32_t i = 0; i < match.holder_count; ++i) {
      if (match.holders[i].server == index) {
        blocks = std::max(blocks, match.holders[i].blocks);
      }
    }
    const Candidate candidate =
        ScoreServer(index, blocks * kPrefixBlockTokens, false, query, now);
    // The time that a healthy server would need.
    dispatch.expected =
        FromSeconds(candidate.ttfb_seconds / health_.Slowness(index, now));
    dispatch.prefill_tokens = query.prompt_tokens - candidate.cached_tokens;
    dispatch.had_capacity = candidate.in_flight + 1 <= candidate.limit;
    mean_prefill_tokens_ +=
        kMeanSmoothing * (dispatch.prefill_tokens - mean_prefill_tokens_);
    affinity_.OnArrival(query.prefix_blocks);
    affinity_.OnStored(index, query.prefix_blocks, now);
    awaiting_first_byte_.emplace_back(now, DispatchKey(server, query));
  }
  load_.OnDispatched(index, dispatch.prefill_tokens, now);
  dispatches_[DispatchKey(server, query)] = dispatch;
}

void Router::OnFirstByte(const ServerId& server,
                         const RouteQuery& query,
                         TimePoint now) {
  Dispatch* dispatch = FindDispatch(server, query);
  if (!dispatch || dispatch->has_first_byte) {
    return;
  }
  dispatch->has_first_byte = true;
  load_.OnPrefilled(dispatch->server, dispatch->prefill_tokens);
  RecordTimeToFirstByte(*dispatch, now - dispatch->dispatched_at, now);
}

void Router::RecordTimeToFirstByte(Dispatch& dispatch,
                                   Duration ttfb,
                                   TimePoint now) {
  const double expected =
      std::max(kMinExpectedSeconds, ToSeconds(dispatch.expected));
  const double ratio = ToSeconds(ttfb) / expected;
  const bool healthy =
      health_.StateOf(dispatch.server, now) == HealthState::kHealthy;
  if (dispatch.had_capacity && healthy && dispatch.expected.count() > 0) {
    const double unbounded_ratio =
        ToSeconds(ttfb) / ToSeconds(dispatch.expected);
    const double target =
        latency_scale_ * std::clamp(unbounded_ratio, 0.25, 4.0);
    latency_scale_ = std::clamp(
        latency_scale_ + kLatencyScaleSmoothing * (target - latency_scale_),
        kMinLatencyScale, kMaxLatencyScale);
  }
  if (!dispatch.counted_as_overdue) {
    health_.OnFirstByte(dispatch.server, ratio, now);
  }
  limits_[dispatch.server].OnFirstByte(
      ratio, load_.InFlight(dispatch.server, now), now);
}

void Router::OnEnded(const ServerId& server,
                     const RouteQuery& query,
                     DispatchOutcome outcome,
                     TimePoint now) {
  Dispatch* dispatch = FindDispatch(server, query);
  if (!dispatch) {
    return;
  }
  if (!dispatch->has_first_byte) {
    load_.OnPrefilled(dispatch->server, dispatch->prefill_tokens);
  }
  load_.OnEnded(dispatch->server, now);
  if (outcome == DispatchOutcome::kCompleted && query.route.empty()) {
    const double seconds = ToSeconds(now - dispatch->dispatched_at);
    mean_request_seconds_ += kMeanSmoothing * (seconds - mean_request_seconds_);
  }
  if (outcome == DispatchOutcome::kNotConnected ||
      outcome == DispatchOutcome::kServerLost) {
    health_.OnFailure(dispatch->server, now);
    limits_[dispatch->server].OnFailure(now);
    affinity_.OnDropped(dispatch->server, {}, now);
  }
  dispatches_.erase(DispatchKey(server, query));
}

void Router::OnLoadReport(const LoadReport& report, TimePoint /*now*/) {
  const uint32_t server = table_.IndexOf(report.server);
  if (server < table_.size()) {
    load_.OnReport(server, report.running, report.queued, report.measured_at);
  }
}

void Router::OnCacheEvent(const CacheEvent& event, TimePoint now) {
  const uint32_t server = table_.IndexOf(event.server);
  if (server == table_.size()) {
    return;
  }
  if (event.stored) {
    affinity_.OnStored(server, event.blocks, now);
  } else {
    affinity_.OnDropped(server, event.blocks, now);
  }
}

void Router::OnTick(TimePoint now) {
  while (!awaiting_first_byte_.empty() &&
         now - awaiting_first_byte_.front().first > kMinOverdue) {
    const auto found = dispatches_.find(awaiting_first_byte_.front().second);
    if (found != dispatches_.end() && !found->second.has_first_byte) {
      Dispatch& dispatch = found->second;
      const double expected =
          std::max(kMinExpectedSeconds, ToSeconds(dispatch.expected));
      const double ratio = ToSeconds(now - dispatch.dispatched_at) / expected;
      if (ratio < kOverdueFactor) {
        return;
      }
      dispatch.counted_as_overdue = true;
      health_.OnFirstByte(dispatch.server, ratio, now);
    }
    awaiting_first_byte_.pop_front();
  }
}

uint32_t Router::InFlight(const ServerId& server) const {
  const uint32_t index = table_.IndexOf(server);
  return index < table_.size() ? load_.own(index) : 0;
}

HealthState Router::HealthOf(const ServerId& server, TimePoint now) const {
  const uint32_t index = table_.IndexOf(server);
  return index < table_.size() ? health_.StateOf(index, now)
                               : HealthState::kHealthy;
}

Router::Dispatch* Router::FindDispatch(const ServerId& server,
                                       const RouteQuery& query) {
  const auto found = dispatches_.find(DispatchKey(server, query));
  return found == dispatches_.end() ? nullptr : &found->second;
}

}  // namespace qh
