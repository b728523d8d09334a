// Finds requests that crash the servers that run them. A content is suspected
// each time a server's connection breaks while it runs it, and is refused once
// that has happened often; nodes share what they saw.

#ifndef QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_
#define QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "qh_core/time/time.h"

namespace qh {

// One break: which content, on which server. Equal on every node.
struct CrashRecord {
  uint64_t content = 0;
  uint64_t server = 0;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

class CrashTracker {
 public:
  // Breaks after which a content is refused.
  static constexpr size_t kBlockThreshold = 3;
  // A content that has not been seen to break a server for so long is free.
  static constexpr Duration kRecordLifetime = std::chrono::seconds(60);
  static constexpr size_t kMaxRecords = 4'096;
  // Marks told to peers in one message.
  static constexpr size_t kMaxReportedRecords = 16;

  // Returns the fingerprint of a request's content.
  static uint64_t ContentHash(const std::string& method,
                              const std::string& target,
                              const std::string& team,
                              const std::string& body);

  void OnCrash(const CrashRecord& record, TimePoint now);
  bool IsBlocked(uint64_t content, TimePoint now) const;
  // Whether the content has broken a server before.
  bool IsSuspect(uint64_t content, TimePoint now) const;
  // Returns the newest marks, for peers.
  std::vector<CrashRecord> Recent(TimePoint now) const;

 private:
  size_t CrashCount(uint64_t content, TimePoint now) const;

  // When each break was learned of.
  std::map<CrashRecord, TimePoint> records_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_
