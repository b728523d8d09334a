#include "qh_gateway/decisions/team_rate_limiter.h"

#include <algorithm>
#include <limits>

namespace qh {
namespace {

// Peers forgotten when there are more; only dead processes' entries pile up.
constexpr size_t kMaxPeerTotals = 2'000;

// Part of a bucket.
constexpr double kNearlyFullShare = 0.9;

// What is refused for less than this is available again by the answer's
// arrival.
constexpr Duration kMinWait = std::chrono::milliseconds(10);

}  // namespace

TeamRateLimiter::TeamRateLimiter(const Allowance& allowance, TimePoint now)
    : allowance_(allowance), started_(now) {}

double TeamRateLimiter::WindowGrant(const Account& account) const {
  return account.rate * ToSeconds(allowance_.window) + account.burst;
}

double TeamRateLimiter::WindowAllowance(const Account& account) const {
  return allowance_.share * WindowGrant(account) + allowance_.units;
}

double TeamRateLimiter::BucketCapacity(const Account& account) const {
  return account.burst + kSharedHeadroom * WindowAllowance(account);
}

double TeamRateLimiter::UnresponsiveShare() const {
  return static_cast<double>(std::min(unresponsive_, peers_)) /
         static_cast<double>(peers_ + 1);
}

void TeamRateLimiter::SetTeams(const std::vector<TeamRule>& teams,
                               TimePoint now) {
  const bool fresh = now - started_ < allowance_.window;
  std::map<TeamId, Account> next;
  for (const TeamRule& team : teams) {
    if (team.rate <= 0) {
      continue;
    }
    Account account{.rate = team.rate,
                    .burst = std::max(team.burst, team.rate / 10),
                    .used = SlidingWindowSum(allowance_.window),
                    .filled = now};
    const auto known = accounts_.find(team.id);
    if (known != accounts_.end()) {
      Fill(known->second, now);
      account.used = known->second.used;
      account.level = std::min(known->second.level, BucketCapacity(account));
      account.unreported = known->second.unreported;
    } else if (fresh) {
      account.level = kStartupBurstShare * account.burst;
      account.used.AddEvenly(WindowGrant(account) - account.level, now);
    } else {
      account.level = BucketCapacity(account);
    }
    next.emplace(team.id, account);
  }
  accounts_ = std::move(next);
}

void TeamRateLimiter::Fill(Account& account, TimePoint now) const {
  const double seconds = ToSeconds(now - account.filled);
  account.filled = now;
  const double granted =
      WindowGrant(account) / ToSeconds(allowance_.window) * seconds;
  const double unseen = granted * UnresponsiveShare();
  account.level =
      std::min(BucketCapacity(account), account.level + granted - unseen);
  account.used.Add(unseen, now);
}

void TeamRateLimiter::Use(Account& account, double units, TimePoint now) const {
  account.used.Add(units, now);
  account.level = std::min(BucketCapacity(account), account.level - units);
}

double TeamRateLimiter::WindowHeadroom(Account& account, TimePoint now) const {
  return WindowGrant(account) + kSharedHeadroom * WindowAllowance(account) -
         account.used.Sum(now);
}

double TeamRateLimiter::AvailableUnits(Account& account, TimePoint now) const {
  Fill(account, now);
  const double responsive =
      static_cast<double>(peers_ - std::min(unresponsive_, peers_));
  return std::min(WindowHeadroom(account, now), account.level) -
         kPeerUseEstimate * responsive * account.unreported;
}

double TeamRateLimiter::Available(const TeamId& team, TimePoint now) {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? std::numeric_limits<double>::infinity()
                                  : AvailableUnits(found->second, now);
}

std::optional<Duration> TeamRateLimiter::Admit(const TeamId& team,
                                               double units,
                                               TimePoint now) {
  const auto found = accounts_.find(team);
  if (found == accounts_.end()) {
    totals_[team] += units;
    return std::nullopt;
  }
  Account& account = found->second;
  const double available = AvailableUnits(account, now);
  // A request larger than the bucket runs when that is nearly full.
  const double larger =
      std::min(units, kNearlyFullShare * BucketCapacity(account));
  const double needed =
      std::max(larger - kRequestHeadroom * WindowAllowance(account), 0.0);
  if (available < needed || available <= 0) {
    return WaitFor(account, needed - available, now);
  }
  Use(account, units, now);
  account.unreported += units;
  totals_[team] += units;
  return std::nullopt;
}

Duration TeamRateLimiter::WaitFor(Account& account,
                                  double missing,
                                  TimePoint now) const {
  const double window = ToSeconds(allowance_.window);
  const Duration refilled =
      FromSeconds(missing * window / WindowGrant(account));
  // Only when the window is what lacks room.
  const Duration left =
      WindowHeadroom(account, now) < account.level
          ? account.used.TimeUntilAtMost(account.used.Sum(now) - missing, now)
          : Duration::zero();
  return std::max({refilled, left, kMinWait});
}

void TeamRateLimiter::Refund(const TeamId& team,
                             double units,
                             TimePoint admitted,
                             TimePoint now) {
  // After a window it counts no more.
  if (now - admitted >= allowance_.window) {
    return;
  }
  totals_[team] -= units;
  const auto found = accounts_.find(team);
  if (found != accounts_.end()) {
    Account& account = found->second;
    Use(account, -units, now);
    account.unreported = std::max(0.0, account.unreported - units);
  }
}

void TeamRateLimiter::OnPeer(const std::string& incarnation,
                             const TeamTotals& totals,
                             Duration uptime,
                             TimePoint now) {
  if (peer_totals_.size() > kMaxPeerTotals) {
    peer_totals_.clear();
  }
  const auto known = peer_totals_.find(incarnation);
  const bool older = known == peer_totals_.end() && uptime > now - started_;
  // What an older process used before this one began is in no bucket here.
  const TeamTotals before = known != peer_totals_.end() ? known->second
                            : older                     ? totals
                                                        : TeamTotals();
  for (auto& [team, account] : accounts_) {
    const auto used = totals.find(team);
    const auto before_use = before.find(team);
    const double total = used == totals.end() ? 0 : used->second;
    const double last = before_use == before.end() ? 0 : before_use->second;
    Fill(account, now);
    Use(account, total - last, now);
    account.unreported -=
        peers_ == 0 ? account.unreported
                    : account.unreported / static_cast<double>(peers_);
  }
  peer_totals_[incarnation] = totals;
}

void TeamRateLimiter::SetPeers(size_t peers,
                               size_t unresponsive,
                               TimePoint now) {
  for (auto& [team, account] : accounts_) {
    Fill(account, now);
    if (unresponsive <= unresponsive_) {
      continue;
    }
    // A node that has just lost its peers may use its even share of what is
    // left, as each of them may.
    const double lost =
        static_cast<double>(unresponsive) / static_cast<double>(peers + 1);
    const double room = WindowGrant(account) - account.used.Sum(now);
    account.used.Add(std::max(room, 0.0) * lost, now);
    account.level -= std::max(account.level, 0.0) * lost;
  }
  peers_ = peers;
  unresponsive_ = unresponsive;
}

}  // namespace qh
