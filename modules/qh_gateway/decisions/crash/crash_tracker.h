// Detects what crashes the servers that run it: a whole content, or a prompt
// part that many different requests share. The evidence are the requests that
// ran on a server as it crashed, and the answers that went well.
//
// A crash speaks against each feature of the requests that ran there, unless a
// verdict explains it already. An answer that began later than a crash and went
// well clears its features of that crash: what crashes servers crashes each one
// that begins to answer it. A feature with enough crashes left becomes a
// verdict, together with the features that all its requests had in common and
// that nothing has cleared. Requests that have all features of a verdict are
// blocked.
//
// Nodes share their evidence for a few heartbeats and their verdicts always, so
// that crashes seen by different nodes add up and that a node which starts
// later knows what is blocked.

#ifndef QH_GATEWAY_DECISIONS_CRASH_CRASH_TRACKER_H_
#define QH_GATEWAY_DECISIONS_CRASH_CRASH_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/decisions/crash/crash_verdicts.h"
#include "qh_gateway/decisions/crash/request_features.h"
#include "qh_gateway/decisions/crash/sound_answers.h"

namespace qh {

// One request that ran on a server process as it crashed.
struct CrashRecord {
  // Hash of the server's id and the start time of its process.
  uint64_t server = 0;
  Feature content = 0;
  // The content and the prompt parts, in increasing order.
  std::vector<Feature> features;
  TimePoint at;
};

// An answer on a suspect feature that went well.
struct SoundAnswer {
  Feature feature = 0;
  // When the server began it.
  TimePoint began;
};

// What a node tells its peers.
struct CrashReport {
  // When the report was made, by the clock of its other times. Only the
  // differences are sent to peers.
  TimePoint made;
  std::vector<CrashRecord> records;
  std::vector<SoundAnswer> sound;
  // All verdicts of the node.
  std::vector<CrashVerdict> verdicts;
};

// What is known of a request's features.
enum class Suspicion {
  kNone,
  // One more crash makes a feature of the request a verdict.
  kSuspect,
  kBlocked,
};

template <>
inline constexpr EnumName<Suspicion> kEnumNames<Suspicion>[] = {
    {Suspicion::kNone, "none"},
    {Suspicion::kSuspect, "suspect"},
    {Suspicion::kBlocked, "blocked"},
};

class CrashTracker {
 public:
  // Crashes that make a verdict of a feature on which no answer has gone well
  // so far; see also CrashVerdict::kOnceSoundThreshold.
  static constexpr size_t kBlockThreshold = 3;
  // A server that goes on for this long after it has begun an answer did not
  // crash of it.
  static constexpr Duration kSoundAfter = std::chrono::milliseconds(500);
  // Crashes of several servers within this time count once against a prompt
  // part: a cause outside the servers is likelier.
  static constexpr Duration kSimultaneous = std::chrono::milliseconds(50);
  // Crashes speak against a feature on which answers went well before only
  // after this time, in which further good answers may clear it.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);
  // Crashes are evidence for this long.
  static constexpr Duration kEvidenceLifetime = std::chrono::seconds(60);
  // Records held; those of the oldest crash are dropped first. Far more than
  // one verdict needs.
  static constexpr size_t kMaxRecords = 4'096;
  // Heartbeats in which a record or an answer is reported, because single
  // heartbeats get lost.
  static constexpr uint32_t kReports = 5;
  // Records, and answers, in one report.
  static constexpr size_t kMaxReported = 64;
  // Records that wait to be reported. More of them come from a failure of many
  // servers, which is no evidence against a request.
  static constexpr size_t kMaxUnreported = 256;

  enum class VerdictChange { kAdded, kEnded };
  using VerdictHook = std::function<void(VerdictChange, const CrashVerdict&)>;

  // `on_verdict` is called for every verdict that is added or found wrong.
  explicit CrashTracker(VerdictHook on_verdict = {});

  // A request ran on a server as it crashed. A known record changes nothing.
  void OnCrash(const CrashRecord& record, TimePoint now);
  // A server began an answer on these features at `began` and did not crash of
  // it: the answer is complete, or the server was still up after kSoundAfter.
  void OnSound(const RequestFeatures& features, TimePoint began);
  // A request with these features was refused because it is blocked.
  void OnRefused(const RequestFeatures& features, TimePoint now);

  Suspicion Judge(const RequestFeatures& features, TimePoint now) const;
  // Whether the request is blocked for its whole content.
  bool IsContentBlocked(const RequestFeatures& features) const;
  // Takes the trial of the verdict that blocks the request, if it is due.
  // Returns whether the request may be sent.
  bool TakeTrial(const RequestFeatures& features, TimePoint now);

  // Returns the next report for the peers.
  CrashReport TakeReport(TimePoint now);
  // Whether the next report holds something that no report has held yet.
  bool has_news() const { return has_news_; }
  // A peer's report arrived. With `forward`, what is new in it is reported to
  // this node's own peers.
  void OnPeer(const CrashReport& report, bool forward, TimePoint now);
  // The leader found the verdict on exactly these features wrong or over. Peers
  // may go on telling of it for a while.
  void OnVerdictEnded(const std::vector<Feature>& features, TimePoint now);
  // Looks for the cause of the crashes whose settle time is over, and forgets
  // what has expired.
  void OnTick(TimePoint now);

  const std::vector<CrashVerdict>& verdicts() const { return verdicts_.all(); }
  // Records and features held.
  size_t record_count() const { return record_count_; }
  size_t feature_count() const { return evidence_.size(); }

 private:
  // Requests that ran on one server as it crashed, by their contents.
  using Runs = std::map<Feature, std::vector<Feature>>;
  struct Crash {
    TimePoint at;
    Runs runs;
    // The cause was looked for after kSettleTime.
    bool settled = false;
  };
  // What speaks for and against one feature.
  struct Evidence {
    // The last answer that went well.
    std::optional<TimePoint> sound;
    // Servers that crashed with the feature.
    std::set<uint64_t> crashes;
  };
  template <typename T>
  struct Outgoing {
    T item;
    uint32_t reports_left = kReports;
  };

  // Returns what one report holds of `waiting`, and removes what was reported
  // often enough.
  template <typename T>
  static std::vector<T> TakeNext(std::vector<Outgoing<T>>& waiting);
  // Adds a record or a good answer to the evidence. With `report`, the peers
  // are told.
  void Record(const CrashRecord& record, bool report, TimePoint now);
  void NoteSound(Feature feature, TimePoint began, bool report);
  // Adds a verdict unless another one explains its crashes better.
  void AddVerdict(const CrashVerdict& verdict);
  // Puts the answer among those to report.
  void ReportSound(const SoundAnswer& answer);
  // Returns the evidence of a feature, a new entry if there is none.
  Evidence& EvidenceOf(Feature feature);
  // Removes the features that an answer has cleared since the verdict's last
  // crash, and reports these answers once more.
  void DropCleared(CrashVerdict& verdict);
  // Turns the likeliest cause of the crash into a verdict.
  void Decide(const Crash& crash, TimePoint now);
  // Whether there is enough evidence against one of the features.
  bool HasCause(const std::vector<Feature>& features, TimePoint now) const;
  // Whether answers on all features went well at some time.
  bool IsOnceSound(const std::vector<Feature>& features) const;
  // Whether a verdict that does not name `feature`, and is at least as likely a
  // cause, explains the crash of this server.
  bool IsExplainedWithout(Feature feature, uint64_t server) const;
  // Returns the servers that crashed with all features of the verdict.
  std::set<uint64_t> CrashedWith(const CrashVerdict& verdict) const;
  // Whether a verdict that is no less likely a cause explains all crashes of
  // this one, and more.
  bool IsSuperseded(const CrashVerdict& verdict) const;
  // Removes the verdict on exactly these features, and reports its end to
  // on_verdict_.
  void EndVerdict(const std::vector<Feature>& features);
  // Ends the verdicts that are superseded.
  void EndSuperseded();
  // Returns the crashes that speak against the feature, in order of time.
  std::vector<const Crash*> CrashesOf(Feature feature, TimePoint now) const;
  // Returns how many of them count.
  size_t CrashCount(Feature feature, TimePoint now) const;
  // Returns how many make a verdict.
  size_t Threshold(Feature feature) const;
  // Returns the features that all crashed requests with `feature` share and
  // that are not cleared, `feature` included.
  std::vector<Feature> CommonFeatures(Feature feature, TimePoint now) const;
  // Forgets one crash and the evidence that comes from it.
  void Forget(uint64_t server);
  void ForgetOldest();

  VerdictHook on_verdict_;
  SoundAnswers sound_answers_;
  CrashVerdicts verdicts_;
  // By server process; record_count_ is the sum of their runs.
  std::map<uint64_t, Crash> crashes_;
  size_t record_count_ = 0;
  // The features of all crashes_ and verdicts_.
  std::unordered_map<Feature, Evidence> evidence_;
  std::vector<Outgoing<CrashRecord>> records_to_report_;
  std::vector<Outgoing<SoundAnswer>> sound_to_report_;
  bool has_news_ = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_CRASH_CRASH_TRACKER_H_
