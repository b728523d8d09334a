// Detects requests that crash the servers that run them. Each time that a
// server dies while it runs a request, the request's content becomes suspect.
// Content that has done so to several server processes is blocked: further
// requests with it are refused. Nodes share their records, so that crashes seen
// by different nodes add up.

#ifndef QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_
#define QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "qh_core/time/time.h"

namespace qh {

// One crash: which content, on which server process. All nodes compute the same
// values for the same crash.
struct CrashRecord {
  // Hash of the request's content; see CrashTracker::ContentHash.
  uint64_t content = 0;
  // Hash of the server's id and the start time of its process.
  uint64_t server = 0;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

class CrashTracker {
 public:
  // Crashes after which a content is blocked.
  static constexpr size_t kBlockThreshold = 3;
  // Records expire after this time, and with them suspicion and blocking.
  static constexpr Duration kRecordLifetime = std::chrono::seconds(60);
  // Most records held. New crashes are not recorded when this is reached and no
  // record has expired.
  static constexpr size_t kMaxRecords = 4'096;
  // Records sent to peers in one heartbeat.
  static constexpr size_t kMaxReportedRecords = 16;

  // Returns the hash that identifies a request's content.
  static uint64_t ContentHash(const std::string& method,
                              const std::string& target,
                              const std::string& team,
                              const std::string& body);

  // Records a crash that this node or a peer has seen. A known record keeps its
  // time.
  void OnCrash(const CrashRecord& record, TimePoint now);
  // Whether requests with the content are to be refused.
  bool IsBlocked(uint64_t content, TimePoint now) const;
  // Whether the content has an unexpired crash record.
  bool IsSuspect(uint64_t content, TimePoint now) const;
  // Returns the newest records, at most kMaxReportedRecords, for the peers.
  std::vector<CrashRecord> Recent(TimePoint now) const;

 private:
  // Number of unexpired records of the content.
  size_t CrashCount(uint64_t content, TimePoint now) const;

  // When this node learned of each crash.
  std::map<CrashRecord, TimePoint> records_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_TRACKER_H_
