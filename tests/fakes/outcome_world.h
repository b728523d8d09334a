// A small deployment in virtual time around the real decision objects: nodes,
// backend servers, callers and a store, with faults drawn from a seed. It
// checks the promises after every step.

#ifndef TESTS_FAKES_OUTCOME_WORLD_H_
#define TESTS_FAKES_OUTCOME_WORLD_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_store.h"
#include "fakes/outcome_queue.h"
#include "qh_requests/qh_requests.h"

namespace qh {

// A protection that a run may go without, to show that the checks find it.
enum class OutcomeGuard {
  kNone,
  kClaim,
  kFence,
  kNonceReadBack,
  kConnectionClose,
  kQuarantine,
};

template <>
inline constexpr EnumName<OutcomeGuard> kEnumNames<OutcomeGuard>[] = {
    {OutcomeGuard::kNone, "none"},
    {OutcomeGuard::kClaim, "claim"},
    {OutcomeGuard::kFence, "fence"},
    {OutcomeGuard::kNonceReadBack, "nonce_read_back"},
    {OutcomeGuard::kConnectionClose, "connection_close"},
    {OutcomeGuard::kQuarantine, "quarantine"},
};

// What one or more sessions gave.
struct OutcomeTotals {
  uint64_t sessions = 0;
  uint64_t requests = 0;
  // Requests that were not refused as not run.
  uint64_t accepted = 0;
  // Callers whose call may not be repeated, however often they sent it.
  uint64_t accepted_once = 0;
  uint64_t refused = 0;
  uint64_t answered_whole = 0;
  uint64_t lost_accepted = 0;
  uint64_t cut_streams = 0;
  uint64_t duplicates_run = 0;
  uint64_t false_not_run = 0;
  uint64_t crossed = 0;
  uint64_t servers_lost_per_poison_max = 0;
  // Of accepted_once: those that were told "unknown" and never got an answer.
  uint64_t unknown = 0;
  // Requests whose node died without notice; no promise covers them.
  uint64_t lost_with_node = 0;
  // Innocent requests refused as quarantined.
  uint64_t innocents_quarantined = 0;

  void Add(const OutcomeTotals& other);
  // Whether a promise was broken.
  bool broken() const;
};

class OutcomeWorld {
 public:
  OutcomeWorld(uint64_t seed, OutcomeGuard without);

  // Runs one session to its end.
  OutcomeTotals Run();

 private:
  using Task = OutcomeQueue::Task;

  struct Caller {
    size_t index = 0;
    bool once = false;
    bool poison = false;
    std::string key;
    std::string fingerprint;
    uint32_t tokens = 0;
    TimePoint patience;
    bool done = false;
    // Whether some attempt was accepted and some told unknown.
    bool accepted = false;
    bool told_unknown = false;
    uint32_t runs = 0;
    uint32_t sends = 0;
  };

  struct Attempt {
    size_t caller = 0;
    std::string fingerprint;
    bool ended = false;
    // Its node died without notice.
    bool lost_with_node = false;
    bool reached_server = false;
    bool told_not_run = false;
    uint32_t tokens = 0;
  };

  struct Session {
    RequestMachine machine;
    std::string answer;
    std::vector<std::string> tokens;
    uint64_t connection = 0;
    bool granted = false;
    // Counts its asks for a grant; an answer to an earlier one is dropped.
    uint64_t grant_asks = 0;
    uint64_t grants_ended = 0;
    // Whether a cancelled run may still crash its server.
    bool lingering = false;
    TimePoint claim_until;
    // Where the outcome of a relayed call goes.
    std::optional<size_t> peer;
    // Who runs the call that this session waits for.
    std::optional<size_t> former;
  };

  struct Node {
    InstanceId id;
    FailureDomainId domain;
    bool alive = true;
    bool leaving = false;
    uint64_t life = 0;
    TimePoint paused_until;
    // What arrived during a pause.
    std::vector<Task> deferred;
    std::set<size_t> members;
    std::map<uint32_t, ClaimLog> logs;
    std::set<uint32_t> ticking;
    // Who waits for the answer to an ask: the nodes that asked.
    std::map<std::string, std::set<size_t>> askers;
    CrashQuarantine quarantine;
    std::optional<CrashArbiter> arbiter;
    std::map<std::string, Session> sessions;
    std::set<std::string> received;
    // Connections kept open after a cancel, without the guard.
    std::map<size_t, uint64_t> reusable;
  };

  struct Server {
    ServerId id;
    FailureDomainId domain;
    bool service = false;
    bool alive = true;
    bool leaving = false;
    uint64_t life = 0;
    std::set<uint64_t> connections;
  };

  struct Connection {
    size_t node = 0;
    uint64_t node_life = 0;
    size_t server = 0;
    uint64_t server_life = 0;
    std::string request;
    std::string fingerprint;
    uint32_t generation = 0;
    size_t caller = 0;
    bool closed = false;
    // Whether the quarantine counts it as a run.
    bool counted = false;
    TimePoint last_delivery;
  };

  // outcome_world.cpp: building and callers.
  void AddNodes();
  void AddServers();
  void AddCallers();
  void Send(size_t caller, bool other_body);
  void OnRefused(const std::string& id, ErrorKind error);
  void OnAnswered(const std::string& id, const Session& session);
  void OnToken(const std::string& id, const std::string& token);
  void CheckEnd();
  void ToNode(size_t node, Duration delay, Task task);
  void Defer(size_t node, Task task);
  void RunDeferred(size_t node, TimePoint now);
  void TickQuarantine(size_t node);
  void Message(size_t to, Task task);

  // outcome_world_node.cpp: what a node does with its machines.
  void Feed(size_t node, const std::string& id, RequestEvent event);
  void Carry(size_t node, const std::string& id, const RequestAction& action);
  void AskClaim(size_t node, const std::string& id);
  void AskLog(size_t owner, size_t asker, const ClaimRequest& ask);
  void Report(size_t node, const std::string& id, OutcomeKind kind);
  void CarryClaims(size_t node, uint32_t partition, ClaimLog::Actions actions);
  void CallStore(size_t node, uint32_t partition, const ClaimAction& action);
  void TickLog(size_t node, uint32_t partition);
  void OnClaimAnswer(size_t node, const ClaimAnswer& answer);
  ClaimLog& LogOf(size_t node, uint32_t partition);
  std::optional<size_t> OwnerOf(size_t node, uint32_t partition) const;
  std::vector<InstanceId> MembersOf(size_t node) const;
  size_t IndexOf(const InstanceId& node) const;

  // outcome_world_servers.cpp: choice, dispatch and backend servers.
  void Choose(size_t node, const std::string& id);
  void AskGrant(size_t node, const std::string& id, const GrantRequest& ask);
  void OnGrant(size_t node,
               const std::string& id,
               uint64_t ask,
               const GrantAnswer& answer);
  // Tells all members of a suspect's run before it begins.
  void TellGranted(size_t node, const std::string& id, const ServerId& server);
  void DropGrant(size_t node, const std::string& id, bool cancelled);
  void OnGrantEnd(size_t node, const GrantEnd& end, TimePoint now);
  void Dispatch(size_t node,
                const std::string& id,
                const RequestAction& action);
  void Arrive(uint64_t connection, uint32_t resume_from);
  void SendTokens(uint64_t connection, uint32_t next);
  void Deliver(uint64_t connection, RequestEvent event, std::string text);
  void Cancel(size_t node, const std::string& id);
  void EndRun(size_t node,
              const std::string& id,
              bool survived,
              bool cancelled);
  void KillServer(size_t server, ServerDeath death);
  void LearnDeath(size_t node, size_t server, ServerDeath death);
  size_t ServerIndex(const ServerId& id) const;

  // outcome_world_faults.cpp: faults and hand-over.
  void AddFaults();
  // Some nodes take `member` for dead for a while.
  void Suspect(size_t member);
  void ReclaimServer(size_t server, Duration notice);
  void ReclaimNode(size_t node, Duration notice);
  void KillNode(size_t node, bool noticed);
  void SetMember(size_t member, bool present);
  void HandOver(size_t node, const std::string& id);
  void SendRecord(size_t node,
                  size_t peer,
                  const std::string& id,
                  const std::string& record);
  void Receive(size_t node, size_t from, const std::string& record);
  void Relay(size_t node,
             const std::string& id,
             bool answered,
             const std::string& answer,
             size_t peer);

  Rng rng_;
  const OutcomeGuard without_;
  OutcomeQueue queue_;
  std::unique_ptr<FakeStore> store_;
  std::vector<Node> nodes_;
  std::vector<Server> servers_;
  std::vector<Caller> callers_;
  std::map<std::string, Attempt> attempts_;
  std::map<uint64_t, Connection> connections_;
  // Servers lost per fingerprint that crashes them.
  std::map<std::string, uint64_t> poison_losses_;
  // Which node holds a request now.
  std::map<std::string, size_t> holders_;
  uint64_t next_connection_ = 1;
  uint64_t next_request_ = 1;
  OutcomeTotals totals_;
};

}  // namespace qh

#endif  // TESTS_FAKES_OUTCOME_WORLD_H_
