// Choice of backend servers, quarantine and the servers themselves.

#include <algorithm>

#include "fakes/outcome_world.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSpilled = 0.3;
constexpr Duration kTokenInterval = milliseconds(30);
constexpr Duration kPrefill = milliseconds(60);
constexpr Duration kHop = Duration(500);

}  // namespace

void OutcomeWorld::Choose(size_t node, const std::string& id) {
  Node& self = nodes_[node];
  const Session& session = self.sessions.at(id);
  if (session.machine.state() != RequestState::kChoosing) {
    return;
  }
  const RequestSpec& spec = session.machine.spec();
  const auto& failed = session.machine.failed_servers();
  const std::set<ServerId> crashed =
      self.quarantine.CrashedServers(spec.fingerprint);
  std::vector<ServerId> configured;
  std::vector<ServerId> usable;
  for (const Server& server : servers_) {
    if (server.service == spec.idempotent) {
      continue;
    }
    configured.push_back(server.id);
    const bool excluded =
        std::find(failed.begin(), failed.end(), server.id) != failed.end() ||
        (without_ != OutcomeGuard::kQuarantine && crashed.contains(server.id));
    if (!server.leaving && !excluded) {
      usable.push_back(server.id);
    }
  }
  if (usable.empty()) {
    return Feed(
        node, id,
        {.kind = RequestEventKind::kNoServer, .error = ErrorKind::kNoServer});
  }
  const ServerId first = FirstChoiceServer(spec.fingerprint, configured);
  const auto beside_suspect = [&](const ServerId& server) {
    return self.quarantine.HasRemoteSuspect(server, queue_.now());
  };
  if (!std::all_of(usable.begin(), usable.end(), beside_suspect)) {
    std::erase_if(usable, beside_suspect);
  }
  const bool first_usable =
      std::find(usable.begin(), usable.end(), first) != usable.end();
  const bool take_first = first_usable && !rng_.Chance(kSpilled);
  const ServerId server =
      take_first ? first : usable[rng_.Below(usable.size())];
  if (without_ == OutcomeGuard::kQuarantine) {
    return Feed(node, id,
                {.kind = RequestEventKind::kServerChosen, .server = server});
  }
  switch (
      self.quarantine.Check(spec.fingerprint, server == first, queue_.now())) {
    case QuarantineVerdict::kRun:
      return Feed(node, id,
                  {.kind = RequestEventKind::kServerChosen, .server = server});
    case QuarantineVerdict::kRefuse:
      return Feed(node, id,
                  {.kind = RequestEventKind::kNoServer,
                   .error = ErrorKind::kQuarantined});
    case QuarantineVerdict::kAskArbiter: {
      const auto known = self.quarantine.RecordFor(spec.fingerprint);
      return AskGrant(node, id,
                      {.fingerprint = spec.fingerprint,
                       .request_id = spec.id,
                       .requester = self.id,
                       .server = server,
                       .first_choice = first,
                       .round = known.round,
                       .crashed = known.crashed});
    }
  }
}

void OutcomeWorld::AskGrant(size_t node,
                            const std::string& id,
                            const GrantRequest& ask) {
  const InstanceId arbiter = SelectCrashArbiter(MembersOf(node));
  Session& session = nodes_[node].sessions.at(id);
  session.granted = true;
  const uint64_t number = ++session.grant_asks;
  GrantRequest numbered = ask;
  numbered.number = number;
  // Without a run since the last ask, that one is over.
  if (!session.lingering) {
    session.grants_ended = number - 1;
  }
  numbered.last_ended = session.grants_ended;
  // Chooses again when no answer comes.
  ToNode(node, milliseconds(300), [this, node, id, number](TimePoint) {
    const auto it = nodes_[node].sessions.find(id);
    if (it != nodes_[node].sessions.end() && it->second.grant_asks == number) {
      Choose(node, id);
    }
  });
  if (arbiter.empty()) {
    return;
  }
  const size_t index = IndexOf(arbiter);
  Message(index, [this, node, id, index, number,
                  bytes = numbered.Encode()](TimePoint now) {
    Node& self = nodes_[index];
    if (self.leaving) {
      return;
    }
    if (!self.arbiter) {
      self.arbiter = CrashArbiter::Create({}, now);
    }
    const GrantAnswer answer = self.arbiter->RequestGrant(
        GrantRequest::Decode(bytes).value(), self.quarantine, now);
    Message(node, [this, node, id, number, reply = answer.Encode()](TimePoint) {
      OnGrant(node, id, number, GrantAnswer::Decode(reply).value());
    });
  });
}

void OutcomeWorld::OnGrant(size_t node,
                           const std::string& id,
                           uint64_t ask,
                           const GrantAnswer& answer) {
  const auto it = nodes_[node].sessions.find(id);
  if (it == nodes_[node].sessions.end() || it->second.grant_asks != ask) {
    return;
  }
  if (it->second.machine.state() != RequestState::kChoosing) {
    // A run that goes on keeps its grant.
    if (it->second.machine.is_final()) {
      DropGrant(node, id, false);
    }
    return;
  }
  switch (answer.decision) {
    case GrantDecision::kRun:
      TellGranted(node, id, answer.server);
      return Feed(
          node, id,
          {.kind = RequestEventKind::kServerChosen, .server = answer.server});
    case GrantDecision::kRefuse:
      return Feed(node, id,
                  {.kind = RequestEventKind::kNoServer,
                   .error = ErrorKind::kQuarantined});
    case GrantDecision::kWait:
      return ToNode(node, kGrantRetryDelay,
                    [this, node, id](TimePoint) { Choose(node, id); });
  }
}

void OutcomeWorld::TellGranted(size_t node,
                               const std::string& id,
                               const ServerId& server) {
  const std::string& fingerprint = attempts_.at(id).fingerprint;
  if (!nodes_[node].quarantine.IsSuspect(fingerprint)) {
    return;
  }
  const GrantedRun run = {RequestId(id), fingerprint, server};
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (i == node) {
      continue;
    }
    Message(i, [this, i, bytes = run.Encode()](TimePoint now) {
      nodes_[i].quarantine.OnRemoteRunGranted(GrantedRun::Decode(bytes).value(),
                                              now);
    });
  }
}

void OutcomeWorld::DropGrant(size_t node,
                             const std::string& id,
                             bool cancelled) {
  const GrantEnd end = {.request_id = RequestId(id),
                        .number = nodes_[node].sessions.at(id).grant_asks,
                        .record = nodes_[node].quarantine.RecordFor(
                            attempts_.at(id).fingerprint)};
  // A cancelled run may still crash its server.
  const Duration linger = cancelled ? Duration(seconds(1)) : Duration(0);
  for (const Duration delay : {linger, linger + milliseconds(200)}) {
    ToNode(node, delay, [this, bytes = end.Encode()](TimePoint) {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Message(i, [this, i, bytes](TimePoint now) {
          OnGrantEnd(i, GrantEnd::Decode(bytes).value(), now);
        });
      }
    });
  }
}

void OutcomeWorld::OnGrantEnd(size_t node, const GrantEnd& end, TimePoint now) {
  nodes_[node].quarantine.OnRemoteRunEnded(end.request_id);
  if (nodes_[node].arbiter) {
    nodes_[node].arbiter->OnRunEnded(end, nodes_[node].quarantine, now);
  }
}

void OutcomeWorld::Dispatch(size_t node,
                            const std::string& id,
                            const RequestAction& action) {
  Node& self = nodes_[node];
  Session& session = self.sessions.at(id);
  const size_t server = ServerIndex(action.server);
  const Attempt& attempt = attempts_.at(id);
  const uint64_t number = next_connection_++;
  session.connection = number;
  connections_[number] = {.node = node,
                          .node_life = self.life,
                          .server = server,
                          .server_life = servers_[server].life,
                          .request = id,
                          .fingerprint = attempt.fingerprint,
                          .generation = action.generation,
                          .caller = attempt.caller};
  const auto reused = self.reusable.extract(server);
  if (!reused.empty()) {
    // What is still under way on the reused connection meets this request.
    Connection& old = connections_.at(reused.mapped());
    old.request = id;
    old.generation = action.generation;
  }
  const uint32_t resume_from = action.resume_from;
  queue_.At(queue_.now() + kHop, [this, number, resume_from](TimePoint) {
    Arrive(number, resume_from);
  });
}

void OutcomeWorld::Arrive(uint64_t number, uint32_t resume_from) {
  Connection& connection = connections_.at(number);
  Server& server = servers_[connection.server];
  if (!server.alive) {
    return Deliver(number, {.kind = RequestEventKind::kNotConnected}, "");
  }
  if (connection.closed || !nodes_[connection.node].alive) {
    return;
  }
  connection.server_life = server.life;
  connection.counted = true;
  nodes_[connection.node].quarantine.OnDispatched(connection.fingerprint,
                                                  server.id);
  server.connections.insert(number);
  Attempt& attempt = attempts_.at(connection.request);
  attempt.reached_server = true;
  totals_.false_not_run += attempt.told_not_run ? 1 : 0;
  Caller& caller = callers_[connection.caller];
  if (caller.poison) {
    const size_t index = connection.server;
    const uint64_t life = server.life;
    const std::string fingerprint = connection.fingerprint;
    queue_.At(queue_.now() + rng_.Between(milliseconds(1), milliseconds(300)),
              [this, index, life, fingerprint](TimePoint) {
                if (servers_[index].alive && servers_[index].life == life) {
                  ++poison_losses_[fingerprint];
                  KillServer(index, ServerDeath::kSudden);
                }
              });
  }
  if (!caller.once) {
    queue_.At(queue_.now() + kPrefill, [this, number, resume_from](TimePoint) {
      SendTokens(number, resume_from);
    });
    return;
  }
  ++caller.runs;
  totals_.duplicates_run += caller.runs > 1 ? 1 : 0;
  const std::string answer = "answer to " + connection.fingerprint;
  const uint64_t life = server.life;
  queue_.At(queue_.now() + rng_.Between(milliseconds(5), milliseconds(200)),
            [this, number, life, answer](TimePoint) {
              const Server& at = servers_[connections_.at(number).server];
              if (at.alive && at.life == life) {
                Deliver(number, {.kind = RequestEventKind::kCompleted}, answer);
              }
            });
}

void OutcomeWorld::SendTokens(uint64_t number, uint32_t next) {
  const Connection& connection = connections_.at(number);
  const Server& server = servers_[connection.server];
  if (!server.alive || server.life != connection.server_life ||
      connection.closed) {
    return;
  }
  const Caller& caller = callers_[connection.caller];
  if (next >= caller.tokens) {
    return Deliver(number, {.kind = RequestEventKind::kCompleted}, "");
  }
  Deliver(number, {.kind = RequestEventKind::kPart, .tokens = 1},
          connection.fingerprint + "#" + std::to_string(next));
  queue_.At(queue_.now() + kTokenInterval,
            [this, number, next](TimePoint) { SendTokens(number, next + 1); });
}

void OutcomeWorld::Deliver(uint64_t number,
                           RequestEvent event,
                           std::string text) {
  Connection& connection = connections_.at(number);
  const Node& node = nodes_[connection.node];
  if (!node.alive || node.life != connection.node_life) {
    return;
  }
  // Bytes of one connection keep their order; some are slow.
  Duration delay = kHop;
  if (rng_.Chance(0.05)) {
    delay += rng_.Between(milliseconds(1), milliseconds(100));
  }
  connection.last_delivery =
      std::max(queue_.now() + delay, connection.last_delivery);
  const Duration wait = connection.last_delivery - queue_.now();
  const size_t index = connection.node;
  ToNode(index, wait, [this, index, number, event, text](TimePoint) {
    const Connection& from = connections_.at(number);
    const auto it = nodes_[index].sessions.find(from.request);
    if (it == nodes_[index].sessions.end()) {
      return;
    }
    Session& session = it->second;
    RequestEvent taken = event;
    taken.generation = from.generation;
    const RequestState state = session.machine.state();
    if (without_ == OutcomeGuard::kConnectionClose) {
      taken.generation = session.machine.generation();
    }
    const bool current = taken.generation == session.machine.generation();
    if (taken.kind == RequestEventKind::kPart &&
        state == RequestState::kDispatched) {
      taken.kind = RequestEventKind::kFirstPart;
    }
    const bool running = state == RequestState::kDispatched ||
                         state == RequestState::kAnswering ||
                         state == RequestState::kRelaying;
    if (current && running && event.kind == RequestEventKind::kPart) {
      session.tokens.push_back(text);
      OnToken(from.request, text);
    } else if (current && running &&
               event.kind == RequestEventKind::kCompleted) {
      session.answer = text;
    }
    if (current && running && event.kind != RequestEventKind::kPart) {
      EndRun(index, from.request, event.kind == RequestEventKind::kCompleted,
             false);
    }
    Feed(index, from.request, taken);
  });
}

void OutcomeWorld::Cancel(size_t node, const std::string& id) {
  const Session& session = nodes_[node].sessions.at(id);
  const auto it = connections_.find(session.connection);
  if (it == connections_.end()) {
    return;
  }
  if (without_ == OutcomeGuard::kConnectionClose) {
    nodes_[node].reusable[it->second.server] = it->first;
  } else {
    it->second.closed = true;
  }
  EndRun(node, id, false, true);
}

void OutcomeWorld::EndRun(size_t node,
                          const std::string& id,
                          bool survived,
                          bool cancelled) {
  Node& self = nodes_[node];
  Session& session = self.sessions.at(id);
  const auto it = connections_.find(session.connection);
  if (it == connections_.end()) {
    return;
  }
  const Connection& connection = it->second;
  const ServerId server = servers_[connection.server].id;
  if (!connection.counted) {
    // It never reached the server.
  } else if (cancelled) {
    self.quarantine.OnCancelled(connection.fingerprint, server, queue_.now());
  } else {
    self.quarantine.OnEnded(connection.fingerprint, server);
  }
  if (survived && self.quarantine.IsSuspect(connection.fingerprint)) {
    self.quarantine.OnSuspectCompleted(connection.fingerprint, queue_.now());
    const auto record = self.quarantine.RecordFor(connection.fingerprint);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Message(i, [this, i, record](TimePoint now) {
        nodes_[i].quarantine.Merge(record, now);
      });
    }
  }
  if (session.granted) {
    session.granted = false;
    DropGrant(node, id, cancelled);
    if (cancelled) {
      const uint64_t number = session.grant_asks;
      session.lingering = true;
      ToNode(node, seconds(1), [this, node, id, number](TimePoint) {
        Session& later = nodes_[node].sessions.at(id);
        later.lingering = false;
        later.grants_ended = std::max(later.grants_ended, number);
      });
    }
  }
  session.connection = 0;
}

void OutcomeWorld::KillServer(size_t index, ServerDeath death) {
  Server& server = servers_[index];
  if (!server.alive) {
    return;
  }
  server.alive = false;
  ++server.life;
  const auto connections = std::exchange(server.connections, {});
  for (size_t node = 0; node < nodes_.size(); ++node) {
    const bool in_flight = std::any_of(
        connections.begin(), connections.end(), [&](uint64_t number) {
          const Connection& connection = connections_.at(number);
          return connection.node == node && !connection.closed;
        });
    // A node with an open connection sees it reset; others hear of the death.
    const Duration delay =
        in_flight ? rng_.Between(kHop, milliseconds(5))
                  : rng_.Between(milliseconds(50), milliseconds(500));
    ToNode(node, delay, [this, node, index, death, connections](TimePoint) {
      LearnDeath(node, index, death);
      for (const uint64_t number : connections) {
        const Connection& connection = connections_.at(number);
        if (connection.node == node && !connection.closed) {
          Deliver(number,
                  {.kind = RequestEventKind::kServerLost,
                   .error = ErrorKind::kServerFailed},
                  "");
        }
      }
    });
  }
  // The process starts again, or another instance takes its place.
  queue_.At(queue_.now() + rng_.Between(seconds(3), seconds(6)),
            [this, index](TimePoint) {
              servers_[index].alive = true;
              servers_[index].leaving = false;
              for (size_t node = 0; node < nodes_.size(); ++node) {
                ToNode(node, milliseconds(50), [this, node, index](TimePoint) {
                  nodes_[node].quarantine.OnServerStarted(servers_[index].id);
                });
              }
            });
}

void OutcomeWorld::LearnDeath(size_t node, size_t index, ServerDeath death) {
  Node& self = nodes_[node];
  const Server& server = servers_[index];
  const TimePoint now = queue_.now();
  const auto changed =
      self.quarantine.OnServerDied(server.id, server.domain, death, now);
  if (self.arbiter && death == ServerDeath::kSudden) {
    self.arbiter->OnServerDied(server.id, self.quarantine, now);
  }
  for (const SuspicionRecord& record : changed) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      // Gossip repeats itself, so that a lost message does no harm.
      for (const Duration delay : {Duration(0), Duration(milliseconds(200)),
                                   Duration(milliseconds(400))}) {
        ToNode(node, delay, [this, i, bytes = record.Encode()](TimePoint) {
          Message(i, [this, i, bytes](TimePoint when) {
            nodes_[i].quarantine.Merge(SuspicionRecord::Decode(bytes).value(),
                                       when);
          });
        });
      }
    }
  }
}

size_t OutcomeWorld::ServerIndex(const ServerId& id) const {
  size_t index = 0;
  while (servers_[index].id != id) {
    ++index;
  }
  return index;
}

}  // namespace qh
