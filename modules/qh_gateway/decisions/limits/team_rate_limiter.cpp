#include "qh_gateway/decisions/limits/team_rate_limiter.h"

#include <algorithm>
#include <limits>

namespace qh {
namespace {

// The totals of all peers are dropped when there are more. Entries accumulate
// only from processes that have ended.
constexpr size_t kMaxPeerTotals = 2'000;

// A request larger than the bucket is admitted when the bucket is filled to
// this share.
constexpr double kNearlyFullShare = 0.9;

// Shorter waits would be over before the refusal reaches the caller.
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
      account.largest_unreported = known->second.largest_unreported;
      account.reported = known->second.reported;
      account.used_since_added = known->second.used_since_added;
      account.assumes_full_use = known->second.assumes_full_use;
      account.contended_until = known->second.contended_until;
      account.order = known->second.order;
    } else {
      const double free = kStartupBurstShare * account.burst;
      account.level = free * (1 - UnresponsiveShare());
      account.used.AddEvenly(WindowGrant(account) - account.level, now);
      account.assumes_full_use = true;
      const auto recorded = recorded_.find(team.id);
      if (recorded != recorded_.end()) {
        ApplyHistory(account, recorded->second, now - recorded_at_, now);
      }
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
  const double assumed_use = granted * UnresponsiveShare();
  account.level =
      std::min(BucketCapacity(account), account.level + granted - assumed_use);
  account.used.Add(assumed_use, now);
}

void TeamRateLimiter::Use(Account& account, double units, TimePoint now) const {
  account.used.Add(units, now);
  account.used_since_added += units;
  account.level = std::min(BucketCapacity(account), account.level - units);
}

TeamUseHistory TeamRateLimiter::History(TimePoint now) {
  TeamUseHistory history;
  for (auto& [team, account] : accounts_) {
    Fill(account, now);
    history[team] = account.used.Parts(kHistoryParts, now);
  }
  return history;
}

void TeamRateLimiter::OnRecordedUse(const TeamUseHistory& history,
                                    Duration age,
                                    TimePoint now) {
  recorded_ = history;
  recorded_at_ = now - age;
  for (auto& [team, account] : accounts_) {
    const auto recorded = history.find(team);
    if (recorded != history.end() && account.assumes_full_use) {
      Fill(account, now);
      ApplyHistory(account, recorded->second, age, now);
    }
  }
}

void TeamRateLimiter::ApplyHistory(Account& account,
                                   const std::vector<double>& parts,
                                   Duration age,
                                   TimePoint now) const {
  if (age >= allowance_.window || parts.empty()) {
    return;
  }
  double recorded = 0;
  const Duration part = allowance_.window / static_cast<int64_t>(parts.size());
  for (size_t i = 0; i < parts.size(); ++i) {
    const auto parts_after = static_cast<int64_t>(parts.size() - i) - 1;
    const bool still_counts = age + parts_after * part < allowance_.window;
    recorded += still_counts ? parts[i] : 0;
  }
  // The bucket may have been full when the record was made.
  const double granted =
      WindowGrant(account) * ToSeconds(age) / ToSeconds(allowance_.window);
  const double total =
      recorded + account.burst + granted + account.used_since_added;
  if (total >= account.used.Sum(now)) {
    // The record leaves no more than the assumption that all was used.
    return;
  }
  // Evenly, as that assumption: use that is put at one time would keep the
  // limit shut until the whole window has passed.
  account.used = SlidingWindowSum(allowance_.window);
  account.used.AddEvenly(total, now);
  account.assumes_full_use = false;
  account.level =
      std::clamp(WindowHeadroom(account, now), 0.0, BucketCapacity(account)) *
      (1 - UnresponsiveShare());
}

double TeamRateLimiter::WindowHeadroom(Account& account, TimePoint now) const {
  return WindowGrant(account) + kSharedHeadroom * WindowAllowance(account) -
         account.used.Sum(now);
}

double TeamRateLimiter::EstimatedPeerUse(Account& account,
                                         double free,
                                         TimePoint now) const {
  const size_t responsive = peers_ - std::min(unresponsive_, peers_);
  const double of_one_request =
      static_cast<double>(std::min(responsive, kMaxPeersOfOneRequest)) *
      account.largest_unreported;
  const double of_others =
      static_cast<double>(responsive) *
      std::max(0.0, account.unreported - account.largest_unreported);
  const double by_rate = account.reported.Sum(now) * ToSeconds(report_age_) /
                             ToSeconds(kPeerRateWindow) -
                         free;
  return std::max(kPeerUseEstimate * (of_one_request + of_others), by_rate);
}

double TeamRateLimiter::AvailableUnits(Account& account, TimePoint now) const {
  Fill(account, now);
  // Until the next reports, the bucket is refilled, but the window gets back
  // only what leaves it, which may be little after a quiet time.
  const double refill = WindowGrant(account) / ToSeconds(allowance_.window) *
                        ToSeconds(report_age_);
  const double leaving = account.used.LeavingWithin(report_age_, now);
  return std::min(
      WindowHeadroom(account, now) - EstimatedPeerUse(account, leaving, now),
      account.level - EstimatedPeerUse(account, refill, now));
}

double TeamRateLimiter::EvenShare(const Account& account) const {
  return WindowGrant(account) / ToSeconds(allowance_.window) /
         static_cast<double>(peers_ + 1);
}

double TeamRateLimiter::ShareFactor(const Account& account,
                                    double available) const {
  const double reserve = kContendedReserve * BucketCapacity(account);
  return std::clamp(available / reserve, kMinShareFactor, kMaxShareFactor);
}

double TeamRateLimiter::Available(const TeamId& team, TimePoint now) {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? std::numeric_limits<double>::infinity()
                                  : AvailableUnits(found->second, now);
}

std::optional<Duration> TeamRateLimiter::Admit(const TeamId& team,
                                               const LimitedRequest& request,
                                               TimePoint now) {
  const double units = request.units;
  const auto found = accounts_.find(team);
  if (found == accounts_.end()) {
    totals_[team] += units;
    return std::nullopt;
  }
  Account& account = found->second;
  const double available = AvailableUnits(account, now);
  TeamLimitOrder& order = account.order;
  order.Fill(ShareFactor(account, available) * EvenShare(account),
             EvenShare(account), now);
  order.OnRequest(request.priority, units, now);
  if (now < account.contended_until) {
    if (const auto wait = order.WaitFor(request.priority, units)) {
      return Refuse(account, request, *wait, now);
    }
  }
  const double required_level =
      std::min(units, kNearlyFullShare * BucketCapacity(account));
  const double needed = std::max(
      required_level - kRequestHeadroom * WindowAllowance(account), 0.0);
  if (available < needed || available <= 0) {
    const Duration wait = WaitFor(account, needed - available, now);
    return Refuse(account, request,
                  wait + order.TimeForReturning(request.priority, units), now);
  }
  order.Take(request.priority, units);
  Use(account, units, now);
  account.unreported += units;
  account.largest_unreported = std::max(account.largest_unreported, units);
  totals_[team] += units;
  return std::nullopt;
}

Duration TeamRateLimiter::Refuse(Account& account,
                                 const LimitedRequest& request,
                                 Duration wait,
                                 TimePoint now) {
  if (now >= account.contended_until) {
    account.order.Reset(now);
  }
  account.contended_until = now + kContendedTime;
  const Duration told = std::max<Duration>(wait, kMinWait);
  // Callers come back only after a small part of their time left.
  if (told <= request.time_left / kReturnShare) {
    account.order.OnToldToReturn(request.priority, request.units, told, now);
  }
  return told;
}

Duration TeamRateLimiter::WaitFor(Account& account,
                                  double missing,
                                  TimePoint now) const {
  const double window = ToSeconds(allowance_.window);
  const Duration refill_wait =
      FromSeconds(missing * window / WindowGrant(account));
  // Applies only when the window, not the bucket, is the tighter bound.
  const Duration window_wait =
      WindowHeadroom(account, now) < account.level
          ? account.used.TimeUntilAtMost(account.used.Sum(now) - missing, now)
          : Duration::zero();
  return std::max({refill_wait, window_wait, kMinWait});
}

void TeamRateLimiter::Refund(const TeamId& team,
                             double units,
                             TimePoint admitted,
                             TimePoint now,
                             int priority) {
  // After a window the request doesn't count any more.
  if (now - admitted >= allowance_.window) {
    return;
  }
  totals_[team] -= units;
  const auto found = accounts_.find(team);
  if (found != accounts_.end()) {
    Account& account = found->second;
    Use(account, -units, now);
    account.order.GiveBack(priority, units);
    account.unreported = std::max(0.0, account.unreported - units);
    account.largest_unreported =
        std::min(account.largest_unreported, account.unreported);
  }
}

void TeamRateLimiter::OnPeer(const PeerUse& use, TimePoint now) {
  const auto& [incarnation, totals, uptime, nodes, counts] = use;
  if (peer_totals_.size() > kMaxPeerTotals) {
    peer_totals_.clear();
  }
  const auto known = peer_totals_.find(incarnation);
  const bool started_before =
      known == peer_totals_.end() && uptime > now - started_;
  // A process that started before this one reports units from that time too.
  // They are in no account here, so its first totals only set the baseline.
  const TeamTotals previous = known != peer_totals_.end() ? known->second
                              : started_before            ? totals
                                                          : TeamTotals();
  const double reported_share =
      peers_ == 0 ? 1.0
                  : std::min(1.0, static_cast<double>(nodes) /
                                      static_cast<double>(peers_));
  peer_totals_[incarnation] = totals;
  if (!counts) {
    return;
  }
  for (auto& [team, account] : accounts_) {
    const auto used = totals.find(team);
    const auto previous_use = previous.find(team);
    const double total = used == totals.end() ? 0 : used->second;
    const double last =
        previous_use == previous.end() ? 0 : previous_use->second;
    Fill(account, now);
    Use(account, total - last, now);
    account.reported.Add(total - last, now);
    account.unreported -= account.unreported * reported_share;
    account.largest_unreported -= account.largest_unreported * reported_share;
  }
}

void TeamRateLimiter::SetPeers(size_t peers,
                               size_t unresponsive,
                               TimePoint now,
                               Duration report_age) {
  report_age_ = report_age;
  for (auto& [team, account] : accounts_) {
    Fill(account, now);
    if (unresponsive <= unresponsive_) {
      continue;
    }
    // Peers became unresponsive. They continue to admit requests, so this node
    // leaves them an even share of what remains.
    const double lost_share =
        static_cast<double>(unresponsive) / static_cast<double>(peers + 1);
    const double remaining = WindowGrant(account) - account.used.Sum(now);
    account.used.Add(std::max(remaining, 0.0) * lost_share, now);
    account.level -= std::max(account.level, 0.0) * lost_share;
  }
  peers_ = peers;
  unresponsive_ = unresponsive;
}

}  // namespace qh
