#include "qh_gateway/decisions/crash/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace qh {
CrashTracker::CrashTracker(VerdictHook on_verdict)
    : on_verdict_(std::move(on_verdict)) {}

void CrashTracker::OnCrash(const CrashRecord& record, TimePoint now) {
  Record(record, true, now);
}

void CrashTracker::Record(const CrashRecord& record,
                          bool report,
                          TimePoint now) {
  if (now - record.at > kEvidenceLifetime) {
    return;
  }
  Crash& crash =
      crashes_.try_emplace(record.server, Crash{.at = record.at}).first->second;
  if (!crash.runs.try_emplace(record.content, record.features).second) {
    return;
  }
  ++record_count_;
  for (const Feature feature : record.features) {
    EvidenceOf(feature).crashes.insert(record.server);
  }
  if (report && records_to_report_.size() < kMaxUnreported) {
    records_to_report_.push_back({record});
    has_news_ = true;
  }
  verdicts_.OnCrash(record.features, crash.at);
  if (HasCause(record.features, now)) {
    Decide(crash, now);
  }
  if (record_count_ > kMaxRecords) {
    ForgetOldest();
  }
}

CrashTracker::Evidence& CrashTracker::EvidenceOf(Feature feature) {
  const auto [entry, added] = evidence_.try_emplace(feature);
  if (!added) {
    return entry->second;
  }
  entry->second.sound = sound_answers_.Last(feature);
  if (entry->second.sound) {
    // The peers may not have seen such an answer.
    ReportSound({feature, *entry->second.sound});
    has_news_ = true;
  }
  return entry->second;
}

void CrashTracker::OnSound(const RequestFeatures& features, TimePoint began) {
  for (const Feature feature : features.sorted()) {
    NoteSound(feature, began, true);
  }
}

void CrashTracker::NoteSound(Feature feature, TimePoint began, bool report) {
  // A content seldom comes again; it is only looked at once it is suspect.
  if (IsPromptPart(feature)) {
    sound_answers_.Note(feature, began);
  }
  const auto found = evidence_.find(feature);
  if (found == evidence_.end() ||
      (found->second.sound && *found->second.sound >= began)) {
    return;
  }
  found->second.sound = began;
  for (const CrashVerdict& ended : verdicts_.OnSound(feature, began)) {
    if (on_verdict_) {
      on_verdict_(VerdictChange::kEnded, ended);
    }
  }
  if (report) {
    ReportSound({feature, began});
  }
}

void CrashTracker::OnRefused(const RequestFeatures& features, TimePoint now) {
  verdicts_.OnRefused(features.sorted(), now);
}

Suspicion CrashTracker::Judge(const RequestFeatures& features,
                              TimePoint now) const {
  if (verdicts_.Find(features.sorted()) != nullptr) {
    return Suspicion::kBlocked;
  }
  for (const Feature feature : features.sorted()) {
    if (CrashCount(feature, now) + 1 >= Threshold(feature)) {
      return Suspicion::kSuspect;
    }
  }
  return Suspicion::kNone;
}

bool CrashTracker::IsContentBlocked(const RequestFeatures& features) const {
  const CrashVerdict* verdict = verdicts_.Find(features.sorted());
  return verdict != nullptr &&
         std::binary_search(verdict->features.begin(), verdict->features.end(),
                            features.content());
}

bool CrashTracker::TakeTrial(const RequestFeatures& features, TimePoint now) {
  return verdicts_.TakeTrial(features.sorted(), now);
}

void CrashTracker::AddVerdict(const CrashVerdict& verdict) {
  for (const Feature feature : verdict.features) {
    EvidenceOf(feature);
  }
  if (IsSuperseded(verdict) || !verdicts_.Add(verdict)) {
    return;
  }
  has_news_ = true;
  if (on_verdict_) {
    on_verdict_(VerdictChange::kAdded, verdict);
  }
  EndSuperseded();
}

bool CrashTracker::HasCause(const std::vector<Feature>& features,
                            TimePoint now) const {
  return std::any_of(features.begin(), features.end(), [&](Feature feature) {
    return CrashCount(feature, now) >= Threshold(feature);
  });
}

void CrashTracker::Decide(const Crash& crash, TimePoint now) {
  std::optional<Feature> cause;
  // No answer that ever went well, and more crashes, make a likelier cause.
  std::pair<bool, size_t> strongest;
  for (const auto& [content, features] : crash.runs) {
    for (const Feature feature : features) {
      const std::pair<bool, size_t> strength{!evidence_.at(feature).sound,
                                             CrashCount(feature, now)};
      if (strength.second >= Threshold(feature) &&
          (!cause || strength > strongest)) {
        cause = feature;
        strongest = strength;
      }
    }
  }
  if (cause) {
    AddVerdict({.features = CommonFeatures(*cause, now),
                .crashed = CrashesOf(*cause, now).back()->at,
                .decided = now,
                .refused = now,
                .crashes = CrashCount(*cause, now)});
  }
}

bool CrashTracker::IsOnceSound(const std::vector<Feature>& features) const {
  return std::all_of(features.begin(), features.end(), [&](Feature feature) {
    const auto found = evidence_.find(feature);
    return found != evidence_.end() && found->second.sound;
  });
}

bool CrashTracker::IsExplainedWithout(Feature feature, uint64_t server) const {
  const size_t own = evidence_.at(feature).crashes.size();
  const bool once_sound = IsOnceSound({feature});
  const auto& verdicts = verdicts_.all();
  return std::any_of(
      verdicts.begin(), verdicts.end(), [&](const CrashVerdict& verdict) {
        if (std::binary_search(verdict.features.begin(), verdict.features.end(),
                               feature) ||
            (!once_sound && IsOnceSound(verdict.features))) {
          return false;
        }
        const std::set<uint64_t> servers = CrashedWith(verdict);
        return servers.size() >= own && servers.contains(server);
      });
}

std::set<uint64_t> CrashTracker::CrashedWith(
    const CrashVerdict& verdict) const {
  std::optional<std::set<uint64_t>> servers;
  for (const Feature feature : verdict.features) {
    const auto found = evidence_.find(feature);
    if (found == evidence_.end()) {
      return {};
    }
    const std::set<uint64_t>& crashed = found->second.crashes;
    if (!servers) {
      servers = crashed;
    } else {
      std::erase_if(*servers, [&](uint64_t s) { return !crashed.contains(s); });
    }
  }
  return servers.value_or(std::set<uint64_t>());
}

bool CrashTracker::IsSuperseded(const CrashVerdict& verdict) const {
  const std::set<uint64_t> own = CrashedWith(verdict);
  const bool once_sound = IsOnceSound(verdict.features);
  const auto& verdicts = verdicts_.all();
  return !own.empty() &&
         std::any_of(verdicts.begin(), verdicts.end(),
                     [&](const CrashVerdict& other) {
                       const std::set<uint64_t> servers = CrashedWith(other);
                       return (once_sound || !IsOnceSound(other.features)) &&
                              servers.size() > own.size() &&
                              std::includes(servers.begin(), servers.end(),
                                            own.begin(), own.end());
                     });
}

void CrashTracker::EndSuperseded() {
  const std::vector<CrashVerdict> before = verdicts_.all();
  for (const CrashVerdict& verdict : before) {
    if (IsSuperseded(verdict)) {
      EndVerdict(verdict.features);
    }
  }
}

std::vector<const CrashTracker::Crash*> CrashTracker::CrashesOf(
    Feature feature,
    TimePoint now) const {
  std::vector<const Crash*> against;
  const auto found = evidence_.find(feature);
  if (found == evidence_.end()) {
    return against;
  }
  for (const uint64_t server : found->second.crashes) {
    const Crash& crash = crashes_.at(server);
    const auto& sound = found->second.sound;
    const bool cleared =
        sound && (*sound > crash.at || now - crash.at < kSettleTime);
    if (!cleared && now - crash.at <= kEvidenceLifetime &&
        !IsExplainedWithout(feature, server)) {
      against.push_back(&crash);
    }
  }
  std::sort(against.begin(), against.end(),
            [](const Crash* a, const Crash* b) { return a->at < b->at; });
  return against;
}

size_t CrashTracker::CrashCount(Feature feature, TimePoint now) const {
  const std::vector<const Crash*> crashes = CrashesOf(feature, now);
  if (!IsPromptPart(feature)) {
    return crashes.size();
  }
  size_t count = 0;
  std::optional<TimePoint> last;
  for (const Crash* crash : crashes) {
    if (!last || crash->at - *last > kSimultaneous) {
      last = crash->at;
      ++count;
    }
  }
  return count;
}

size_t CrashTracker::Threshold(Feature feature) const {
  const auto found = evidence_.find(feature);
  const bool once_sound = found != evidence_.end() && found->second.sound;
  return once_sound ? CrashVerdict::kOnceSoundThreshold : kBlockThreshold;
}

std::vector<Feature> CrashTracker::CommonFeatures(Feature feature,
                                                  TimePoint now) const {
  const std::vector<const Crash*> crashes = CrashesOf(feature, now);
  std::optional<std::vector<Feature>> common;
  for (const Crash* crash : crashes) {
    for (const auto& [content, features] : crash->runs) {
      if (!std::binary_search(features.begin(), features.end(), feature)) {
        continue;
      }
      const std::vector<Feature>& before = common ? *common : features;
      std::vector<Feature> shared;
      std::set_intersection(before.begin(), before.end(), features.begin(),
                            features.end(), std::back_inserter(shared));
      common = std::move(shared);
    }
  }
  const bool never_sound = !evidence_.at(feature).sound;
  std::erase_if(*common, [&](Feature other) {
    const auto& sound = evidence_.at(other).sound;
    const bool cleared = sound && (never_sound || *sound > crashes.front()->at);
    return other != feature && cleared;
  });
  return *common;
}

void CrashTracker::ReportSound(const SoundAnswer& answer) {
  std::erase_if(sound_to_report_, [&](const auto& outgoing) {
    return outgoing.item.feature == answer.feature;
  });
  sound_to_report_.push_back({answer});
}

template <typename T>
std::vector<T> CrashTracker::TakeNext(std::vector<Outgoing<T>>& waiting) {
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(waiting.size(), kMaxReported));
  std::vector<T> next;
  for (auto outgoing = waiting.begin(); outgoing != waiting.begin() + count;
       ++outgoing) {
    next.push_back(outgoing->item);
    --outgoing->reports_left;
  }
  // Those reported now go to the end, so that all have their turn.
  std::rotate(waiting.begin(), waiting.begin() + count, waiting.end());
  std::erase_if(waiting, [](const Outgoing<T>& outgoing) {
    return outgoing.reports_left == 0;
  });
  return next;
}

CrashReport CrashTracker::TakeReport(TimePoint now) {
  has_news_ = false;
  return {.made = now,
          .records = TakeNext(records_to_report_),
          .sound = TakeNext(sound_to_report_),
          .verdicts = verdicts_.all()};
}

void CrashTracker::OnPeer(const CrashReport& report,
                          bool forward,
                          TimePoint now) {
  for (const SoundAnswer& answer : report.sound) {
    NoteSound(answer.feature, answer.began, forward);
  }
  for (const CrashRecord& record : report.records) {
    Record(record, forward, now);
  }
  for (CrashVerdict verdict : report.verdicts) {
    DropCleared(verdict);
    if (!verdict.features.empty()) {
      AddVerdict(verdict);
    }
  }
}

void CrashTracker::OnVerdictEnded(const std::vector<Feature>& features,
                                  TimePoint now) {
  EndVerdict(features);
  verdicts_.RefuseOlder(features, now);
}

void CrashTracker::EndVerdict(const std::vector<Feature>& features) {
  const auto ended = verdicts_.Remove(features);
  if (ended && on_verdict_) {
    on_verdict_(VerdictChange::kEnded, *ended);
  }
}

void CrashTracker::DropCleared(CrashVerdict& verdict) {
  std::erase_if(verdict.features, [&](Feature feature) {
    const auto found = evidence_.find(feature);
    const auto sound = found == evidence_.end() ? sound_answers_.Last(feature)
                                                : found->second.sound;
    const bool cleared = sound && verdict.IsClearedBy(*sound);
    if (cleared) {
      ReportSound({feature, *sound});
    }
    return cleared;
  });
}

void CrashTracker::OnTick(TimePoint now) {
  verdicts_.Expire(now);
  std::vector<uint64_t> expired;
  for (auto& [server, crash] : crashes_) {
    if (!crash.settled && now - crash.at >= kSettleTime) {
      crash.settled = true;
      Decide(crash, now);
    }
    if (now - crash.at > kEvidenceLifetime) {
      expired.push_back(server);
    }
  }
  for (const uint64_t server : expired) {
    Forget(server);
  }
  std::erase_if(evidence_, [&](const auto& entry) {
    return entry.second.crashes.empty() && !verdicts_.Concerns(entry.first);
  });
}

void CrashTracker::Forget(uint64_t server) {
  const auto found = crashes_.find(server);
  record_count_ -= found->second.runs.size();
  for (const auto& [content, features] : found->second.runs) {
    for (const Feature feature : features) {
      evidence_.at(feature).crashes.erase(server);
    }
  }
  crashes_.erase(found);
}

void CrashTracker::ForgetOldest() {
  const auto oldest = std::min_element(
      crashes_.begin(), crashes_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  Forget(oldest->first);
}

}  // namespace qh
