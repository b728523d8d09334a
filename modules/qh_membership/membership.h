// Tracks which gateway nodes of a cell are live, suspect, leaving or dead. Uses
// the SWIM gossip protocol: random probes, indirect probes, suspicion that the
// suspect can refute with a larger incarnation, and updates piggybacked on
// every message. A pure state machine: it takes events and the time and returns
// actions, and does no I/O.

#ifndef QH_MEMBERSHIP_MEMBERSHIP_H_
#define QH_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_membership/gossip_message.h"
#include "qh_membership/gossip_queue.h"
#include "qh_membership/member_table.h"

namespace qh {

// Safety checks, all on in production. Tests and the control search switch
// single checks off to show which failures they prevent.
struct MembershipGuards {
  // Compares incarnations before a record replaces another, and lets a member
  // refute a reported death.
  bool incarnation = true;
  // Pushes urgent updates, such as leaving and new configurations, without
  // waiting for the next probe, and syncs when notices differ.
  bool push_updates = true;
  // Detects that this process was paused, by the gap between ticks, before it
  // suspects other members or declares them dead.
  bool tick_gap = true;
};

struct MembershipOptions {
  // Time between probes; a target that has not answered by the end of the
  // interval becomes suspect.
  Duration probe_interval = std::chrono::seconds(1);
  // How long a probe waits for its answer before indirect probes start.
  Duration probe_timeout = std::chrono::milliseconds(300);
  // Number of members that are asked to probe indirectly.
  size_t indirect_probes = 3;
  // The suspicion timeout is this factor times the probe interval times the
  // decimal logarithm of the member count, which counts as at least one.
  double suspicion_factor = 3.0;
  // Time between exchanges of all records with one random member.
  Duration sync_interval = std::chrono::seconds(10);
  // Rounds in which an update about leaving is pushed; other updates take one
  // round.
  uint32_t push_rounds = 3;
  // Number of random members that each round sends to.
  size_t push_fanout = 4;
  // Time between push rounds.
  Duration push_interval = std::chrono::milliseconds(250);
  // A longer time between two ticks means that this process was paused.
  Duration pause_gap = std::chrono::milliseconds(1'500);
  // How long a dead member stays in the table.
  Duration dead_retention = std::chrono::hours(2);
  // How long a backend server's notice is kept after it was first announced.
  Duration notice_retention = std::chrono::minutes(30);
  MembershipGuards guards;
};

enum class MembershipEventKind {
  // Time has passed; expected every 100 ms.
  kTick,
  // A call of a peer arrived: `message`. Answered by one kReply action.
  kRequest,
  // The answer to a kCall action arrived: `message`.
  kReply,
  // The kCall action to `peer` with `sequence` failed.
  kCallFailed,
  // The platform returned its list of gateway nodes: `listed`.
  kInstancesListed,
  // This node got a reclaim notice or is being drained.
  kReclaimNotice,
  // The reclaim notice was withdrawn.
  kReclaimWithdrawn,
  // A backend server got a reclaim notice or its withdrawal: `server.id` and
  // `server.leaving`. Membership assigns the version.
  kServerNotice,
  // This node's own status changed: `status`.
  kStatusChanged,
};

// The status that this node publishes to the others. See Member for the fields.
struct LocalStatus {
  // Version of the configuration in force.
  uint64_t config_version = 0;
  uint32_t open_requests = 0;
  bool ready = false;
  std::string digest;
};

// MembershipEventKind says which fields an event uses.
struct MembershipEvent {
  MembershipEventKind kind = MembershipEventKind::kTick;
  GossipMessage message;
  InstanceId peer;
  uint64_t sequence = 0;
  std::vector<Member> listed;
  ServerNotice server;
  LocalStatus status;
};

enum class MembershipActionKind {
  // Call `peer` at `address` with `message`.
  kCall,
  // Answer the request with `message`.
  kReply,
  // `member` is new, or its state, incarnation, address or cell changed.
  kMemberChanged,
  // The notice of `server` changed: it leaves, or stays after all.
  kServerChanged,
  // `peer` has configuration version `config_version` in force, which is newer
  // than any version known so far.
  kNewerConfig,
};

// MembershipActionKind says which fields an action uses.
struct MembershipAction {
  MembershipActionKind kind = MembershipActionKind::kCall;
  InstanceId peer;
  Address address;
  GossipMessage message;
  Member member;
  ServerNotice server;
  uint64_t config_version = 0;
};

using MembershipActions = std::vector<MembershipAction>;

// Not thread safe.
class Membership {
 public:
  // `self` holds the id, failure domain, cell and addresses of this node.
  // `seed` initializes the random number generator. Fails with kConfigInvalid
  // when the id or the peer address is missing.
  static Result<Membership> Create(const Member& self,
                                   const MembershipOptions& options,
                                   uint64_t seed);

  // Processes one event at `now` and returns the resulting actions. `now` must
  // not decrease between calls.
  MembershipActions Advance(const MembershipEvent& event, TimePoint now);

  // Returns every known member, dead ones and this node included, sorted by id.
  std::vector<Member> members() const;
  // Returns the number of members that are live or suspect; includes this node
  // unless it is leaving.
  size_t live_count() const;
  const Member& self() const { return self_; }
  // Returns whether this node has joined its cell: a member has answered with
  // its members and notices, the platform's list names no other node, or no
  // listed node answered several rounds of join calls. A node that has not
  // joined must not serve callers.
  bool has_joined() const { return has_joined_; }
  // Returns the backend servers that are about to leave and must not get new
  // requests.
  std::vector<ServerId> leaving_servers() const;
  // Returns whether `server` is among leaving_servers().
  bool IsLeaving(const ServerId& server) const;
  // Returns the newest configuration version that any known node has in force.
  uint64_t newest_config() const { return newest_config_; }
  // Returns the approximate memory use in bytes.
  size_t state_bytes() const;

 private:
  // The probe of the present interval.
  struct Probe {
    // Empty once the target has answered.
    InstanceId target;
    uint64_t sequence = 0;
    TimePoint started;
    bool indirect_sent = false;
  };
  // A ping that this node sent on behalf of `origin`, by an indirect probe.
  struct Relay {
    InstanceId origin;
    uint64_t origin_sequence = 0;
    TimePoint started;
  };
  struct Notice {
    ServerNotice notice;
    // When this version was first announced in the cell.
    TimePoint changed;
  };

  Membership(const Member& self,
             const MembershipOptions& options,
             uint64_t seed);

  void OnTick(TimePoint now);
  void OnRequest(const GossipMessage& message, TimePoint now);
  void OnReply(const GossipMessage& message, TimePoint now);
  void OnCallFailed(const MembershipEvent& event);
  void OnInstancesListed(const std::vector<Member>& listed);
  void OnServerNotice(const ServerNotice& server, TimePoint now);
  void OnStatus(const LocalStatus& status);
  void SetLeaving(bool leaving);

  void RecoverFromPause(TimePoint now);
  void AdvanceProbe(TimePoint now);
  void StartProbe(TimePoint now);
  void SendIndirectProbes();
  void AdvanceSuspicions(TimePoint now);
  void AdvancePush(TimePoint now);
  void AdvanceJoinAndSync(TimePoint now);
  // Syncs with some of the listed nodes that are not in the table yet.
  void CallUnknownNodes(TimePoint now);
  void DropExpired(TimePoint now);

  void MergeMessage(const GossipMessage& message, TimePoint now);
  void MergeMember(const Member& incoming, TimePoint now);
  void MergeSelf(const Member& incoming);
  // Syncs with `peer` unless the last such sync was less than
  // kRateLimitedSyncInterval ago.
  void CallSyncRateLimited(const InstanceId& peer, TimePoint now);
  // Emits kNewerConfig when `version` is newer than any known one.
  void NoteConfigVersion(const InstanceId& peer, uint64_t version);
  void MergeServer(const ServerNotice& incoming, TimePoint now);
  // Ends the present probe when `id` is its target.
  void MarkProbeAnswered(const InstanceId& id);
  void Suspect(const InstanceId& id, TimePoint now);
  // Reports a changed member: queues it for gossip, emits kMemberChanged and
  // starts or ends its suspicion.
  void Announce(const InstanceId& id, TimePoint now);
  void AnnounceSelf();
  // Syncs with the sender when its notices differ from those known here.
  void CheckNoticesHash(const GossipMessage& message, TimePoint now);
  // Returns the notice with its age at `now_`.
  ServerNotice WithCurrentAge(const Notice& notice) const;
  void UpdateNoticesHash();
  // Makes the next `rounds` push rounds happen, unless more are due already.
  void SchedulePush(uint32_t rounds);

  GossipMessage MakeMessage(GossipMessageKind kind, uint64_t sequence);
  // Adds queued updates to `message`, and the record of `receiver` when it is
  // suspect or dead here, so that the receiver can refute it.
  void AddUpdates(const InstanceId& receiver, GossipMessage& message);
  // Adds the statuses of the next few members, in turn by id.
  void AddStatuses(GossipMessage& message);
  GossipMessage MakeSync(uint64_t sequence, TimePoint now);
  void Call(const InstanceId& peer, GossipMessage message);
  void CallSync(const InstanceId& peer, TimePoint now);
  // Returns up to `count` random members of the table that `accepts` admits.
  std::vector<InstanceId> PickRandomMembers(
      size_t count,
      const std::function<bool(const Member&)>& accepts);
  // Returns the record of `id` from the table or the list, or null.
  const Member* FindContact(const InstanceId& id) const;
  Duration SuspicionTimeout() const;
  // Returns how often an update is gossiped.
  uint32_t TransmissionCount() const;

  MembershipOptions options_;
  Rng rng_;
  Member self_;
  MemberTable table_;
  // Live nodes of the platform's list, without this one. Used as contacts of
  // nodes that are not in the table yet.
  std::map<InstanceId, Member> listed_;
  // Start of each suspicion; only of members in the table that are not dead.
  std::map<InstanceId, TimePoint> suspicions_;
  std::map<ServerId, Notice> notices_;
  // Hash of notices_; see GossipMessage::notices_hash.
  uint64_t notices_hash_ = 0;
  // Updates that still have to be gossiped.
  GossipQueue<InstanceId> member_updates_;
  GossipQueue<ServerId> notice_updates_;
  std::optional<Probe> probe_;
  // By the sequence of the ping sent for the origin.
  std::map<uint64_t, Relay> relays_;
  // Members still to probe in this round, in random order.
  std::vector<InstanceId> probe_order_;
  // Last member whose status AddStatuses has sent; empty at the start of a
  // round.
  InstanceId status_cursor_;
  uint64_t next_sequence_ = 1;
  uint64_t newest_config_ = 0;
  bool has_joined_ = false;
  // Whether the platform's list has been received.
  bool has_instance_list_ = false;
  // Rounds of join calls since the start while this node has not joined.
  uint32_t unanswered_joins_ = 0;
  uint32_t push_rounds_left_ = 0;
  TimePoint next_push_;
  TimePoint next_sync_;
  TimePoint next_join_;
  TimePoint next_rate_limited_sync_;
  std::optional<TimePoint> last_tick_;
  // `now` of the current Advance.
  TimePoint now_;
  // Collects the actions of the current Advance.
  MembershipActions actions_;
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_MEMBERSHIP_H_
