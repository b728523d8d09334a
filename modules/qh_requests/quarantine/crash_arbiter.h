// The node of a cell that grants runs of suspects (see crash_quarantine.h), and
// of other content that is not placed on its first choice server.
//
// Granted runs of a fingerprint are on one server at a time. A suspect has one
// granted run at a time, on a server without granted runs of other content.
// Runs without a grant are on the first choice server. A suspect is therefore
// granted that server as long as it is alive, and another one only after all
// nodes had time to report what they had in flight there when it died.

#ifndef QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_
#define QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "qh_requests/quarantine/crash_quarantine.h"

namespace qh {

// Returns the member that is the arbiter, by rendezvous hashing, or an empty id
// when `members` is empty.
InstanceId SelectCrashArbiter(const std::vector<InstanceId>& members);

// Requests a grant from the arbiter.
struct GrantRequest {
  std::string fingerprint;
  // The request to run. It has at most one grant at a time.
  RequestId request_id;
  // Number of this grant request among those of the same request, from 1.
  uint64_t number = 1;
  // Grant requests up to this number have no run any more: it ended or never
  // began. A cancelled run counts as ended after
  // CrashQuarantineSettings::cancel_grace.
  uint64_t last_ended = 0;
  InstanceId requester;
  ServerId server;
  ServerId first_choice;
  // The requester's record of the fingerprint (CrashQuarantine::RecordFor).
  uint64_t round = 0;
  std::set<ServerId> crashed;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantRequest> Decode(std::string_view bytes);
};

enum class GrantDecision {
  // Granted: run on GrantAnswer::server, which may differ from the server that
  // was requested.
  kRun,
  // Not granted: request again after `kGrantRetryDelay`, possibly another
  // server.
  kWait,
  // Refuse with kQuarantined.
  kRefuse,
};

template <>
inline constexpr EnumName<GrantDecision> kEnumNames<GrantDecision>[] = {
    {GrantDecision::kRun, "run"},
    {GrantDecision::kWait, "wait"},
    {GrantDecision::kRefuse, "refuse"},
};

inline constexpr Duration kGrantRetryDelay = std::chrono::milliseconds(100);

struct GrantAnswer {
  RequestId request_id;
  // GrantRequest::number of the request that this answers.
  uint64_t number = 0;
  GrantDecision decision = GrantDecision::kWait;
  ServerId server;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantAnswer> Decode(std::string_view bytes);
};

// Reports to the arbiter that a granted run ended. It carries the sender's
// record of the content, so that the arbiter learns of a crash no later than of
// the end of the grant.
struct GrantEnd {
  RequestId request_id;
  uint64_t number = 0;
  SuspicionRecord record;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantEnd> Decode(std::string_view bytes);
};

struct CrashArbiterSettings {
  // How long reports of suspicions may take to reach the arbiter after a death.
  Duration settle_time = std::chrono::milliseconds(1000);
  // Time before a new arbiter grants anything. By then all members have
  // switched to it, and runs granted by its predecessor have crashed or proved
  // harmless.
  Duration takeover_time = std::chrono::seconds(3);
  // Replaces settle_time for a suspect whose first choice server died and is
  // not known to have run it: a paused node may have had it in flight there.
  Duration suspect_settle_time = std::chrono::seconds(10);
};

// Does no I/O and reads no clock. Not thread safe. The `quarantine` parameters
// are the CrashQuarantine of the same node.
class CrashArbiter {
 public:
  // Creates the arbiter on a node that became the arbiter at `now`. It grants
  // nothing before takeover_time has passed.
  static CrashArbiter Create(CrashArbiterSettings settings, TimePoint now);

  // Decides on `request` and records the grant if there is one.
  GrantAnswer RequestGrant(const GrantRequest& request,
                           CrashQuarantine& quarantine,
                           TimePoint now);

  // A granted run ended. Repeated and late reports have no effect.
  void OnRunEnded(const GrantEnd& end,
                  CrashQuarantine& quarantine,
                  TimePoint now);

  // A server died suddenly. This counts against every fingerprint that was
  // granted on it, and ends these grants.
  void OnServerDied(const ServerId& server,
                    CrashQuarantine& quarantine,
                    TimePoint now);

  // A member died. Its grants end after takeover_time, since its runs may still
  // crash their servers.
  void OnMemberDied(const InstanceId& member, TimePoint now);

  size_t grants() const { return grants_.size(); }

 private:
  struct Grant {
    uint64_t number = 0;
    std::string fingerprint;
    InstanceId requester;
    ServerId server;
    // Set when the requester is dead: when the grant ends.
    std::optional<TimePoint> expires_at;
  };

  CrashArbiter(CrashArbiterSettings settings, TimePoint started_at);

  // Returns when `server` died suddenly or when a request first reported it as
  // crashed, whichever is later.
  std::optional<TimePoint> LatestDeathTime(
      const ServerId& server,
      const CrashQuarantine& quarantine) const;
  // Whether the members had time to report what was in flight on the dead
  // servers that concern `request`. A suspect that is granted earlier may share
  // its second server with content that is about to become a suspect too.
  bool HasSettled(const GrantRequest& request,
                  const CrashQuarantine& quarantine,
                  TimePoint now) const;
  // Whether `server` has granted runs of another fingerprint, and one of the
  // two is a suspect.
  bool WouldShareWithSuspect(const ServerId& server,
                             const std::string& fingerprint,
                             const CrashQuarantine& quarantine) const;
  // Merges what the requester knows into `quarantine`.
  void MergeKnown(const GrantRequest& request,
                  CrashQuarantine& quarantine,
                  TimePoint now);

  CrashArbiterSettings settings_;
  TimePoint started_at_;
  // When a grant request first reported a server as crashed.
  std::map<ServerId, TimePoint> reported_crashes_;
  // By request. All grants of one fingerprint are on one server.
  std::map<RequestId, Grant> grants_;
};

}  // namespace qh

#endif  // QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_
