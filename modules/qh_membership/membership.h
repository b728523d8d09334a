// Which nodes of a cell are live, suspect, leaving or dead, by gossip (SWIM):
// random probes, indirect probes, suspicion that the suspect can refute by a
// larger incarnation, and news on every message. Pure: events and the time go
// in, actions come out.

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

// Checks that the search for their effect can switch off. The daemon leaves all
// of them on.
struct MembershipGuards {
  // Compares incarnations before a record replaces another.
  bool incarnation = true;
  // Tells news of leaving and of configurations at once.
  bool push_updates = true;
  // Looks for a gap between ticks before it judges others.
  bool tick_gap = true;
};

struct MembershipOptions {
  Duration probe_interval = std::chrono::seconds(1);
  // Until indirect probes start.
  Duration probe_timeout = std::chrono::milliseconds(300);
  size_t indirect_probes = 3;
  // Times the probe interval and the decimal logarithm of the member count.
  double suspicion_factor = 3.0;
  // Between exchanges of all members with one random member.
  Duration sync_interval = std::chrono::seconds(10);
  // News of leaving is pushed in this many rounds, other news in one, each to
  // this many members.
  uint32_t push_rounds = 3;
  size_t push_fanout = 4;
  Duration push_interval = std::chrono::milliseconds(250);
  // A longer gap between ticks means that this process was paused.
  Duration pause_gap = std::chrono::milliseconds(1'500);
  Duration dead_retention = std::chrono::hours(2);
  Duration notice_retention = std::chrono::minutes(30);
  MembershipGuards guards;
};

enum class MembershipEventKind {
  // Time passed; expected every 100 ms.
  kTick,
  // A peer's call came: `message`. Answered by one kReply action.
  kRequest,
  // The answer to a kCall action came: `message`.
  kReply,
  // A kCall action to `peer` failed: `sequence`.
  kCallFailed,
  // The platform's list of nodes: `listed`.
  kInstancesListed,
  // This node was told that it will be reclaimed, or is drained.
  kReclaimNotice,
  // The notice was withdrawn.
  kReclaimWithdrawn,
  // A backend server got a notice or its withdrawal: `server.id` and
  // `server.leaving`; the version is chosen here.
  kServerNotice,
  // This node's own status changed: `status`.
  kStatusChanged,
};

// What a node tells of itself.
struct LocalStatus {
  // Version in force.
  uint64_t config_version = 0;
  uint32_t open_requests = 0;
  bool ready = false;
  std::string digest;
};

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
  // `member` is new or its state changed.
  kMemberChanged,
  // `server` leaves, or stays after all.
  kServerChanged,
  // `peer` has configuration `config_version` in force, newer than any seen.
  kNewerConfig,
};

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

class Membership {
 public:
  // `self` gives id, failure domain, cell and addresses of this node. `seed`
  // feeds its random choices. Fails with kConfigInvalid without id or address.
  static Result<Membership> Create(const Member& self,
                                   const MembershipOptions& options,
                                   uint64_t seed);

  // Takes one event at `now` and returns what to do. `now` never goes back.
  MembershipActions Advance(const MembershipEvent& event, TimePoint now);

  // Returns every known member with this node, dead ones too, sorted by id.
  std::vector<Member> members() const;
  // Returns the number of members that are live or suspect, this node included.
  size_t live_count() const;
  const Member& self() const { return self_; }
  // Returns whether this node knows what the cell knows: a member has answered
  // with its members and notices, or the list names no other node. A node that
  // has not joined serves nobody.
  bool has_joined() const { return has_joined_; }
  // Returns the notices in force: servers that get no new work.
  std::vector<ServerId> leaving_servers() const;
  bool IsLeaving(const ServerId& server) const;
  // Returns the newest configuration version in force on any node heard of.
  uint64_t newest_config() const { return newest_config_; }
  // Returns the bytes of state held.
  size_t state_bytes() const;

 private:
  struct Probe {
    InstanceId target;
    uint64_t sequence = 0;
    TimePoint started;
    bool indirect_sent = false;
  };
  // A ping made for another member.
  struct Relay {
    InstanceId origin;
    uint64_t origin_sequence = 0;
    TimePoint started;
  };
  struct Notice {
    ServerNotice notice;
    // When the cell first heard of this version.
    TimePoint changed;
  };

  Membership(const Member& self,
             const MembershipOptions& options,
             uint64_t seed);

  void OnTick(TimePoint now);
  void OnRequest(const GossipMessage& message, TimePoint now);
  void OnReply(const GossipMessage& message, TimePoint now);
  void OnCallFailed(const MembershipEvent& event);
  void OnListed(const std::vector<Member>& listed);
  void OnServerNotice(const ServerNotice& server, TimePoint now);
  void OnStatus(const LocalStatus& status);
  void SetLeaving(bool leaving);

  void RecoverFromPause(TimePoint now);
  void AdvanceProbe(TimePoint now);
  void StartProbe(TimePoint now);
  void SendIndirectProbes();
  void AdvanceSuspicions(TimePoint now);
  void AdvancePush(TimePoint now);
  void AdvanceSync(TimePoint now);
  void CallUnknown(TimePoint now);
  void DropOld(TimePoint now);

  void MergeMessage(const GossipMessage& message, TimePoint now);
  void MergeMember(const Member& incoming, TimePoint now);
  void MergeSelf(const Member& incoming);
  void Reconcile(const InstanceId& peer, TimePoint now);
  void HearConfig(const InstanceId& peer, uint64_t version);
  void MergeServer(const ServerNotice& incoming, TimePoint now);
  void MarkAlive(const InstanceId& id);
  void Suspect(const InstanceId& id, TimePoint now);
  void Announce(const InstanceId& id, TimePoint now);
  void AnnounceSelf();
  // Syncs with a sender that knows other notices.
  void CompareNotices(const GossipMessage& message, TimePoint now);
  // Returns the notice with its present age.
  ServerNotice Aged(const Notice& notice) const;
  void UpdateNoticesHash();
  void RequestPush(uint32_t rounds);

  GossipMessage MakeMessage(GossipMessageKind kind, uint64_t sequence);
  void AddNews(const InstanceId& receiver, GossipMessage& message);
  void AddStatuses(GossipMessage& message);
  GossipMessage MakeSync(uint64_t sequence, TimePoint now);
  void Call(const InstanceId& peer, GossipMessage message);
  void CallSync(const InstanceId& peer, TimePoint now);
  std::vector<InstanceId> PickOthers(
      size_t count,
      const std::function<bool(const Member&)>& accepts);
  const Member* Contact(const InstanceId& id) const;
  Duration SuspicionTimeout() const;
  uint32_t Transmissions() const;

  MembershipOptions options_;
  Rng rng_;
  Member self_;
  MemberTable table_;
  // Nodes of the platform's list; contacts until a message of theirs came.
  std::map<InstanceId, Member> listed_;
  // Suspicion began at; only for members in the table that are not dead.
  std::map<InstanceId, TimePoint> suspicions_;
  std::map<ServerId, Notice> notices_;
  // Of notices_; see GossipMessage.
  uint64_t notices_hash_ = 0;
  GossipQueue<InstanceId> member_news_;
  GossipQueue<ServerId> server_news_;
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;
  // Members still to probe in this round, in random order.
  std::vector<InstanceId> probe_order_;
  // Where AddStatuses goes on.
  InstanceId status_cursor_;
  uint64_t next_sequence_ = 1;
  uint64_t newest_config_ = 0;
  bool has_joined_ = false;
  // Whether the platform's list was seen.
  bool has_list_ = false;
  // Rounds of join calls without an answer.
  uint32_t lonely_joins_ = 0;
  uint32_t push_rounds_left_ = 0;
  TimePoint next_push_;
  TimePoint next_sync_;
  TimePoint next_join_;
  TimePoint next_reconcile_;
  std::optional<TimePoint> last_tick_;
  // Time of the present Advance.
  TimePoint now_;
  // Filled during one Advance.
  MembershipActions actions_;
};

}  // namespace qh

#endif  // QH_MEMBERSHIP_MEMBERSHIP_H_
