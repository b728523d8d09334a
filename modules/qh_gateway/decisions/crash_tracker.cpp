#include "qh_gateway/decisions/crash_tracker.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh {

uint64_t CrashTracker::ContentHash(const std::string& method,
                                   const std::string& target,
                                   const std::string& team,
                                   const std::string& body) {
  return HashPair(Hash64(method + ' ' + target + ' ' + team), Hash64(body));
}

void CrashTracker::OnCrash(const CrashRecord& record, TimePoint now) {
  if (records_.size() >= kMaxRecords) {
    std::erase_if(records_, [&](const auto& entry) {
      return entry.second + kRecordLifetime < now;
    });
  }
  if (records_.size() < kMaxRecords) {
    records_.try_emplace(record, now);
  }
}

size_t CrashTracker::CrashCount(uint64_t content, TimePoint now) const {
  size_t count = 0;
  for (auto at = records_.lower_bound({content, 0});
       at != records_.end() && at->first.content == content; ++at) {
    count += at->second + kRecordLifetime >= now ? 1 : 0;
  }
  return count;
}

bool CrashTracker::IsBlocked(uint64_t content, TimePoint now) const {
  return CrashCount(content, now) >= kBlockThreshold;
}

bool CrashTracker::IsSuspect(uint64_t content, TimePoint now) const {
  return CrashCount(content, now) > 0;
}

std::vector<CrashRecord> CrashTracker::Recent(TimePoint now) const {
  std::vector<std::pair<TimePoint, CrashRecord>> live;
  for (const auto& [record, at] : records_) {
    if (at + kRecordLifetime >= now) {
      live.emplace_back(at, record);
    }
  }
  std::sort(live.begin(), live.end(), std::greater<>());
  live.resize(std::min(live.size(), kMaxReportedRecords));
  std::vector<CrashRecord> recent;
  for (const auto& [at, record] : live) {
    recent.push_back(record);
  }
  return recent;
}

}  // namespace qh
