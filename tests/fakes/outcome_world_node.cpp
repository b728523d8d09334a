// What the nodes of the world do with their machines and claim logs.

#include <algorithm>

#include "fakes/outcome_world.h"

namespace qh {
namespace {

using std::chrono::milliseconds;

constexpr Duration kClaimWait = milliseconds(2500);
constexpr Duration kClaimRetry = milliseconds(400);
constexpr Duration kReportRetry = milliseconds(500);
constexpr Duration kLogTick = milliseconds(20);
constexpr Duration kRunTime = std::chrono::seconds(5);

}  // namespace

void OutcomeWorld::Feed(size_t node,
                        const std::string& id,
                        RequestEvent event) {
  const auto it = nodes_[node].sessions.find(id);
  if (it == nodes_[node].sessions.end()) {
    return;
  }
  for (const auto& action : it->second.machine.Advance(event, queue_.now())) {
    Carry(node, id, action);
  }
}

void OutcomeWorld::Carry(size_t node,
                         const std::string& id,
                         const RequestAction& action) {
  Session& session = nodes_[node].sessions.at(id);
  switch (action.kind) {
    case RequestActionKind::kClaim:
      session.claim_until = queue_.now() + kClaimWait;
      return AskClaim(node, id);
    case RequestActionKind::kChoose:
      return Choose(node, id);
    case RequestActionKind::kChooseLater:
      return ToNode(node, action.delay,
                    [this, node, id](TimePoint) { Choose(node, id); });
    case RequestActionKind::kDispatch:
      return Dispatch(node, id, action);
    case RequestActionKind::kCancel:
      return Cancel(node, id);
    case RequestActionKind::kRecordOutcome:
      return Report(node, id, OutcomeKind::kAnswered);
    case RequestActionKind::kRecordUnknown:
      return Report(node, id, OutcomeKind::kUnknown);
    case RequestActionKind::kReleaseClaim:
      return Report(node, id, OutcomeKind::kNotDispatched);
    case RequestActionKind::kRelayAnswer:
      return Relay(node, id, true, session.answer, *session.peer);
    case RequestActionKind::kRelayLost:
      return Relay(node, id, false, "", *session.peer);
    case RequestActionKind::kFinish:
      OnAnswered(id, session);
      return;
    case RequestActionKind::kRefuse:
      OnRefused(id, action.error);
      return;
  }
}

void OutcomeWorld::AskClaim(size_t node, const std::string& id) {
  Session& session = nodes_[node].sessions.at(id);
  if (session.machine.state() != RequestState::kClaiming) {
    return;
  }
  if (without_ == OutcomeGuard::kClaim) {
    return Feed(node, id, {.kind = RequestEventKind::kClaimWon});
  }
  if (queue_.now() >= session.claim_until) {
    return Feed(node, id,
                {.kind = RequestEventKind::kClaimRefused,
                 .error = ErrorKind::kClaimUnavailable});
  }
  const RequestSpec& spec = session.machine.spec();
  const ClaimRequest ask = {.key = spec.idempotency_key,
                            .fingerprint = spec.fingerprint,
                            .request_id = spec.id,
                            .claimant = nodes_[node].id,
                            .wait = session.claim_until - queue_.now(),
                            .run_time = kRunTime};
  const auto owner = OwnerOf(node, ClaimPartition(ask.key));
  if (owner == node) {
    AskLog(node, node, ask);
  } else if (owner) {
    Message(*owner, [this, node, owner, bytes = ask.Encode()](TimePoint) {
      AskLog(*owner, node, ClaimRequest::Decode(bytes).value());
    });
  }
  ToNode(node, kClaimRetry,
         [this, node, id](TimePoint) { AskClaim(node, id); });
}

void OutcomeWorld::AskLog(size_t owner, size_t asker, const ClaimRequest& ask) {
  nodes_[owner].askers[ask.request_id.value()].insert(asker);
  const uint32_t partition = ClaimPartition(ask.key);
  CarryClaims(owner, partition,
              LogOf(owner, partition).Submit(ask, queue_.now()));
}

void OutcomeWorld::Report(size_t node,
                          const std::string& id,
                          OutcomeKind kind) {
  const Session& session = nodes_[node].sessions.at(id);
  const RequestSpec& spec = session.machine.spec();
  const OutcomeReport report = {.key = spec.idempotency_key,
                                .fingerprint = spec.fingerprint,
                                .request_id = spec.id,
                                .kind = kind,
                                .answer = {200, "text/plain", session.answer}};
  const uint32_t partition = ClaimPartition(report.key);
  const auto owner = OwnerOf(node, partition);
  if (!owner) {
    return;
  }
  const auto tell = [this, owner, partition, report](TimePoint now) {
    CarryClaims(*owner, partition,
                LogOf(*owner, partition).Report(report, now));
  };
  if (*owner == node) {
    return tell(queue_.now());
  }
  // The owner's answer to the message may be lost; the node repeats it.
  Message(*owner, tell);
  ToNode(node, kReportRetry,
         [this, owner, tell](TimePoint) { Message(*owner, tell); });
}

void OutcomeWorld::CarryClaims(size_t node,
                               uint32_t partition,
                               ClaimLog::Actions actions) {
  for (const ClaimAction& action : actions) {
    if (action.kind == ClaimActionKind::kStore) {
      CallStore(node, partition, action);
      continue;
    }
    Node& owner = nodes_[node];
    const auto askers = owner.askers.extract(action.answer.request_id.value());
    if (askers.empty()) {
      continue;
    }
    for (const size_t asker : askers.mapped()) {
      const auto tell = [this, asker,
                         bytes = action.answer.Encode()](TimePoint) {
        OnClaimAnswer(asker, ClaimAnswer::Decode(bytes).value());
      };
      asker == node ? ToNode(node, Duration(0), tell) : Message(asker, tell);
    }
  }
  if (!nodes_[node].ticking.contains(partition)) {
    TickLog(node, partition);
  }
}

void OutcomeWorld::CallStore(size_t node,
                             uint32_t partition,
                             const ClaimAction& action) {
  StoreRequest request = action.request;
  const bool write = request.op == StoreOp::kPut;
  if (write && without_ == OutcomeGuard::kFence) {
    request.expected_version.reset();
  }
  const uint64_t version = request.expected_version.value_or(0) + 1;
  const uint64_t token = action.token;
  const uint64_t life = nodes_[node].life;
  store_->Call(
      request, queue_.now(),
      [this, node, partition, token, write, version, life](StoreReply reply,
                                                           TimePoint) {
        if (nodes_[node].life != life) {
          return;
        }
        if (write && without_ == OutcomeGuard::kNonceReadBack &&
            reply.status == StoreStatus::kAmbiguous) {
          reply.status = StoreStatus::kOk;
          reply.object.version = version;
        }
        ToNode(node, Duration(0),
               [this, node, partition, token, reply](TimePoint now) {
                 CarryClaims(
                     node, partition,
                     LogOf(node, partition).OnStoreReply(token, reply, now));
               });
      });
}

void OutcomeWorld::TickLog(size_t node, uint32_t partition) {
  const ClaimLog& log = LogOf(node, partition);
  if (log.pending_requests() + log.pending_outcomes() == 0) {
    nodes_[node].ticking.erase(partition);
    return;
  }
  nodes_[node].ticking.insert(partition);
  ToNode(node, kLogTick, [this, node, partition](TimePoint now) {
    CarryClaims(node, partition, LogOf(node, partition).Tick(now));
    TickLog(node, partition);
  });
}

void OutcomeWorld::OnClaimAnswer(size_t node, const ClaimAnswer& answer) {
  const std::string& id = answer.request_id.value();
  const auto it = nodes_[node].sessions.find(id);
  if (it == nodes_[node].sessions.end() ||
      it->second.machine.state() != RequestState::kClaiming) {
    return;
  }
  switch (answer.decision) {
    case ClaimDecision::kWon:
      return Feed(node, id, {.kind = RequestEventKind::kClaimWon});
    case ClaimDecision::kReplayed:
      it->second.answer = answer.answer.body;
      return Feed(node, id, {.kind = RequestEventKind::kClaimReplayed});
    case ClaimDecision::kRefused:
      return Feed(
          node, id,
          {.kind = RequestEventKind::kClaimRefused, .error = answer.error});
  }
}

ClaimLog& OutcomeWorld::LogOf(size_t node, uint32_t partition) {
  Node& owner = nodes_[node];
  auto it = owner.logs.find(partition);
  if (it == owner.logs.end()) {
    const uint64_t seed = rng_.Next();
    it = owner.logs
             .emplace(partition, ClaimLog::Create(partition, {}, seed).value())
             .first;
  }
  std::set<InstanceId> dead;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!owner.members.contains(i) && !nodes_[i].alive) {
      dead.insert(nodes_[i].id);
    }
  }
  it->second.SetDeadMembers(std::move(dead));
  return it->second;
}

std::vector<InstanceId> OutcomeWorld::MembersOf(size_t node) const {
  std::vector<InstanceId> members;
  for (const size_t member : nodes_[node].members) {
    members.push_back(nodes_[member].id);
  }
  return members;
}

size_t OutcomeWorld::IndexOf(const InstanceId& node) const {
  size_t index = 0;
  while (nodes_[index].id != node) {
    ++index;
  }
  return index;
}

std::optional<size_t> OutcomeWorld::OwnerOf(size_t node,
                                            uint32_t partition) const {
  const InstanceId owner = ClaimOwner(partition, MembersOf(node));
  if (owner.empty()) {
    return std::nullopt;
  }
  return IndexOf(owner);
}

}  // namespace qh
