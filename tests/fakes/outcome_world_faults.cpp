// Faults of the world: reclaims, crashes, pauses, outages; hand-over.

#include <algorithm>

#include "fakes/outcome_world.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultsFrom = milliseconds(500);
constexpr Duration kFaultsUntil = seconds(10);
constexpr Duration kNodeNotice = seconds(3);
constexpr uint32_t kMaxAttempts = 4;
constexpr Duration kHandoverRetry = milliseconds(100);

}  // namespace

void OutcomeWorld::AddFaults() {
  const auto draw = [this](double chance, const std::function<void()>& fault) {
    if (rng_.Chance(chance)) {
      queue_.At(TimePoint(rng_.Between(kFaultsFrom, kFaultsUntil)),
                [fault](TimePoint) { fault(); });
    }
  };
  const size_t domain = rng_.Below(4);
  draw(0.3, [this] {
    KillServer(rng_.Below(servers_.size()), ServerDeath::kSudden);
  });
  draw(0.5, [this] {
    ReclaimServer(rng_.Below(servers_.size()),
                  rng_.Between(seconds(2), seconds(6)));
  });
  draw(0.4, [this] { ReclaimNode(rng_.Below(nodes_.size()), kNodeNotice); });
  draw(0.2, [this, domain] {
    for (size_t i = domain; i < servers_.size(); i += 4) {
      ReclaimServer(i, kNodeNotice);
    }
    for (size_t i = domain; i < nodes_.size(); i += 4) {
      ReclaimNode(i, kNodeNotice);
    }
  });
  draw(0.15, [this] { KillNode(rng_.Below(nodes_.size()), false); });
  for (int i = 0; i < 2; ++i) {
    draw(0.4, [this] {
      Node& node = nodes_[rng_.Below(nodes_.size())];
      node.paused_until =
          std::max(node.paused_until,
                   queue_.now() + rng_.Between(milliseconds(100), seconds(4)));
    });
  }
  for (int i = 0; i < 3; ++i) {
    draw(0.7, [this] { Suspect(rng_.Below(nodes_.size())); });
  }
  draw(0.3, [this] {
    store_->FailUntil(
        queue_.now() + rng_.Between(milliseconds(200), seconds(5)),
        rng_.Chance(0.5));
  });
}

void OutcomeWorld::Suspect(size_t member) {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    if (node == member || !rng_.Chance(0.5)) {
      continue;
    }
    nodes_[node].members.erase(member);
    ToNode(node, rng_.Between(milliseconds(200), seconds(2)),
           [this, node, member](TimePoint) {
             if (nodes_[member].alive && !nodes_[member].leaving) {
               nodes_[node].members.insert(member);
             }
           });
  }
}

void OutcomeWorld::ReclaimServer(size_t index, Duration notice) {
  Server& server = servers_[index];
  if (!server.alive || server.leaving) {
    return;
  }
  server.leaving = true;
  for (size_t node = 0; node < nodes_.size(); ++node) {
    ToNode(node, milliseconds(50), [this, node, index](TimePoint) {
      std::vector<std::string> affected;
      for (const auto& [id, session] : nodes_[node].sessions) {
        if (session.machine.server() == servers_[index].id) {
          affected.push_back(id);
        }
      }
      for (const std::string& id : affected) {
        Feed(node, id, {.kind = RequestEventKind::kServerLeaving});
      }
    });
  }
  queue_.At(queue_.now() + notice, [this, index](TimePoint) {
    KillServer(index, ServerDeath::kUnderNotice);
  });
}

void OutcomeWorld::SetMember(size_t member, bool present) {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    const Duration lag = node == member
                             ? Duration(0)
                             : rng_.Between(milliseconds(50), seconds(1));
    ToNode(node, lag, [this, node, member, present](TimePoint) {
      Node& self = nodes_[node];
      if (present) {
        self.members.insert(member);
        return;
      }
      self.members.erase(member);
      if (self.arbiter && !nodes_[member].alive) {
        self.arbiter->OnMemberDied(nodes_[member].id, queue_.now());
      }
      if (nodes_[member].alive) {
        return;
      }
      std::vector<std::string> waiting;
      for (const auto& [id, session] : self.sessions) {
        if (session.former == member) {
          waiting.push_back(id);
        }
      }
      for (const std::string& id : waiting) {
        Feed(node, id, {.kind = RequestEventKind::kRelayLost});
      }
    });
  }
}

void OutcomeWorld::ReclaimNode(size_t index, Duration notice) {
  Node& node = nodes_[index];
  const auto serving = std::count_if(
      nodes_.begin(), nodes_.end(),
      [](const Node& other) { return other.alive && !other.leaving; });
  if (!node.alive || node.leaving || serving <= 2) {
    return;
  }
  node.leaving = true;
  SetMember(index, false);
  ToNode(index, milliseconds(20), [this, index](TimePoint) {
    std::vector<std::string> open;
    for (const auto& [id, session] : nodes_[index].sessions) {
      if (!session.machine.is_final()) {
        open.push_back(id);
      }
    }
    for (const std::string& id : open) {
      HandOver(index, id);
    }
  });
  queue_.At(queue_.now() + notice,
            [this, index](TimePoint) { KillNode(index, true); });
}

void OutcomeWorld::KillNode(size_t index, bool noticed) {
  Node& node = nodes_[index];
  if (!node.alive) {
    return;
  }
  node.alive = false;
  ++node.life;
  node.deferred.clear();
  for (const auto& [id, holder] : holders_) {
    Attempt& attempt = attempts_.at(id);
    // A paused node could not use its notice.
    const bool excused = !noticed || queue_.now() < node.paused_until;
    if (holder == index && !attempt.ended && excused) {
      attempt.lost_with_node = true;
      const size_t caller = attempt.caller;
      queue_.At(queue_.now() + milliseconds(10),
                [this, caller](TimePoint) { Send(caller, false); });
    }
  }
  SetMember(index, false);
  queue_.At(queue_.now() + rng_.Between(seconds(3), seconds(6)),
            [this, index](TimePoint) {
              Node fresh = {.id = InstanceId(nodes_[index].id.value() + "+"),
                            .domain = nodes_[index].domain,
                            .life = nodes_[index].life + 1,
                            .quarantine = CrashQuarantine::Create({})};
              for (size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].alive && !nodes_[i].leaving) {
                  fresh.members.insert(i);
                  for (const auto& record : nodes_[i].quarantine.Records()) {
                    fresh.quarantine.Merge(record, queue_.now());
                  }
                }
              }
              fresh.members.insert(index);
              nodes_[index] = std::move(fresh);
              TickQuarantine(index);
              SetMember(index, true);
            });
}

void OutcomeWorld::HandOver(size_t index, const std::string& id) {
  std::vector<HandoverCandidate> candidates;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    candidates.push_back(
        {.id = nodes_[i].id,
         .domain = nodes_[i].domain,
         .serving = i != index && nodes_[i].alive && !nodes_[i].leaving});
  }
  const auto peer =
      ChooseHandoverPeer(RequestId(id), candidates, {nodes_[index].domain});
  if (!peer) {
    return;
  }
  const size_t to = IndexOf(*peer);
  nodes_[index].sessions.at(id).peer = to;
  Feed(index, id, {.kind = RequestEventKind::kMovedToPeer});
  Session& session = nodes_[index].sessions.at(id);
  if (session.granted) {
    session.granted = false;
    DropGrant(index, id, true);
  }
  const HandoverRecord record =
      HandoverRecord::FromMachine(session.machine, "", session.tokens);
  SendRecord(index, to, id, record.Encode(queue_.now()));
}

void OutcomeWorld::SendRecord(size_t index,
                              size_t peer,
                              const std::string& id,
                              const std::string& record) {
  if (holders_.at(id) != index) {
    return;
  }
  if (!nodes_[peer].alive) {
    // The peer died without an answer: it may have run the request.
    attempts_.at(id).lost_with_node = true;
    return;
  }
  Message(peer, [this, index, peer, record](TimePoint) {
    Receive(peer, index, record);
  });
  // Repeats the record until the peer has answered.
  ToNode(index, kHandoverRetry, [this, index, peer, id, record](TimePoint) {
    SendRecord(index, peer, id, record);
  });
}

void OutcomeWorld::Receive(size_t index,
                           size_t from,
                           const std::string& bytes) {
  const TimePoint now = queue_.now();
  const auto record = HandoverRecord::Decode(bytes, now).value();
  const std::string id = record.spec.id.value();
  Node& self = nodes_[index];
  if (!self.received.insert(id).second) {
    return;
  }
  holders_[id] = index;
  Session session = {.machine = record.Restore(kMaxAttempts),
                     .tokens = record.tokens};
  if (record.running) {
    session.former = from;
  }
  self.sessions.insert_or_assign(id, std::move(session));
  ToNode(index, record.spec.deadline - now, [this, index, id](TimePoint) {
    Feed(index, id, {.kind = RequestEventKind::kDeadline});
  });
  Feed(index, id, record.resume_event());
  if (self.leaving) {
    HandOver(index, id);
  }
}

void OutcomeWorld::Relay(size_t index,
                         const std::string& id,
                         bool answered,
                         const std::string& answer,
                         size_t peer) {
  const auto tell = [this, peer, id, answered, answer](TimePoint) {
    const auto it = nodes_[peer].sessions.find(id);
    if (it == nodes_[peer].sessions.end()) {
      return;
    }
    it->second.answer = answered ? answer : it->second.answer;
    Feed(peer, id,
         {.kind = answered ? RequestEventKind::kRelayedAnswer
                           : RequestEventKind::kRelayLost});
  };
  // Repeated while the node lives; the peer drops what it knows.
  for (int i = 0; i < 5; ++i) {
    ToNode(index, kHandoverRetry * i,
           [this, peer, tell](TimePoint) { Message(peer, tell); });
  }
}

}  // namespace qh
