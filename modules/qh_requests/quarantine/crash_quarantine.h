// What a node knows of requests that were on backend servers when these died
// without notice. A content fingerprint becomes a suspect when a server that
// runs it dies suddenly, and is condemned when a second server does.
//
// Nodes exchange SuspicionRecords by gossip; a suspect runs only with a grant
// of the arbiter (see crash_arbiter.h).

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

// Servers that one fingerprint may take down.
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
  // Dispatch to the server asked for.
  kRun,
  // Ask the arbiter first.
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

// One fingerprint's suspicion, as gossip carries it.
struct SuspicionRecord {
  std::string fingerprint;
  // Goes up when a run alone has shown that the content is harmless; of two
  // records the one with the higher round holds.
  uint64_t round = 0;
  // Servers that died suddenly while they ran it in this round.
  std::set<ServerId> crashed;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<SuspicionRecord> Decode(std::string_view bytes);
};

// A suspect's run that another node was granted, told to all members before it
// begins: if that node dies with its server, the others still know what ran.
struct GrantedRun {
  RequestId request_id;
  std::string fingerprint;
  ServerId server;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantedRun> Decode(std::string_view bytes);
};

struct CrashQuarantineSettings {
  // How long a suspicion is kept after its last change.
  Duration retention = std::chrono::hours(1);
  // This many sudden deaths in a failure domain within wave_window are a wave.
  // It makes nobody a suspect but content that was on two of the servers.
  size_t wave_servers = 3;
  Duration wave_window = std::chrono::seconds(2);
  // How long after its cancel a run may still crash its server.
  Duration cancel_grace = std::chrono::seconds(1);
  Duration max_tick_gap = std::chrono::milliseconds(500);
  // How long a granted run of another node counts when its end is not told.
  Duration granted_run_timeout = std::chrono::seconds(10);
  // Time after a pause until missed gossip has come.
  Duration gossip_catch_up = std::chrono::milliseconds(1000);
  // How long other nodes may take to see a wave too.
  Duration wave_correction_time = std::chrono::seconds(5);
};

// Returns the server that runs the first copy of a fingerprint on every node:
// the rendezvous choice over all configured servers of the pool or route,
// leaving ones included. `servers` is not empty.
ServerId FirstChoiceServer(std::string_view fingerprint,
                           const std::vector<ServerId>& servers);

// No I/O, no clock; the owner serialises calls.
class CrashQuarantine {
 public:
  static CrashQuarantine Create(CrashQuarantineSettings settings);

  // Says whether `fingerprint` may be dispatched. `first_choice` tells whether
  // the server is FirstChoiceServer. A node that was paused asks the arbiter
  // until it has heard what it missed.
  QuarantineVerdict Check(const std::string& fingerprint,
                          bool first_choice,
                          TimePoint now) const;

  // Call it every max_tick_gap / 2 or more often; a longer gap shows a pause.
  void Tick(TimePoint now);

  // Counts runs of this node. Call OnDispatched when the connection is made,
  // before the first byte is sent.
  void OnDispatched(const std::string& fingerprint, const ServerId& server);
  void OnEnded(const std::string& fingerprint, const ServerId& server);
  // The run was cancelled; the server may still crash from it for a while.
  void OnCancelled(const std::string& fingerprint,
                   const ServerId& server,
                   TimePoint now);
  // Another node begins a granted run, or ended it.
  void OnRemoteRunGranted(const GrantedRun& run, TimePoint now);
  void OnRemoteRunEnded(const RequestId& request);
  // Whether another node runs a suspect on `server`. Other content goes past
  // it while it can, so that a crash there blames nobody else.
  bool HasRemoteSuspect(const ServerId& server, TimePoint now) const;
  // A suspect ran to its end: the content is harmless.
  void OnSuspectCompleted(const std::string& fingerprint, TimePoint now);

  // A server died; call it once per death. Returns the records that changed;
  // send them to the arbiter at once and to all members by gossip.
  std::vector<SuspicionRecord> OnServerDied(const ServerId& server,
                                            const FailureDomainId& domain,
                                            ServerDeath death,
                                            TimePoint now);

  // A server serves again, under the same id.
  void OnServerStarted(const ServerId& server) { dead_servers_.erase(server); }

  // Takes a record of another node.
  void Merge(const SuspicionRecord& record, TimePoint now);

  // Returns all records, for gossip and for a new arbiter.
  std::vector<SuspicionRecord> Records() const;

  // Returns the record of `fingerprint`; an empty one when none is known.
  SuspicionRecord RecordFor(const std::string& fingerprint) const;

  // Returns the servers that count against `fingerprint`.
  std::set<ServerId> CrashedServers(const std::string& fingerprint) const;
  bool IsSuspect(const std::string& fingerprint) const;
  bool IsBlocked(const std::string& fingerprint) const;
  // When `server` last died suddenly, if it did within the retention.
  std::optional<TimePoint> LastSuddenDeath(const ServerId& server) const;

  // Whether `server` is known to be dead.
  bool IsDead(const ServerId& server) const {
    return dead_servers_.contains(server);
  }

  // Forgets what is older than the retention.
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
    TimePoint until;
  };

  struct RemoteRun {
    std::string fingerprint;
    ServerId server;
    TimePoint until;
  };

  explicit CrashQuarantine(CrashQuarantineSettings settings);

  // Takes the servers of a wave out of the suspicions.
  void DetectWave(const FailureDomainId& domain, TimePoint now);
  // Returns the fingerprints that may have taken `server` down.
  std::set<std::string> ExtractRuns(const ServerId& server, TimePoint now);
  // A fingerprint that was alone on the server that condemned it explains the
  // deaths of its servers: takes them out of all other suspicions, unless
  // another one is condemned too. Returns the records that changed.
  std::vector<SuspicionRecord> ClearExplainedCrashes(
      const std::string& fingerprint,
      TimePoint now);
  bool IsWaveServer(const ServerId& server, TimePoint now) const;
  // Takes a wave's server out of `crashed` if it is the only one of the wave.
  void RemoveLoneWaveServer(std::set<ServerId>& crashed, TimePoint now) const;

  CrashQuarantineSettings settings_;
  std::map<std::string, Suspicion> suspicions_;
  // Runs of this node, per server and fingerprint.
  std::map<ServerId, std::map<std::string, uint32_t>> in_flight_;
  std::deque<CancelledRun> cancelled_runs_;
  // Granted runs of other nodes.
  std::map<RequestId, RemoteRun> remote_runs_;
  std::deque<Death> sudden_deaths_;
  TimePoint last_tick_{};
  TimePoint caught_up_at_{};
  // Servers that died and did not start again.
  std::set<ServerId> dead_servers_;
  // Servers of a wave, and until when records that name them are corrected.
  std::map<ServerId, TimePoint> wave_servers_until_;
};

}  // namespace qh

#endif  // QH_REQUESTS_QUARANTINE_CRASH_QUARANTINE_H_
