#include "qh_routing/limits/team_limiter.h"

#include <algorithm>

namespace qh {
namespace {

// Smoothing factor of the demand, per digest. It is small because a demand that
// fluctuates would cost this node part of its share: peers count the largest
// recent value of each other node.
constexpr double kDemandSmoothing = 0.08;
// Share by which the remembered size of the largest request decays with each
// digest.
constexpr double kLargestDecay = 0.01;
// Lower bound of the refill rate as a share of the limit, however large single
// requests are.
constexpr double kMinRateShare = 0.25;
// Tokens per second below which demand counts as none.
constexpr double kMinDemand = 1e-3;
// Demand that is assumed at least for every node, as a share of the limit.
constexpr double kMinDemandShare = 0.01;

}  // namespace

TeamLimiter::TeamLimiter(InstanceId self, TimePoint now)
    : self_(std::move(self)), started_(now), digest_at_(now) {}

void TeamLimiter::SetTeams(const std::vector<Team>& teams) {
  std::map<TeamId, Bucket> buckets;
  for (const Team& team : teams) {
    if (team.tokens_per_minute == 0) {
      continue;
    }
    const auto known = buckets_.find(team.id);
    Bucket bucket;
    bucket.refilled_at = digest_at_;
    if (known != buckets_.end()) {
      bucket = std::move(known->second);
    }
    bucket.tokens_per_second = double(team.tokens_per_minute) / 60;
    buckets.emplace(team.id, std::move(bucket));
  }
  buckets_ = std::move(buckets);
}

std::optional<Duration> TeamLimiter::Admit(const TeamId& team,
                                           double tokens,
                                           TimePoint now) {
  const auto found = buckets_.find(team);
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  bucket.requested_tokens += tokens;
  bucket.largest_request = std::max(bucket.largest_request, tokens);
  Refill(team, bucket, now);
  if (bucket.level >= tokens) {
    bucket.level -= tokens;
    return std::nullopt;
  }
  const double rate = std::max(1.0, Rate(team, bucket, now));
  const double seconds = (tokens - bucket.level) / rate;
  return Duration(int64_t(std::clamp(seconds, 0.1, 60.0) * 1e6));
}

void TeamLimiter::Refund(const TeamId& team, double tokens) {
  const auto found = buckets_.find(team);
  if (found != buckets_.end()) {
    Bucket& bucket = found->second;
    bucket.level += tokens;
  }
}

DemandDigest TeamLimiter::MakeDigest(TimePoint now) {
  DemandDigest digest;
  digest.node = self_;
  digest.sequence = ++sequence_;
  const double elapsed = std::max(1e-3, ToSeconds(now - digest_at_));
  digest_at_ = now;
  for (auto& [team, bucket] : buckets_) {
    // The first 1 / kDemandSmoothing digests are averaged with equal weights,
    // so that a node that joins gets its share within seconds.
    const double smoothing =
        std::max(kDemandSmoothing, 1.0 / ++bucket.digest_count);
    bucket.demand +=
        smoothing * (bucket.requested_tokens / elapsed - bucket.demand);
    bucket.requested_tokens = 0;
    bucket.largest_request -= kLargestDecay * bucket.largest_request;
    if (bucket.demand < kMinDemand) {
      bucket.demand = 0;
    } else {
      digest.tokens_per_second[team] = bucket.demand;
    }
    bucket.reported.push_back({now, bucket.demand});
    // Keep the newest report older than kDigestDelay, which is the one that
    // counts, and those after it.
    while (bucket.reported.size() > 1 &&
           now - bucket.reported[1].at >= kDigestDelay) {
      bucket.reported.pop_front();
    }
  }
  return digest;
}

void TeamLimiter::OnDigest(const DemandDigest& digest, TimePoint now) {
  Peer& peer = peers_[digest.node];
  if (digest.node == self_ || digest.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = digest.sequence;
  peer.received_at = now;
  for (auto& [team, samples] : peer.demand) {
    if (!digest.tokens_per_second.contains(team)) {
      samples.push_back({now, 0});
    }
  }
  for (const auto& [team, demand] : digest.tokens_per_second) {
    peer.demand[team].push_back({now, demand});
  }
  for (auto& [team, samples] : peer.demand) {
    while (samples.size() > 1 && now - samples[1].at >= 2 * kDigestDelay) {
      samples.pop_front();
    }
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.received_at > 3 * kDigestDelay;
  });
}

double TeamLimiter::Share(const TeamId& team, TimePoint now) const {
  const auto found = buckets_.find(team);
  if (found == buckets_.end()) {
    return 1;
  }
  if (now - started_ < kDigestDelay) {
    return 0;
  }
  const Bucket& bucket = found->second;
  const double own = OwnDemand(bucket, now);
  return own / (own + PeersDemand(team, bucket, now));
}

double TeamLimiter::OwnDemand(const Bucket& bucket, TimePoint now) const {
  double demand = 0;
  for (const DemandSample& sample : bucket.reported) {
    if (now - sample.at >= kDigestDelay) {
      demand = sample.tokens_per_second;
    }
  }
  return std::max(demand, kMinDemandShare * bucket.tokens_per_second);
}

double TeamLimiter::PeersDemand(const TeamId& team,
                                const Bucket& bucket,
                                TimePoint now) const {
  double sum = 0;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.received_at > 3 * kDigestDelay) {
      continue;
    }
    double largest = kMinDemandShare * bucket.tokens_per_second;
    const auto found = peer.demand.find(team);
    if (found != peer.demand.end()) {
      for (const DemandSample& sample : found->second) {
        largest = std::max(largest, sample.tokens_per_second);
      }
    }
    sum += largest;
  }
  return sum;
}

size_t TeamLimiter::LiveNodes(TimePoint now) const {
  size_t count = 1;
  for (const auto& [id, peer] : peers_) {
    count += now - peer.received_at <= 3 * kDigestDelay;
  }
  return count;
}

// Within a window, the contents of all nodes' buckets can be used in addition
// to the refill. The rate is reduced by that amount.
double TeamLimiter::Rate(const TeamId& team,
                         const Bucket& bucket,
                         TimePoint now) const {
  const double limit = bucket.tokens_per_second;
  const double largest_requests =
      bucket.largest_request * double(LiveNodes(now));
  const double rate = (1 + kOvershootAllowance - kBurstShare) * limit -
                      largest_requests / ToSeconds(kWindow);
  return Share(team, now) * std::max(kMinRateShare * limit, rate);
}

double TeamLimiter::Depth(const TeamId& team,
                          const Bucket& bucket,
                          TimePoint now) const {
  return bucket.largest_request + Share(team, now) * kBurstShare *
                                      bucket.tokens_per_second *
                                      ToSeconds(kWindow);
}

void TeamLimiter::Refill(const TeamId& team,
                         Bucket& bucket,
                         TimePoint now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - bucket.refilled_at));
  bucket.refilled_at = now;
  bucket.level = std::min(Depth(team, bucket, now),
                          bucket.level + Rate(team, bucket, now) * elapsed);
}

}  // namespace qh
