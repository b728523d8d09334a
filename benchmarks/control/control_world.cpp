#include "benchmarks/control/control_world.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh::control {
namespace {

constexpr const char* kRegion = "region";
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
constexpr Duration kListInterval = std::chrono::seconds(2);
// A node counts as undisturbed, and its silence as a fault, after this long.
constexpr Duration kSettled = std::chrono::seconds(10);
// What was in force for this long must be known to a node that gets ready.
constexpr Duration kKnownAfter = std::chrono::seconds(2);
constexpr Duration kNoticeWatched = std::chrono::seconds(12);

}  // namespace

ControlWorld::ControlWorld(const WorldOptions& options)
    : options_(options),
      rng_(options.seed, 3),
      network_({.loss = options.loss}, options.seed),
      store_(network_),
      plan_({{kRegion, options.nodes}}) {
  store_.set_on_put([this](const StoreObject& object) {
    if (object.key == kManifestKey) {
      accepted_[Manifest::Decode(object.body).value().version] = now();
      ++measures_.accepted;
    }
  });
  for (size_t i = 0; i < options.nodes; ++i) {
    StartNode(DomainAt(i % options.domains));
  }
  SendList();
}

FailureDomainId ControlWorld::DomainAt(size_t index) const {
  return FailureDomainId("domain-" + std::to_string(index));
}

InstanceId ControlWorld::StartNode(const FailureDomainId& domain) {
  Member member;
  member.id = InstanceId("node-" + std::to_string(next_node_++));
  member.failure_domain = domain;
  member.cell = plan_.CellOf(member.id.value(), kRegion);
  member.callers = {"10.20.30." + std::to_string(next_node_ % 250), 8080};
  member.admin = {member.callers.host, 8081};
  member.peers = {member.callers.host, 8082};
  listed_.push_back(member);
  Launch(member);
  return member.id;
}

void ControlWorld::Launch(const Member& member) {
  Place& place = places_[member.id];
  place.member = member;
  place.node = std::make_shared<ControlNode>(member, options_.node, network_,
                                             store_, MakeHooks(), rng_.Next());
  place.peers_since = now();
  place.config_since = now();
  place.uncut_since = now();
  place.version_since = now();
  place.node->Start();
  MembershipEvent event;
  event.kind = MembershipEventKind::kInstancesListed;
  event.listed = ListFor(member);
  place.node->Post(event);
  for (const ControlPart& part : options_.parts) {
    part.on_start(member, network_, store_);
  }
}

ControlHooks ControlWorld::MakeHooks() {
  return {[this](ControlNode& node, uint64_t before, uint64_t after) {
            OnInForce(node, before, after);
          },
          [this](ControlNode& node) { OnReady(node); },
          [this](ControlNode& node, const Member& member) {
            OnMember(node, member);
          },
          [this](const ControlNode& node) {
            return !store_cut_.contains(node.self().failure_domain);
          }};
}

void ControlWorld::Kill(const InstanceId& id) {
  Place& place = places_.at(id);
  cpu_of_ended_us_ +=
      std::chrono::duration<double, std::micro>(place.node->cpu()).count();
  network_.Detach(id);
  places_.erase(id);
  kills_[id] = now();
  std::erase_if(listed_, [&](const Member& row) { return row.id == id; });
  for (const ControlPart& part : options_.parts) {
    part.on_kill(id);
  }
}

void ControlWorld::Restart(const InstanceId& id) {
  const Member member = places_.at(id).member;
  Kill(id);
  network_.At(now() + rng_.Between(FromSeconds(0.2), FromSeconds(3)),
              [this, member] {
                kills_.erase(member.id);
                listed_.push_back(member);
                Launch(member);
              });
}

void ControlWorld::Pause(const InstanceId& id, Duration length) {
  Place& place = places_.at(id);
  network_.Pause(id, now() + length);
  place.peers_since = std::max(place.peers_since, now() + length);
  place.config_since = std::max(place.config_since, now() + length);
}

void ControlWorld::IsolateDomain(const FailureDomainId& domain, bool isolated) {
  network_.Isolate(domain, isolated);
  for (auto& [id, place] : places_) {
    if (place.member.failure_domain == domain) {
      MarkPeers(place);
      place.uncut_since = now();
    }
  }
}

void ControlWorld::CutStore(const FailureDomainId& domain, bool cut) {
  if (cut) {
    store_cut_.insert(domain);
  } else {
    store_cut_.erase(domain);
  }
  for (auto& [id, place] : places_) {
    if (place.member.failure_domain == domain) {
      MarkPeers(place);
    }
  }
}

void ControlWorld::MarkPeers(Place& place) {
  place.peers_since = std::max(place.peers_since, now());
  place.config_since = std::max(place.config_since, now());
}

void ControlWorld::SetStoreDown(bool down) {
  store_.set_down(down);
  store_up_since_ = now();
}

void ControlWorld::NoticeNode(const InstanceId& id) {
  MembershipEvent event;
  event.kind = MembershipEventKind::kReclaimNotice;
  places_.at(id).node->Post(event);
  notices_.push_back(
      {id.value(), true, places_.at(id).member.cell, now(), {id}});
}

void ControlWorld::NoticeServer(uint32_t cell,
                                const ServerId& server,
                                bool leaving) {
  std::vector<InstanceId> told;
  for (const auto& [id, place] : places_) {
    if (place.member.cell == cell && IsClear(place, kSettled)) {
      told.push_back(id);
    }
  }
  while (told.size() > 2) {
    told.erase(told.begin() + static_cast<ptrdiff_t>(rng_.Below(told.size())));
  }
  MembershipEvent event;
  event.kind = MembershipEventKind::kServerNotice;
  event.server = {server, 0, leaving};
  for (const InstanceId& id : told) {
    places_.at(id).node->Post(event);
  }
  std::erase_if(notices_, [&](const Notice& notice) {
    return notice.id == server.value();
  });
  if (leaving && !told.empty()) {
    notices_.push_back({server.value(), false, cell, now(), told});
  }
}

bool ControlWorld::IsClear(const Place& place, Duration since) const {
  return place.peers_since <= now() - since &&
         !network_.IsPaused(place.member.id) &&
         !network_.IsIsolated(place.member.failure_domain);
}

bool ControlWorld::IsSettledObserver(const Place& place) const {
  // A pause is no excuse: a node that wakes has to know that it slept.
  return place.uncut_since <= now() - kSettled &&
         !network_.IsIsolated(place.member.failure_domain);
}

void ControlWorld::RunUntil(TimePoint end) {
  while (now() < end) {
    network_.RunUntil(std::min(end, now() + kSampleInterval));
    SampleNotices();
    if (now() >= next_list_) {
      SendList();
    }
  }
}

void ControlWorld::SendList() {
  next_list_ = now() + kListInterval;
  // The list is late: nodes get what was true one interval ago.
  const auto rows = listed_;
  network_.At(now() + kListInterval, [this, rows] {
    for (const auto& [id, place] : places_) {
      MembershipEvent event;
      event.kind = MembershipEventKind::kInstancesListed;
      for (const Member& row : rows) {
        if (row.cell == place.member.cell) {
          event.listed.push_back(row);
        }
      }
      place.node->Post(event);
    }
  });
}

std::vector<Member> ControlWorld::ListFor(const Member& self) const {
  std::vector<Member> rows;
  for (const Member& row : listed_) {
    if (row.cell == self.cell) {
      rows.push_back(row);
    }
  }
  return rows;
}

double ControlWorld::LagOf(const Place& place, uint64_t version) const {
  const auto accepted = accepted_.find(version);
  if (accepted == accepted_.end()) {
    return 0;
  }
  const TimePoint since =
      std::max({accepted->second, place.config_since, store_up_since_});
  return std::max(0.0, ToSeconds(now() - since));
}

void ControlWorld::OnInForce(const ControlNode& node,
                             uint64_t before,
                             uint64_t after) {
  Place& place = places_.at(node.id());
  place.version_since = now();
  if (after < before) {
    ++measures_.reverts;
    return;
  }
  if (store_.is_down()) {
    return;
  }
  const uint64_t first = before == 0 ? after : before + 1;
  for (uint64_t version = first; version <= after; ++version) {
    measures_.config_in_force_s.push_back(LagOf(place, version));
  }
}

void ControlWorld::OnReady(const ControlNode& node) {
  const Place& self = places_.at(node.id());
  const bool is_cut = !IsClear(self, Duration::zero());
  uint64_t known = 0;
  for (const auto& [id, place] : places_) {
    const bool same_domain =
        place.member.failure_domain == self.member.failure_domain;
    if (place.member.cell != self.member.cell || !place.node->is_ready() ||
        !IsClear(place, kKnownAfter) || (is_cut && !same_domain) ||
        place.version_since > now() - kKnownAfter) {
      continue;
    }
    known = std::max(known, place.node->tracker().version());
  }
  measures_.reverts += node.tracker().version() < known;
}

void ControlWorld::OnMember(const ControlNode& node, const Member& member) {
  const Place& self = places_.at(node.id());
  if (member.state != MemberState::kDead) {
    return;
  }
  const auto killed = kills_.find(member.id);
  if (killed != kills_.end()) {
    if (self.peers_since <= killed->second) {
      measures_.death_detect_s.push_back(ToSeconds(now() - killed->second));
    }
    return;
  }
  const auto target = places_.find(member.id);
  if (target != places_.end() && IsClear(target->second, kSettled) &&
      IsSettledObserver(self)) {
    ++measures_.false_deaths;
  }
}

void ControlWorld::SampleNotices() {
  std::erase_if(notices_, [&](const Notice& notice) {
    return now() - notice.at > kNoticeWatched;
  });
  for (const Notice& notice : notices_) {
    SampleNotice(notice);
  }
}

void ControlWorld::SampleNotice(const Notice& notice) {
  const bool told_lives = std::any_of(
      notice.told.begin(), notice.told.end(), [&](const InstanceId& id) {
        const auto place = places_.find(id);
        return place != places_.end() &&
               place->second.peers_since < notice.at &&
               IsClear(place->second, Duration::zero());
      });
  if (!told_lives) {
    return;
  }
  for (const auto& [id, place] : places_) {
    if (place.member.cell != notice.cell || !place.node->is_ready() ||
        !IsClear(place, Duration::zero()) || id.value() == notice.id) {
      continue;
    }
    const Membership& membership = place.node->membership();
    bool knows = true;
    if (notice.is_node) {
      for (const Member& member : membership.members()) {
        knows = knows && (member.id.value() != notice.id ||
                          member.state >= MemberState::kLeaving);
      }
    } else {
      knows = membership.IsLeaving(ServerId(notice.id));
    }
    if (!knows) {
      measures_.work_after_leaving_s =
          std::max(measures_.work_after_leaving_s,
                   ToSeconds(now() - std::max(notice.at, place.peers_since)));
    }
  }
}

void ControlWorld::Finish() {
  const uint64_t newest = accepted_.empty() ? 0 : accepted_.rbegin()->first;
  for (const auto& [id, place] : places_) {
    measures_.not_ready += !place.node->is_ready();
    if (place.node->tracker().version() < newest) {
      measures_.config_in_force_s.push_back(
          LagOf(place, place.node->tracker().version() + 1));
    }
    for (const Member& member : place.node->membership().members()) {
      const auto other = places_.find(member.id);
      if (member.state == MemberState::kDead) {
        measures_.unhealed += other != places_.end();
      } else if (kills_.contains(member.id)) {
        measures_.death_detect_s.push_back(
            ToSeconds(now() - kills_.at(member.id)));
      }
    }
    for (const auto& [other_id, other] : places_) {
      const auto members = place.node->membership().members();
      const bool known = std::any_of(
          members.begin(), members.end(),
          [&id = other_id](const Member& row) { return row.id == id; });
      measures_.unhealed += other.member.cell == place.member.cell && !known;
    }
  }
}

void ControlWorld::ResetCosts() {
  network_.ResetTraffic();
  store_.ResetCounts();
  cpu_of_ended_us_ = 0;
  for (const auto& [id, place] : places_) {
    place.node->ResetCpu();
  }
}

std::vector<InstanceId> ControlWorld::live_ids() const {
  std::vector<InstanceId> ids;
  for (const auto& [id, place] : places_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<InstanceId> ControlWorld::live_ids(
    const FailureDomainId& domain) const {
  std::vector<InstanceId> ids;
  for (const auto& [id, place] : places_) {
    if (place.member.failure_domain == domain) {
      ids.push_back(id);
    }
  }
  return ids;
}

const ControlNode* ControlWorld::Find(const InstanceId& id) const {
  const auto found = places_.find(id);
  return found == places_.end() ? nullptr : found->second.node.get();
}

std::vector<uint32_t> ControlWorld::cells() const {
  std::set<uint32_t> cells;
  for (const auto& [id, place] : places_) {
    cells.insert(place.member.cell);
  }
  return {cells.begin(), cells.end()};
}

double ControlWorld::cpu_us() const {
  double total = cpu_of_ended_us_;
  for (const auto& [id, place] : places_) {
    total +=
        std::chrono::duration<double, std::micro>(place.node->cpu()).count();
  }
  return total;
}

size_t ControlWorld::state_bytes() const {
  size_t total = 0;
  for (const auto& [id, place] : places_) {
    total += place.node->state_bytes();
  }
  return total / std::max<size_t>(1, places_.size());
}

}  // namespace qh::control
