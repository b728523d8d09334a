#include "qh_gateway/decisions/team_budget.h"

#include <algorithm>
#include <limits>

namespace qh {
namespace {

// Peers forgotten when there are more; only dead processes' entries pile up.
constexpr size_t kMaxPeersSeen = 2'000;

// Part of a bucket.
constexpr double kNearlyFull = 0.9;

// What is refused for less than this is free again by the answer's arrival.
constexpr Duration kShortestWait = std::chrono::milliseconds(10);

}  // namespace

TeamBudget::TeamBudget(const Allowance& allowance, TimePoint now)
    : allowance_(allowance), started_(now) {}

double TeamBudget::GrantOf(const Account& account) const {
  return account.rate * ToSeconds(allowance_.window) + account.burst;
}

double TeamBudget::AllowanceOf(const Account& account) const {
  return allowance_.share * GrantOf(account) + allowance_.units;
}

double TeamBudget::DepthOf(const Account& account) const {
  return account.burst + kOpenPart * AllowanceOf(account);
}

double TeamBudget::SilentShare() const {
  return static_cast<double>(std::min(silent_, peers_)) /
         static_cast<double>(peers_ + 1);
}

void TeamBudget::SetTeams(const std::vector<TeamRule>& teams, TimePoint now) {
  const bool fresh = now - started_ < allowance_.window;
  std::map<TeamId, Account> next;
  for (const TeamRule& team : teams) {
    if (team.rate <= 0) {
      continue;
    }
    Account account{.rate = team.rate,
                    .burst = std::max(team.burst, team.rate / 10),
                    .used = WindowSum(allowance_.window),
                    .filled = now};
    const auto known = accounts_.find(team.id);
    if (known != accounts_.end()) {
      Fill(known->second, now);
      account.used = known->second.used;
      account.level = std::min(known->second.level, DepthOf(account));
      account.untold = known->second.untold;
    } else if (fresh) {
      account.level = kStartShare * account.burst;
      account.used.Spread(GrantOf(account) - account.level, now);
    } else {
      account.level = DepthOf(account);
    }
    next.emplace(team.id, account);
  }
  accounts_ = std::move(next);
}

void TeamBudget::Fill(Account& account, TimePoint now) const {
  const double seconds = ToSeconds(now - account.filled);
  account.filled = now;
  const double granted =
      GrantOf(account) / ToSeconds(allowance_.window) * seconds;
  const double unseen = granted * SilentShare();
  account.level = std::min(DepthOf(account), account.level + granted - unseen);
  account.used.Add(unseen, now);
}

void TeamBudget::Use(Account& account, double units, TimePoint now) const {
  account.used.Add(units, now);
  account.level = std::min(DepthOf(account), account.level - units);
}

double TeamBudget::RoomInWindow(Account& account, TimePoint now) const {
  return GrantOf(account) + kOpenPart * AllowanceOf(account) -
         account.used.Sum(now);
}

double TeamBudget::FreeIn(Account& account, TimePoint now) const {
  Fill(account, now);
  const double speaking =
      static_cast<double>(peers_ - std::min(silent_, peers_));
  return std::min(RoomInWindow(account, now), account.level) -
         kPeerMirror * speaking * account.untold;
}

double TeamBudget::Free(const TeamId& team, TimePoint now) {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? std::numeric_limits<double>::infinity()
                                  : FreeIn(found->second, now);
}

std::optional<Duration> TeamBudget::Admit(const TeamId& team,
                                          double units,
                                          TimePoint now) {
  const auto found = accounts_.find(team);
  if (found == accounts_.end()) {
    totals_[team] += units;
    return std::nullopt;
  }
  Account& account = found->second;
  const double free = FreeIn(account, now);
  // A request larger than the bucket runs when that is nearly full.
  const double larger = std::min(units, kNearlyFull * DepthOf(account));
  const double needed =
      std::max(larger - kSlackPart * AllowanceOf(account), 0.0);
  if (free < needed || free <= 0) {
    return WaitFor(account, needed - free, now);
  }
  Use(account, units, now);
  account.untold += units;
  totals_[team] += units;
  return std::nullopt;
}

Duration TeamBudget::WaitFor(Account& account,
                             double missing,
                             TimePoint now) const {
  const double window = ToSeconds(allowance_.window);
  const Duration refilled = FromSeconds(missing * window / GrantOf(account));
  // Only when the window is what lacks room.
  const Duration left =
      RoomInWindow(account, now) < account.level
          ? account.used.UntilBelow(account.used.Sum(now) - missing, now)
          : Duration::zero();
  return std::max({refilled, left, kShortestWait});
}

void TeamBudget::Refund(const TeamId& team,
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
    account.untold = std::max(0.0, account.untold - units);
  }
}

void TeamBudget::OnPeer(const std::string& incarnation,
                        const TeamTotals& totals,
                        Duration uptime,
                        TimePoint now) {
  if (peers_seen_.size() > kMaxPeersSeen) {
    peers_seen_.clear();
  }
  const auto known = peers_seen_.find(incarnation);
  const bool older = known == peers_seen_.end() && uptime > now - started_;
  // What an older process used before this one began is in no bucket here.
  const TeamTotals before = known != peers_seen_.end() ? known->second
                            : older                    ? totals
                                                       : TeamTotals();
  for (auto& [team, account] : accounts_) {
    const auto used = totals.find(team);
    const auto told = before.find(team);
    const double total = used == totals.end() ? 0 : used->second;
    const double last = told == before.end() ? 0 : told->second;
    Fill(account, now);
    Use(account, total - last, now);
    account.untold -= peers_ == 0
                          ? account.untold
                          : account.untold / static_cast<double>(peers_);
  }
  peers_seen_[incarnation] = totals;
}

void TeamBudget::SetPeers(size_t peers, size_t silent, TimePoint now) {
  for (auto& [team, account] : accounts_) {
    Fill(account, now);
    if (silent <= silent_) {
      continue;
    }
    // A node that has just lost its peers may use its even share of what is
    // left, as each of them may.
    const double lost =
        static_cast<double>(silent) / static_cast<double>(peers + 1);
    const double room = GrantOf(account) - account.used.Sum(now);
    account.used.Add(std::max(room, 0.0) * lost, now);
    account.level -= std::max(account.level, 0.0) * lost;
  }
  peers_ = peers;
  silent_ = silent;
}

}  // namespace qh
