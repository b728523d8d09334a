#include "qh_routing/limits/team_limiter.h"

#include <algorithm>

namespace qh {
namespace {

// Gain of the smoothed demand per digest. A jumpy demand would cost share:
// peers count its largest recent value.
constexpr double kDemandGain = 0.08;
// Part of the largest request that is forgotten with each digest.
constexpr double kForgetLargest = 0.01;
// Least rate as a share of the limit, however large the single requests are.
constexpr double kLeastRateShare = 0.25;
constexpr double kLeastDemand = 1e-3;
// Demand that a node without any counts with, as a share of the limit.
constexpr double kFloorShare = 0.01;

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
    bucket.filled = digest_at_;
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
  bucket.asked += tokens;
  bucket.largest = std::max(bucket.largest, tokens);
  Fill(team, bucket, now);
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
    // Before the first 1 / kDemandGain digests it is the plain mean, so that a
    // node that joins has its share within seconds.
    const double gain = std::max(kDemandGain, 1.0 / ++bucket.digests);
    bucket.demand += gain * (bucket.asked / elapsed - bucket.demand);
    bucket.asked = 0;
    bucket.largest -= kForgetLargest * bucket.largest;
    if (bucket.demand < kLeastDemand) {
      bucket.demand = 0;
    } else {
      digest.tokens_per_second[team] = bucket.demand;
    }
    bucket.told.push_back({now, bucket.demand});
    // The newest of those older than kDigestDelay is in force; drop those
    // before it.
    while (bucket.told.size() > 1 && now - bucket.told[1].at >= kDigestDelay) {
      bucket.told.pop_front();
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
  peer.heard = now;
  for (auto& [team, told] : peer.demand) {
    if (!digest.tokens_per_second.contains(team)) {
      told.push_back({now, 0});
    }
  }
  for (const auto& [team, demand] : digest.tokens_per_second) {
    peer.demand[team].push_back({now, demand});
  }
  for (auto& [team, told] : peer.demand) {
    while (told.size() > 1 && now - told[1].at >= 2 * kDigestDelay) {
      told.pop_front();
    }
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard > 3 * kDigestDelay;
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
  for (const Told& told : bucket.told) {
    if (now - told.at >= kDigestDelay) {
      demand = told.tokens_per_second;
    }
  }
  return std::max(demand, kFloorShare * bucket.tokens_per_second);
}

double TeamLimiter::PeersDemand(const TeamId& team,
                                const Bucket& bucket,
                                TimePoint now) const {
  double sum = 0;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard > 3 * kDigestDelay) {
      continue;
    }
    double largest = kFloorShare * bucket.tokens_per_second;
    const auto found = peer.demand.find(team);
    if (found != peer.demand.end()) {
      for (const Told& told : found->second) {
        largest = std::max(largest, told.tokens_per_second);
      }
    }
    sum += largest;
  }
  return sum;
}

size_t TeamLimiter::LiveNodes(TimePoint now) const {
  size_t count = 1;
  for (const auto& [id, peer] : peers_) {
    count += now - peer.heard <= 3 * kDigestDelay;
  }
  return count;
}

// What the buckets of all nodes hold comes on top of the rate in a window.
double TeamLimiter::Rate(const TeamId& team,
                         const Bucket& bucket,
                         TimePoint now) const {
  const double whole = bucket.tokens_per_second;
  const double largest = bucket.largest * double(LiveNodes(now));
  const double rate =
      (1 + kAllowance - kBurst) * whole - largest / ToSeconds(kWindow);
  return Share(team, now) * std::max(kLeastRateShare * whole, rate);
}

double TeamLimiter::Depth(const TeamId& team,
                          const Bucket& bucket,
                          TimePoint now) const {
  return bucket.largest + Share(team, now) * kBurst * bucket.tokens_per_second *
                              ToSeconds(kWindow);
}

void TeamLimiter::Fill(const TeamId& team,
                       Bucket& bucket,
                       TimePoint now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - bucket.filled));
  bucket.filled = now;
  bucket.level = std::min(Depth(team, bucket, now),
                          bucket.level + Rate(team, bucket, now) * elapsed);
}

}  // namespace qh
