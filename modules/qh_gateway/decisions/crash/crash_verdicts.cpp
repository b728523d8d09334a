#include "qh_gateway/decisions/crash/crash_verdicts.h"

#include <algorithm>

namespace qh {
namespace {

// The delay before a trial is not doubled more often than this.
constexpr uint32_t kMaxTrialDoublings = 6;

bool Includes(const std::vector<Feature>& all,
              const std::vector<Feature>& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

void Merge(CrashVerdict& known, const CrashVerdict& other) {
  known.crashed = std::max(known.crashed, other.crashed);
  known.refused = std::max(known.refused, other.refused);
  known.trials = std::max(known.trials, other.trials);
  known.crashes = std::max(known.crashes, other.crashes);
}

}  // namespace

bool CrashVerdicts::Add(const CrashVerdict& verdict) {
  const auto ended = decided_after_.find(verdict.features);
  if (ended != decided_after_.end() && verdict.decided <= ended->second) {
    return false;
  }
  for (CrashVerdict& known : verdicts_) {
    if (Includes(verdict.features, known.features)) {
      if (known.features == verdict.features) {
        Merge(known, verdict);
      }
      return false;
    }
  }
  std::erase_if(verdicts_, [&](const CrashVerdict& known) {
    return Includes(known.features, verdict.features);
  });
  if (verdicts_.size() >= kMaxVerdicts) {
    verdicts_.erase(std::min_element(
        verdicts_.begin(), verdicts_.end(),
        [](const auto& a, const auto& b) { return a.refused < b.refused; }));
  }
  verdicts_.push_back(verdict);
  return true;
}

std::optional<CrashVerdict> CrashVerdicts::Remove(
    const std::vector<Feature>& features) {
  const auto found = std::find_if(verdicts_.begin(), verdicts_.end(),
                                  [&](const CrashVerdict& verdict) {
                                    return verdict.features == features;
                                  });
  if (found == verdicts_.end()) {
    return std::nullopt;
  }
  CrashVerdict removed = std::move(*found);
  verdicts_.erase(found);
  return removed;
}

void CrashVerdicts::RefuseOlder(const std::vector<Feature>& features,
                                TimePoint now) {
  if (decided_after_.size() < kMaxVerdicts) {
    decided_after_[features] = now;
  }
}

CrashVerdict* CrashVerdicts::FindMutable(const std::vector<Feature>& sorted) {
  const auto found = std::find_if(verdicts_.begin(), verdicts_.end(),
                                  [&](const CrashVerdict& verdict) {
                                    return Includes(sorted, verdict.features);
                                  });
  return found == verdicts_.end() ? nullptr : &*found;
}

const CrashVerdict* CrashVerdicts::Find(
    const std::vector<Feature>& sorted) const {
  return const_cast<CrashVerdicts*>(this)->FindMutable(sorted);
}

bool CrashVerdicts::Concerns(Feature feature) const {
  return std::any_of(
      verdicts_.begin(), verdicts_.end(), [&](const CrashVerdict& verdict) {
        return std::binary_search(verdict.features.begin(),
                                  verdict.features.end(), feature);
      });
}

std::vector<CrashVerdict> CrashVerdicts::OnSound(Feature feature,
                                                 TimePoint began) {
  std::vector<CrashVerdict> ended;
  for (CrashVerdict& verdict : verdicts_) {
    if (!verdict.IsClearedBy(began)) {
      continue;
    }
    const std::vector<Feature> before = verdict.features;
    std::erase(verdict.features, feature);
    if (verdict.features.empty()) {
      ended.push_back(verdict);
      ended.back().features = before;
    }
  }
  std::erase_if(verdicts_, [](const CrashVerdict& verdict) {
    return verdict.features.empty();
  });
  return ended;
}

void CrashVerdicts::OnCrash(const std::vector<Feature>& sorted, TimePoint at) {
  if (CrashVerdict* verdict = FindMutable(sorted)) {
    verdict->crashed = std::max(verdict->crashed, at);
  }
}

void CrashVerdicts::OnRefused(const std::vector<Feature>& sorted,
                              TimePoint now) {
  if (CrashVerdict* verdict = FindMutable(sorted)) {
    verdict->refused = std::max(verdict->refused, now);
  }
}

bool CrashVerdicts::TakeTrial(const std::vector<Feature>& sorted,
                              TimePoint now) {
  CrashVerdict* verdict = FindMutable(sorted);
  if (verdict == nullptr) {
    return false;
  }
  // Each trial waits twice as long as the one before: 1, 3, 7 ... delays.
  const uint32_t doublings = std::min(verdict->trials, kMaxTrialDoublings) + 1;
  const Duration wait = kFirstTrialDelay * ((int64_t{1} << doublings) - 1);
  if (now - verdict->decided < wait) {
    return false;
  }
  ++verdict->trials;
  return true;
}

void CrashVerdicts::Expire(TimePoint now) {
  std::erase_if(verdicts_, [&](const CrashVerdict& verdict) {
    return now - verdict.refused > kLifetime;
  });
  std::erase_if(decided_after_, [&](const auto& entry) {
    return now - entry.second > kLifetime;
  });
}

}  // namespace qh
