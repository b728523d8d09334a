#include "qh_gateway/decisions/crash/stored_verdicts.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {
namespace {

constexpr std::string_view kNamePrefix = "crash-verdict-";

}  // namespace

std::string StoredVerdicts::NameOf(const std::vector<Feature>& features) {
  return std::string(kNamePrefix) + HashHex128(ToText(features));
}

bool StoredVerdicts::IsName(const std::string& name) {
  return name.starts_with(kNamePrefix);
}

void StoredVerdicts::OnListBegins() {
  listed_ = true;
  stored_.clear();
}

void StoredVerdicts::OnStored(const std::string& name,
                              const CrashVerdict& verdict) {
  stored_[name] = verdict;
}

std::optional<CrashVerdict> StoredVerdicts::OnRemoved(const std::string& name) {
  const auto removed = stored_.extract(name);
  return removed ? std::optional(removed.mapped()) : std::nullopt;
}

std::optional<VerdictWrite> StoredVerdicts::NextWrite(
    const std::vector<CrashVerdict>& held,
    bool is_leader,
    TimePoint now) {
  if (!listed_) {
    return std::nullopt;
  }
  if (auto update = NextUpdate(held, is_leader, now)) {
    return update;
  }
  return is_leader ? NextRemoval(held) : std::nullopt;
}

std::optional<VerdictWrite> StoredVerdicts::NextUpdate(
    const std::vector<CrashVerdict>& held,
    bool is_leader,
    TimePoint now) {
  std::map<std::string, TimePoint> missing;
  std::optional<VerdictWrite> next;
  for (const CrashVerdict& verdict : held) {
    const std::string name = NameOf(verdict.features);
    const auto stored = stored_.find(name);
    if (stored != stored_.end()) {
      if (is_leader && !next && IsOutdated(stored->second, verdict)) {
        next = {VerdictWrite::Kind::kReplace, name, verdict};
      }
      continue;
    }
    const auto before = missing_since_.find(name);
    const TimePoint since =
        before == missing_since_.end() ? now : before->second;
    missing[name] = since;
    if (!next && (is_leader || now - since >= kLeaderFirst)) {
      next = {VerdictWrite::Kind::kCreate, name, verdict};
    }
  }
  missing_since_ = std::move(missing);
  return next;
}

std::optional<VerdictWrite> StoredVerdicts::NextRemoval(
    const std::vector<CrashVerdict>& held) const {
  const auto ended =
      std::find_if(stored_.begin(), stored_.end(), [&](const auto& stored) {
        return std::none_of(held.begin(), held.end(),
                            [&](const CrashVerdict& verdict) {
                              return NameOf(verdict.features) == stored.first;
                            });
      });
  if (ended == stored_.end()) {
    return std::nullopt;
  }
  return VerdictWrite{VerdictWrite::Kind::kRemove, ended->first, {}};
}

bool StoredVerdicts::IsOutdated(const CrashVerdict& stored,
                                const CrashVerdict& held) {
  return stored.features != held.features || stored.trials < held.trials ||
         stored.crashes < held.crashes ||
         held.refused - stored.refused > kRefreshInterval;
}

}  // namespace qh
