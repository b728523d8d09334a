#include "benchmarks/leases/lease_search.h"

#include <algorithm>

namespace qh::leases {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTick = milliseconds(500);
constexpr auto kMemberUpdate = seconds(1);
constexpr auto kHysteresis = seconds(10);
constexpr auto kSuspicion = seconds(3);
// The true time starts here, so that local clocks never run below zero.
constexpr TimePoint kStart{seconds(100'000)};
// Guard off: a holder that never stops by itself.
constexpr auto kForever = std::chrono::hours(1'000);
constexpr double kMaxDrift = 0.002;

}  // namespace

LeaseSearch::LeaseSearch(const SearchSettings& settings)
    : settings_(settings),
      lease_settings_(LeaseSettings::ForFleet(settings.nodes)),
      rng_(settings.seed),
      quiet_from_(kStart + settings.faulty),
      map_(ShardMap::Create({{"servers", settings.nodes}}, kHysteresis)
               .value()) {
  if (Off(Guard::kSelfStop)) {
    lease_settings_.margin = -kForever;
  }
  if (Off(Guard::kPauseCheck)) {
    lease_settings_.pause_limit = kForever;
  }
  if (Off(Guard::kWaitOut)) {
    order_settings_.order_lifetime = Duration::zero();
    order_settings_.clock_margin = Duration::zero();
  }
  store_.set_conditional(!Off(Guard::kConditionalWrites));
  queue_.RunUntil(kStart);
  for (uint32_t i = 0; i < settings_.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->id = InstanceId("n" + std::to_string(i));
    node->rate = 1 + kMaxDrift * (2 * rng_.Uniform() - 1);
    node->offset = Span(0, 1e6);
    nodes_.push_back(std::move(node));
  }
}

TimePoint LeaseSearch::LocalTime(const Node& node) const {
  const Duration elapsed = queue_.now() - kStart;
  const auto local =
      static_cast<int64_t>(static_cast<double>(elapsed.count()) * node.rate);
  return kStart + node.offset + Duration(local);
}

std::string LeaseSearch::Incarnation(const Node& node) const {
  return node.id.value() + "." + std::to_string(node.starts);
}

void LeaseSearch::Post(Node& node, Duration wait, std::function<void()> run) {
  PostAt(node, node.starts, queue_.now() + wait, std::move(run));
}

void LeaseSearch::PostAt(Node& node,
                         uint32_t start,
                         TimePoint time,
                         std::function<void()> run) {
  queue_.At(time, [this, &node, start, run = std::move(run)]() mutable {
    if (!node.alive || node.starts != start) {
      return;
    }
    if (node.paused_until > queue_.now()) {
      PostAt(node, start, node.paused_until, std::move(run));
      return;
    }
    run();
  });
}

SearchReport LeaseSearch::Run() {
  for (const std::string& name : [&] {
         std::vector<std::string> names;
         for (uint32_t i = 0; i < settings_.nodes; ++i) {
           names.push_back("servers-" + std::to_string(i));
         }
         return names;
       }()) {
    Shard& shard = shards_[name];
    for (uint32_t i = 0; i < settings_.servers_per_shard; ++i) {
      shard.servers[ServerId(name + "-s" + std::to_string(i))] =
          std::make_unique<SimServer>(i % 2 == 0);
    }
    ChangeDesired(name);
  }
  UpdateMembers();
  for (auto& node : nodes_) {
    StartNode(*node);
  }
  PlanFaults();
  queue_.RunUntil(quiet_from_ + settings_.quiet);
  return Report();
}

void LeaseSearch::StartNode(Node& node) {
  ++node.starts;
  node.alive = true;
  node.paused_until = TimePoint();
  node.works.clear();
  node.disputed.clear();
  for (const std::string& shard : map_.ShardsOf(node.id)) {
    Post(node, Span(0, 3), [this, &node, shard] { Want(node, shard); });
  }
  TickNode(node, node.starts);
}

void LeaseSearch::TickNode(Node& node, uint32_t start) {
  Post(node, kTick, [this, &node, start] {
    for (auto& [shard, work] : node.works) {
      Advance(node, *work, LeaseEvent{.kind = LeaseEventKind::kTick});
      Advance(node, *work, OrderEvent{.kind = OrderEventKind::kTick});
    }
    TickNode(node, start);
  });
}

LeaseSearch::Work& LeaseSearch::WorkOf(Node& node, const std::string& shard) {
  auto& work = node.works[shard];
  if (!work) {
    work = std::make_unique<Work>(
        Work{Lease::Create(shard, node.id.value(), Incarnation(node),
                           lease_settings_, rng_.Next()),
             OrderController::Create(shard, order_settings_, rng_.Next())});
    Advance(node, *work,
            OrderEvent{.kind = OrderEventKind::kServers,
                       .servers = PresentServers(shard)});
  }
  return *work;
}

// Follows the shard map as it is now.
void LeaseSearch::Want(Node& node, const std::string& shard) {
  const bool owner =
      map_.OwnerOf(shard) == node.id || node.disputed.contains(shard);
  if (!owner && !node.works.contains(shard)) {
    return;
  }
  Work& work = WorkOf(node, shard);
  Advance(node, work,
          LeaseEvent{.kind = owner ? LeaseEventKind::kWant
                                   : LeaseEventKind::kRelease});
}

void LeaseSearch::FollowMap(Node& node) {
  std::vector<std::string> shards = map_.ShardsOf(node.id);
  for (const auto& [shard, work] : node.works) {
    shards.push_back(shard);
  }
  for (const std::string& shard : shards) {
    Want(node, shard);
  }
}

void LeaseSearch::Advance(Node& node, Work& work, const LeaseEvent& event) {
  const std::string& shard = work.lease.shard();
  for (const LeaseAction& action : work.lease.Advance(event, LocalTime(node))) {
    if (action.kind == LeaseActionKind::kAcquired) {
      OnAcquired(node, shard);
    }
    if (action.kind != LeaseActionKind::kStore) {
      continue;
    }
    CallStore(node, action.request,
              [this, &node, &work, token = action.token](StoreReply reply) {
                Advance(node, work,
                        LeaseEvent{.kind = LeaseEventKind::kReply,
                                   .token = token,
                                   .reply = std::move(reply)});
              });
  }
}

void LeaseSearch::OnAcquired(Node& node, const std::string& name) {
  Shard& shard = shards_.at(name);
  const std::string incarnation = Incarnation(node);
  if (!shard.last_owner.empty() && shard.last_owner != incarnation) {
    ++report_.takeovers;
    if (shard.orphaned_at) {
      takeover_s_.push_back(ToSeconds(queue_.now() - *shard.orphaned_at));
    }
  }
  shard.orphaned_at.reset();
  shard.last_owner = incarnation;
}

void LeaseSearch::Advance(Node& node, Work& work, const OrderEvent& event) {
  const TimePoint now = LocalTime(node);
  const auto actions =
      work.controller.Advance(event, work.lease.View(now), now);
  for (const OrderAction& action : actions) {
    Act(node, work, action);
  }
}

void LeaseSearch::Act(Node& node, Work& work, const OrderAction& action) {
  switch (action.kind) {
    case OrderActionKind::kStore:
      CallStore(node, action.request,
                [this, &node, &work, token = action.token](StoreReply reply) {
                  Advance(node, work,
                          OrderEvent{.kind = OrderEventKind::kStoreReply,
                                     .token = token,
                                     .store = std::move(reply)});
                });
      return;
    case OrderActionKind::kSendOrder:
      SendOrder(node, work, action);
      return;
    case OrderActionKind::kReadServer:
      ReadServer(node, work, action);
      return;
    case OrderActionKind::kStepDown: {
      Advance(node, work,
              LeaseEvent{.kind = LeaseEventKind::kRelease,
                         .fencing_floor = action.fencing_floor});
      Post(node, Span(1, 3),
           [this, &node, shard = work.lease.shard()] { Want(node, shard); });
      return;
    }
    case OrderActionKind::kUpgradeStarted:
      ++report_.upgrades_started;
      return;
    case OrderActionKind::kUpgradeCompleted:
      ++report_.upgrades_completed;
      return;
  }
}

void LeaseSearch::UpdateMembers() {
  std::vector<InstanceId> members;
  const TimePoint now = queue_.now();
  for (const auto& node : nodes_) {
    // A pause longer than this is taken for a death.
    const bool paused = node->paused_until > now + kSuspicion;
    if (node->alive && !paused && node->isolated_until <= now &&
        node->leaving_until <= now) {
      members.push_back(node->id);
    }
  }
  std::map<std::string, InstanceId> before;
  for (const auto& [name, shard] : shards_) {
    before[name] = map_.OwnerOf(name);
  }
  map_.Update(members, now);
  for (const auto& [name, owner] : before) {
    if (map_.OwnerOf(name) == owner) {
      continue;
    }
    for (auto& node : nodes_) {
      const bool told = node->isolated_until <= now;
      if (told && (node->id == owner || node->id == map_.OwnerOf(name))) {
        Post(*node, Span(0, 5),
             [this, node = node.get(), shard = name] { Want(*node, shard); });
      }
    }
  }
  queue_.After(kMemberUpdate, [this] { UpdateMembers(); });
}

std::vector<FleetServer> LeaseSearch::PresentServers(
    const std::string& shard) const {
  std::vector<FleetServer> present;
  for (const auto& [id, server] : shards_.at(shard).servers) {
    if (server->alive()) {
      present.push_back({id, server->checks_fencing()});
    }
  }
  return present;
}

void LeaseSearch::TellServers(const std::string& shard) {
  for (auto& node : nodes_) {
    if (!node->works.contains(shard)) {
      continue;
    }
    Post(*node, Span(0, 3), [this, node = node.get(), shard] {
      Advance(*node, WorkOf(*node, shard),
              OrderEvent{.kind = OrderEventKind::kServers,
                         .servers = PresentServers(shard)});
    });
  }
}

SearchReport LeaseSearch::Report() {
  const double run_s = ToSeconds(settings_.faulty + settings_.quiet);
  report_.store_writes_per_s = static_cast<double>(store_.writes()) / run_s;
  report_.store_reads_per_s = static_cast<double>(store_.reads()) / run_s;
  report_.watches = store_.watches();
  std::sort(takeover_s_.begin(), takeover_s_.end());
  if (!takeover_s_.empty()) {
    report_.takeover_s_p99 = takeover_s_[(takeover_s_.size() - 1) * 99 / 100];
  }
  for (const auto& [name, shard] : shards_) {
    const StoreObject* object = store_.Find(IntentKey(name));
    const auto intent = object ? UpgradeIntent::Decode(object->body)
                               : UpgradeIntent::Decode("");
    bool reached = intent && intent.value().completed &&
                   intent.value().generation == shard.generation;
    for (const auto& [id, server] : shard.servers) {
      reached = reached && server->state() == shard.targets.at(id);
      (server->checks_fencing() ? report_.two_owner_orders_checked
                                : report_.two_owner_orders_unchecked) +=
          server->two_owner_orders();
    }
    report_.stuck_upgrades += reached ? 0 : 1;
  }
  return report_;
}

}  // namespace qh::leases
