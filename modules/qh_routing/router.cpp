#include "qh_routing/router.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace qh {
namespace {

constexpr size_t kDecisions = 4'096;
// Random servers looked at beside the homes and holders.
constexpr uint32_t kRandomServers = 3;
// Time to the first part on an idle server with the whole prompt cached.
constexpr double kBaseSeconds = 0.04;
// Prompt tokens that a server computes per second; `pace_` corrects it.
constexpr double kPrefillPerSecond = 10'000;
// Cost of a full batch: each of its requests slows the others.
constexpr double kBatchSeconds = 0.06;
// Share of the prompt that a home may hold by other nodes' doing.
constexpr double kHomeShare = 0.2;
// Cost of a failure domain that is being reclaimed.
constexpr double kLeavingDomainSeconds = 0.3;
constexpr double kPaceGain = 0.02;
constexpr double kMinPace = 0.3;
constexpr double kMaxPace = 3;
constexpr double kServiceGain = 0.02;
// First parts sooner than this tell nothing about a server's health.
constexpr double kLeastExpected = 0.15;
// A first part later than this is judged before it comes.
constexpr double kOverdueFactor = 4;
constexpr Duration kOverdueLeast = std::chrono::seconds(1);

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

// The two servers of largest rendezvous weight; the second in another failure
// domain, so that a reclaimed domain leaves a copy of the prefix.
struct Router::Homes {
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
    : rng_(seed), affinity_(affinity), decisions_(kDecisions) {
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
    // An ejected server still serves when no other one can.
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
  return Answer(candidate, query, now);
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
    Candidate candidate = Assess(server, cached, is_home, query, now);
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
    const Homes homes = FindHomes(match.home_key, now);
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
    const Candidate other = BestWithRoom(query, hot_tokens, now);
    if (other.score < best->score) {
      best = other;
    }
  }
  return Answer(*best, query, now);
}

Router::Homes Router::FindHomes(uint64_t key, TimePoint /*now*/) const {
  Homes homes;
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

Router::Candidate Router::Assess(uint32_t server,
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
  const double missing = query.prompt_tokens - candidate.cached_tokens;
  const double ahead = load_.own_prefill(server) +
                       load_.OthersQueued(server, now) * prefill_tokens_;
  double wait = pace_ * (kBaseSeconds + (ahead + missing) / kPrefillPerSecond);
  const double excess = candidate.in_flight + 1 - candidate.limit;
  if (excess > 0) {
    wait += excess / candidate.limit * service_seconds_;
  }
  candidate.first_part = wait * health_.Slowness(server, now);
  const MeasureWeights& weights = config_->weights;
  const double both = weights.cost + weights.recomputed_tokens;
  const double cost_share = both > 0 ? 2 * weights.cost / both : 1;
  const double home_credit =
      is_home ? kHomeShare * missing / kPrefillPerSecond : 0;
  candidate.score =
      cost_share * (candidate.first_part +
                    kBatchSeconds * candidate.in_flight / candidate.limit) +
      (2 - cost_share) * missing / kPrefillPerSecond - home_credit +
      kLeavingDomainSeconds * table_.LeavingShare(server);
  return candidate;
}

Router::Candidate Router::BestWithRoom(const RouteQuery& query,
                                       uint32_t hot_tokens,
                                       TimePoint now) const {
  std::optional<Candidate> best;
  for (const uint32_t server : eligible_) {
    Candidate candidate = Assess(server, hot_tokens, false, query, now);
    if (!best || candidate.score < best->score) {
      best = candidate;
    }
  }
  best->reason = "least_expected_wait_of_all";
  return *best;
}

RouteChoice Router::Answer(const Candidate& best,
                           const RouteQuery& query,
                           TimePoint now) {
  RouteChoice choice;
  choice.server = table_.at(best.server).server;
  choice.reason = best.reason;
  choice.expected_first_part = FromSeconds(best.first_part);
  choice.cached_tokens = best.cached_tokens;
  choice.in_flight = best.in_flight;
  choice.limit = best.limit;
  choice.has_room = best.limit == 0 || best.in_flight + 1 <= best.limit;
  Decision decision;
  decision.request = query.request;
  decision.at = now;
  decision.server = choice.server.id;
  decision.reason = best.reason;
  decision.in_flight = best.in_flight;
  decision.limit = best.limit;
  decision.prompt_tokens = query.prompt_tokens;
  decision.cached_tokens = best.cached_tokens;
  decision.expected_first_part = choice.expected_first_part;
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
  dispatch.at = now;
  if (query.route.empty()) {
    const auto match = affinity_.Find(query.prefix_blocks, table_.size(), now);
    uint32_t blocks = match.hot_blocks;
    for (uint32_t i = 0; i < match.holder_count; ++i) {
      if (match.holders[i].server == index) {
        blocks = std::max(blocks, match.holders[i].blocks);
      }
    }
    const Candidate candidate =
        Assess(index, blocks * kPrefixBlockTokens, false, query, now);
    // What a healthy server would need.
    dispatch.expected =
        FromSeconds(candidate.first_part / health_.Slowness(index, now));
    dispatch.prefill = query.prompt_tokens - candidate.cached_tokens;
    dispatch.had_room = candidate.in_flight + 1 <= candidate.limit;
    prefill_tokens_ += kServiceGain * (dispatch.prefill - prefill_tokens_);
    affinity_.OnArrival(query.prefix_blocks);
    affinity_.OnStored(index, query.prefix_blocks, now);
    waiting_.emplace_back(now, DispatchKey(server, query));
  }
  load_.OnDispatched(index, dispatch.prefill, now);
  dispatches_[DispatchKey(server, query)] = dispatch;
}

void Router::OnFirstByte(const ServerId& server,
                         const RouteQuery& query,
                         TimePoint now) {
  Dispatch* dispatch = FindDispatch(server, query);
  if (!dispatch || dispatch->first_part) {
    return;
  }
  dispatch->first_part = true;
  load_.OnPrefilled(dispatch->server, dispatch->prefill);
  Learn(*dispatch, now - dispatch->at, now);
}

void Router::Learn(Dispatch& dispatch, Duration waited, TimePoint now) {
  const double expected =
      std::max(kLeastExpected, ToSeconds(dispatch.expected));
  const double ratio = ToSeconds(waited) / expected;
  const bool healthy =
      health_.StateOf(dispatch.server, now) == HealthState::kHealthy;
  if (dispatch.had_room && healthy && dispatch.expected.count() > 0) {
    const double exact = ToSeconds(waited) / ToSeconds(dispatch.expected);
    const double wanted = pace_ * std::clamp(exact, 0.25, 4.0);
    pace_ =
        std::clamp(pace_ + kPaceGain * (wanted - pace_), kMinPace, kMaxPace);
  }
  if (!dispatch.judged) {
    health_.OnFirstToken(dispatch.server, ratio, now);
  }
  limits_[dispatch.server].OnFirstToken(
      ratio, load_.InFlight(dispatch.server, now), now);
}

void Router::OnEnded(const ServerId& server,
                     const RouteQuery& query,
                     DispatchOutcome end,
                     TimePoint now) {
  Dispatch* dispatch = FindDispatch(server, query);
  if (!dispatch) {
    return;
  }
  if (!dispatch->first_part) {
    load_.OnPrefilled(dispatch->server, dispatch->prefill);
  }
  load_.OnEnded(dispatch->server, now);
  if (end == DispatchOutcome::kCompleted && query.route.empty()) {
    const double seconds = ToSeconds(now - dispatch->at);
    service_seconds_ += kServiceGain * (seconds - service_seconds_);
  }
  if (end == DispatchOutcome::kNotConnected ||
      end == DispatchOutcome::kServerLost) {
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
  while (!waiting_.empty() && now - waiting_.front().first > kOverdueLeast) {
    const auto found = dispatches_.find(waiting_.front().second);
    if (found != dispatches_.end() && !found->second.first_part) {
      Dispatch& dispatch = found->second;
      const double expected =
          std::max(kLeastExpected, ToSeconds(dispatch.expected));
      const double ratio = ToSeconds(now - dispatch.at) / expected;
      if (ratio < kOverdueFactor) {
        return;
      }
      dispatch.judged = true;
      health_.OnFirstToken(dispatch.server, ratio, now);
    }
    waiting_.pop_front();
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
