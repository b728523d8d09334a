// The one node of a cell that grants runs of suspects, and of copies that are
// not placed on their first choice server.
//
// At most one server at a time runs granted copies of a fingerprint; a suspect
// runs one copy at a time and shares no server with other granted content.
// Copies that run without a grant are on the first choice server; so a suspect
// is granted that server as long as it lives, and goes past it only when all
// nodes had time to send what they had in flight there when it died.

#ifndef QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_
#define QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "qh_requests/quarantine/crash_quarantine.h"

namespace qh {

// Returns the member that arbitrates, or an empty id without members.
InstanceId SelectCrashArbiter(const std::vector<InstanceId>& members);

struct GrantRequest {
  std::string fingerprint;
  // The request; a request has one grant at most.
  RequestId request_id;
  // Counts the asks of this request, from 1.
  uint64_t number = 1;
  // Asks up to this one have no run: it ended, or never began. A run that was
  // cancelled counts as ended after CrashQuarantineSettings::cancel_grace.
  uint64_t last_ended = 0;
  InstanceId requester;
  ServerId server;
  ServerId first_choice;
  // What the requester knows of the fingerprint: CrashQuarantine::RecordFor.
  uint64_t round = 0;
  std::set<ServerId> crashed;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantRequest> Decode(std::string_view bytes);
};

enum class GrantDecision {
  // Run on GrantAnswer::server.
  kRun,
  // Ask again after `kGrantRetryDelay`, perhaps for another server.
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
  // Of the request that this answers.
  uint64_t number = 0;
  GrantDecision decision = GrantDecision::kWait;
  ServerId server;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantAnswer> Decode(std::string_view bytes);
};

// Tells the arbiter that a granted run ended. It carries what the node knows of
// the content, so that a crash is known no later than the end of its grant.
struct GrantEnd {
  RequestId request_id;
  uint64_t number = 0;
  SuspicionRecord record;

  std::string Encode() const;
  // Fails with kPeerMalformed.
  static Result<GrantEnd> Decode(std::string_view bytes);
};

struct CrashArbiterSettings {
  // Time for suspicions to reach the arbiter after a death.
  Duration settle_time = std::chrono::milliseconds(1000);
  // Time before a new arbiter grants anything: all members know it then, and
  // runs granted by the one before have shown whether they crash.
  Duration takeover_time = std::chrono::seconds(3);
  // The same for a suspect whose first choice died and is not known to have
  // run it: a paused node may have had it in flight there.
  Duration suspect_settle_time = std::chrono::seconds(10);
};

// No I/O, no clock; the owner serialises calls. `quarantine` is the quarantine
// of the same node.
class CrashArbiter {
 public:
  // Creates the arbiter of a node that became it at `now`; it grants nothing
  // before the takeover time has passed.
  static CrashArbiter Create(CrashArbiterSettings settings, TimePoint now);

  GrantAnswer RequestGrant(const GrantRequest& request,
                           CrashQuarantine& quarantine,
                           TimePoint now);

  // A granted run ended; repeated and late reports do no harm.
  void OnRunEnded(const GrantEnd& end,
                  CrashQuarantine& quarantine,
                  TimePoint now);

  // A server died suddenly: counts against every fingerprint granted on it.
  void OnServerDied(const ServerId& server,
                    CrashQuarantine& quarantine,
                    TimePoint now);

  // A member died: its grants end after the takeover time, since the run may
  // still take its server down.
  void OnMemberDied(const InstanceId& member, TimePoint now);

  size_t grants() const { return grants_.size(); }

 private:
  struct Grant {
    uint64_t number = 0;
    std::string fingerprint;
    InstanceId requester;
    ServerId server;
    // When a grant of a dead member ends.
    std::optional<TimePoint> until;
  };

  CrashArbiter(CrashArbiterSettings settings, TimePoint start);

  // When `server` died suddenly, or was first named as crashed, whichever is
  // later.
  std::optional<TimePoint> LatestDeathTime(
      const ServerId& server,
      const CrashQuarantine& quarantine) const;
  // Whether the members had time to tell what was in flight on the servers
  // that `request` may be blamed for: a suspect placed earlier may share its
  // second server with content that is about to become a suspect too.
  bool HasSettled(const GrantRequest& request,
                  const CrashQuarantine& quarantine,
                  TimePoint now) const;
  // Whether a suspect would share `server` with granted content of another
  // fingerprint.
  bool WouldShareWithSuspect(const ServerId& server,
                             const std::string& fingerprint,
                             const CrashQuarantine& quarantine) const;
  void MergeKnown(const GrantRequest& request,
                  CrashQuarantine& quarantine,
                  TimePoint now);

  CrashArbiterSettings settings_;
  TimePoint start_;
  // When an request first named a server as crashed.
  std::map<ServerId, TimePoint> reported_crashes_;
  // All grants of one fingerprint are on one server.
  std::map<RequestId, Grant> grants_;
};

}  // namespace qh

#endif  // QH_REQUESTS_QUARANTINE_CRASH_ARBITER_H_
