// Tracks which request contents were running on backend servers when these died
// without notice, so that content that crashes servers is stopped.
//
// Content is identified by its fingerprint. It becomes a suspect when a server
// that runs it dies suddenly, and is blocked when a second server does. Nodes
// exchange SuspicionRecords by gossip. A suspect runs only with a grant of the
// arbiter (see crash_arbiter.h).

#ifndef QH_REQUESTS_QUARANTINE_CRASH_QUARANTINE_H_
#define QH_REQUESTS_QUARANTINE_CRASH_QUARANTINE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"

namespace qh {

// Number of crashed servers at which a fingerprint is blocked.
inline constexpr size_t kMaxCrashesPerFingerprint = 2;

enum class ServerDeath {
  kSudden,
  // After a reclaim notice or while draining.
  kUnderNotice,
};

template <>
inline constexpr EnumName<ServerDeath> kEnumNames<ServerDeath>[] = {
    {ServerDeath::kSudden, "sudden"},
    {ServerDeath::kUnderNotice, "under_notice"},
};

enum class QuarantineVerdict {
  // Dispatch to the chosen server.
  kRun,
  // Request a grant from the arbiter first.
  kAskArbiter,
  // Refuse with kQuarantined.
  kRefuse,
};

template <>
inline constexpr EnumName<QuarantineVerdict> kEnumNames<QuarantineVerdict>[] = {
    {QuarantineVerdict::kRun, "run"},
    {QuarantineVerdict::kAskArbiter, "ask_arbiter"},
    {QuarantineVerdict::kRefuse, "refuse"},
};

// What is known about one fingerprint; exchanged by gossip.
struct SuspicionRecord {
  std::string fingerprint;
  // Incremented when crashes are cleared from the record, because a run
  // completed or other content explains them. Of two records the one with the
  // higher round replaces the other.
  uint64_t round = 0;
  // Servers that died suddenly while they ran the content, in this round.
  std::set<ServerId> crashed;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<SuspicionRecord> Decode(std::string_view bytes);
};

// Announces a granted run of a suspect. The node that runs it sends this to all
// members before the run begins: if that node dies together with the server,
// the other members still know what the server was running.
struct GrantedRun {
  RequestId request_id;
  std::string fingerprint;
  ServerId server;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantedRun> Decode(std::string_view bytes);
};

struct CrashQuarantineSettings {
  // How long a suspicion is kept after its last change, and a sudden death
  // after it occurred.
  Duration retention = std::chrono::hours(1);
  // This many sudden deaths in a failure domain within wave_window count as a
  // wave: the cloud reclaimed the servers. Of the content that ran on them only
  // that which was on two or more becomes a suspect.
  size_t wave_servers = 3;
  Duration wave_window = std::chrono::seconds(2);
  // How long a cancelled run may still crash its server.
  Duration cancel_grace = std::chrono::seconds(1);
  // A longer time between two ticks means that this node was paused.
  Duration max_tick_gap = std::chrono::milliseconds(500);
  // How long a granted run of another node counts as running when its end is
  // not reported.
  Duration granted_run_timeout = std::chrono::seconds(10);
  // Time after a pause until the gossip that was missed has arrived.
  Duration gossip_catch_up = std::chrono::milliseconds(1000);
  // How long records of other nodes may still name the servers of a wave, since
  // these nodes detect it later.
  Duration wave_correction_time = std::chrono::seconds(5);
};

// Returns the server on which all nodes run requests with this fingerprint
// without a grant: the rendezvous hash choice among all configured servers of
// the pool or route, including those that are leaving. `servers` must not be
// empty.
ServerId FirstChoiceServer(std::string_view fingerprint,
                           const std::vector<ServerId>& servers);

// Does no I/O and reads no clock. Not thread safe.
class CrashQuarantine {
 public:
  static CrashQuarantine Create(CrashQuarantineSettings settings);

  // Returns whether `fingerprint` may be dispatched. `first_choice` is whether
  // the chosen server is its FirstChoiceServer. After a pause all dispatches
  // need a grant until the gossip that was missed has arrived.
  QuarantineVerdict Check(const std::string& fingerprint,
                          bool first_choice,
                          TimePoint now) const;

  // Detects pauses of this node. Must be called at least every
  // max_tick_gap / 2.
  void Tick(TimePoint now);

  // Count the runs of this node. OnDispatched must be called when the
  // connection is established, before the first byte is sent.
  void OnDispatched(const std::string& fingerprint, const ServerId& server);
  void OnEnded(const std::string& fingerprint, const ServerId& server);
  // Ends a run that was cancelled. It may still crash the server for
  // cancel_grace.
  void OnCancelled(const std::string& fingerprint,
                   const ServerId& server,
                   TimePoint now);
  // Another node begins a granted run of a suspect, or has ended it.
  void OnRemoteRunGranted(const GrantedRun& run, TimePoint now);
  void OnRemoteRunEnded(const RequestId& request_id);
  // Whether another node runs a suspect on `server`. Other content should avoid
  // that server if possible, so that a crash does not make it a suspect as
  // well.
  bool HasRemoteSuspect(const ServerId& server, TimePoint now) const;
  // A run of a suspect completed, which clears the content of suspicion. Has no
  // effect on blocked content.
  void OnSuspectCompleted(const std::string& fingerprint, TimePoint now);

  // A server died. Must be called once per death. Returns the records that
  // changed, which must be sent to the arbiter at once and to all members by
  // gossip.
  std::vector<SuspicionRecord> OnServerDied(const ServerId& server,
                                            const FailureDomainId& domain,
                                            ServerDeath death,
                                            TimePoint now);

  // A server with the same id answers again.
  void OnServerStarted(const ServerId& server) { dead_servers_.erase(server); }

  // Merges a record of another node.
  void Merge(const SuspicionRecord& record, TimePoint now);

  // Returns all records, for gossip and for a new arbiter.
  std::vector<SuspicionRecord> Records() const;

  // Returns the record of `fingerprint`, or one without crashes when none
  // exists.
  SuspicionRecord RecordFor(const std::string& fingerprint) const;

  // Returns the servers that died suddenly while they ran `fingerprint`.
  std::set<ServerId> CrashedServers(const std::string& fingerprint) const;
  bool IsSuspect(const std::string& fingerprint) const;
  bool IsBlocked(const std::string& fingerprint) const;
  // Returns when `server` last died suddenly, or nothing when it did not within
  // the retention.
  std::optional<TimePoint> LastSuddenDeath(const ServerId& server) const;

  // Whether `server` died and has not answered since.
  bool IsDead(const ServerId& server) const {
    return dead_servers_.contains(server);
  }

  // Removes what has expired.
  void Expire(TimePoint now);

 private:
  struct Suspicion {
    uint64_t round = 0;
    std::set<ServerId> crashed;
    TimePoint changed;
  };
  struct Death {
    ServerId server;
    FailureDomainId domain;
    TimePoint when;
  };

  struct CancelledRun {
    std::string fingerprint;
    ServerId server;
    TimePoint expires_at;
  };

  struct RemoteRun {
    std::string fingerprint;
    ServerId server;
    TimePoint expires_at;
  };

  explicit CrashQuarantine(CrashQuarantineSettings settings);

  // Detects a wave in `domain` and removes its servers from suspicions that
  // name only one of them.
  void DetectWave(const FailureDomainId& domain, TimePoint now);
  // Removes the runs on `server` and returns the fingerprints that may have
  // crashed it.
  std::set<std::string> ExtractRuns(const ServerId& server, TimePoint now);
  // Called when `fingerprint` was alone on the server whose death blocked it,
  // so that the deaths of its servers are explained: removes these servers from
  // all other suspicions, unless other content is blocked too. Returns the
  // records that changed.
  std::vector<SuspicionRecord> ClearExplainedCrashes(
      const std::string& fingerprint,
      TimePoint now);
  bool IsWaveServer(const ServerId& server, TimePoint now) const;
  // Removes the server of a wave from `crashed` if it is the only one.
  void RemoveLoneWaveServer(std::set<ServerId>& crashed, TimePoint now) const;

  CrashQuarantineSettings settings_;
  std::map<std::string, Suspicion> suspicions_;
  // Runs of this node, per server and fingerprint.
  std::map<ServerId, std::map<std::string, uint32_t>> in_flight_;
  // Ordered by expiry.
  std::deque<CancelledRun> cancelled_runs_;
  // Granted runs of suspects on other nodes.
  std::map<RequestId, RemoteRun> remote_runs_;
  std::deque<Death> sudden_deaths_;
  TimePoint last_tick_{};
  // After a pause: when the missed gossip has arrived.
  TimePoint caught_up_at_{};
  // Servers that died and have not answered since.
  std::set<ServerId> dead_servers_;
  // Servers of recent waves, and until when records that name them are
  // corrected.
  std::map<ServerId, TimePoint> wave_servers_until_;
};

}  // namespace qh

#endif  // QH_REQUESTS_QUARANTINE_CRASH_QUARANTINE_H_
