// The world of the search: the store and the servers as they fail, and when.

#include <algorithm>
#include <array>
#include <string_view>

#include "benchmarks/leases/lease_search.h"

namespace qh::leases {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStoreTimeout = seconds(2);
constexpr auto kOrderTimeout = seconds(5);

constexpr std::array<std::string_view, 3> kModels = {"small", "large",
                                                     "vision"};

// Chances for each call.
constexpr double kLostAnswer = 0.02;
constexpr double kLateWrite = 0.3;
constexpr double kLateOrder = 0.2;
constexpr double kLostOrderAnswer = 0.05;
constexpr double kFailedOrder = 0.02;
constexpr double kPauseAtOrder = 0.02;
constexpr double kLostRead = 0.02;

// Mean times between faults, over the whole system for one node.
constexpr auto kKillEvery = seconds(400);
constexpr auto kPauseEvery = seconds(150);
constexpr auto kIsolateEvery = seconds(100);
constexpr auto kDrainEvery = seconds(150);
constexpr auto kDisputeEvery = seconds(60);
constexpr auto kServerDeathEvery = seconds(300);
constexpr auto kUpgradeEvery = seconds(25);
// Over the whole system.
constexpr auto kOutageEvery = seconds(200);
constexpr auto kSlownessEvery = seconds(150);

// Late orders reach a server that checks fencing numbers up to this late.
constexpr double kLatestOrderS = 60;

}  // namespace

Duration LeaseSearch::Span(double low_s, double high_s) {
  return rng_.Between(FromSeconds(low_s), FromSeconds(high_s));
}

LeaseSearch::Node& LeaseSearch::AnyNode() {
  return *nodes_[rng_.Below(nodes_.size())];
}

const std::string& LeaseSearch::AnyShard() {
  auto shard = shards_.begin();
  std::advance(shard, static_cast<int64_t>(rng_.Below(shards_.size())));
  return shard->first;
}

// A call takes effect at `applied`, and its answer comes at `answered` or not
// at all.
void LeaseSearch::CallStore(Node& node,
                            const StoreRequest& request,
                            std::function<void(StoreReply)> reply) {
  const bool writes = request.op == StoreOp::kPut;
  const auto unanswered =
      writes ? StoreStatus::kAmbiguous : StoreStatus::kUnavailable;
  const bool reachable =
      queue_.now() >= outage_until_ && queue_.now() >= node.cut_off_until;
  if (!reachable) {
    const bool fast = rng_.Chance(0.5);
    Post(node, fast ? milliseconds(2) : Duration(kStoreTimeout),
         [reply, status = fast ? StoreStatus::kUnavailable : unanswered] {
           reply({.status = status});
         });
    return;
  }
  const bool slow = queue_.now() < slow_until_;
  const Duration there = slow ? Span(0.1, 2.5) : Span(0.001, 0.005);
  const Duration back = slow ? Span(0.1, 1.0) : Span(0.001, 0.005);
  const bool lost = !quiet() && rng_.Chance(kLostAnswer);
  const bool late = lost && rng_.Chance(kLateWrite);
  const bool in_time = !lost && there + back < kStoreTimeout;
  const uint32_t start = node.starts;
  queue_.After(late ? Span(1, 12) : there, [=, this, &node] {
    const StoreReply answer = Apply(request);
    if (in_time) {
      PostAt(node, start, queue_.now() + back,
             [reply, answer] { reply(answer); });
    }
  });
  if (!in_time) {
    Post(node, kStoreTimeout,
         [reply, unanswered] { reply({.status = unanswered}); });
  }
}

// Notes the order in which the store took the owners of a shard.
StoreReply LeaseSearch::Apply(const StoreRequest& request) {
  const StoreReply reply = store_.Apply(request);
  const bool lease = request.key.starts_with("leases/");
  if (!lease || request.op != StoreOp::kPut ||
      reply.status != StoreStatus::kOk) {
    return reply;
  }
  const auto record = LeaseRecord::Decode(request.body);
  if (record && !record.value().released) {
    const std::string name = request.key.substr(std::string("leases/").size());
    const auto owner =
        std::pair(record.value().incarnation, record.value().fencing);
    if (shards_.at(name).tenures.emplace(owner, tenures_ + 1).second) {
      ++tenures_;
    }
  }
  return reply;
}

void LeaseSearch::SendOrder(Node& node, Work& work, const OrderAction& action) {
  // The worst moment for a pause: decided, not yet sent.
  if (!quiet() && rng_.Chance(kPauseAtOrder)) {
    Pause(node, Span(1, 45));
  }
  const auto answer = [this, &node, &work, token = action.token,
                       start = node.starts](TimePoint time, OrderReply reply) {
    PostAt(node, start, time, [this, &node, &work, token, reply] {
      Advance(node, work,
              OrderEvent{.kind = OrderEventKind::kOrderReply,
                         .token = token,
                         .order = reply});
    });
  };
  Post(node, Span(0, 0.005), [=, this, &node, &work] {
    const ServerOrder& order = action.order;
    if (!Off(Guard::kPauseCheck) && LocalTime(node) >= order.send_before) {
      ++report_.orders_dropped_late;
      answer(queue_.now(), {});
      return;
    }
    ++report_.orders_sent;
    Shard& shard = shards_.at(work.lease.shard());
    SimServer& server = *shard.servers.at(order.server);
    const OrderOrigin origin = {
        Incarnation(node),
        shard.tenures.at({Incarnation(node), order.fencing})};
    const bool late = !quiet() && rng_.Chance(kLateOrder);
    const double latest_s = server.checks_fencing()
                                ? kLatestOrderS
                                : ToSeconds(OrderSettings().order_lifetime);
    const Duration there = late ? Span(0.02, latest_s) : Span(0.001, 0.02);
    const Duration back = Span(0.05, 2);
    const bool failed = !quiet() && rng_.Chance(kFailedOrder);
    const bool lost = !quiet() && rng_.Chance(kLostOrderAnswer);
    const TimePoint sent = queue_.now();
    if (lost || there + back >= kOrderTimeout) {
      answer(sent + kOrderTimeout, {});
    }
    queue_.After(there, [=, this, &server] {
      if (!server.alive()) {
        answer(sent + kOrderTimeout, {});
        return;
      }
      OrderReply reply = {OrderOutcome::kFailed};
      if (!failed) {
        reply = server.Take(order, origin, Off(Guard::kFencing));
        report_.orders_refused += reply.outcome == OrderOutcome::kRefused;
      }
      if (!lost) {
        answer(queue_.now() + back, reply);
      }
    });
  });
}

void LeaseSearch::ReadServer(Node& node,
                             Work& work,
                             const OrderAction& action) {
  const bool lost = !quiet() && rng_.Chance(kLostRead);
  Post(node, lost ? Duration(kOrderTimeout) : Span(0.002, 0.04),
       [=, this, &node, &work] {
         const Shard& shard = shards_.at(work.lease.shard());
         const SimServer& server = *shard.servers.at(action.order.server);
         Advance(node, work,
                 OrderEvent{.kind = OrderEventKind::kStateReply,
                            .token = action.token,
                            .state = {.answered = !lost && server.alive(),
                                      .state = server.state()}});
       });
}

void LeaseSearch::Repeat(Duration mean, const std::function<void()>& fault) {
  const auto wait = FromSeconds(rng_.Exponential(ToSeconds(mean)));
  queue_.After(wait, [this, mean, fault] {
    if (quiet()) {
      return;
    }
    fault();
    Repeat(mean, fault);
  });
}

void LeaseSearch::PlanFaults() {
  const auto nodes = static_cast<int64_t>(settings_.nodes);
  Repeat(kKillEvery / nodes, [this] { Kill(AnyNode()); });
  Repeat(kPauseEvery / nodes, [this] { Pause(AnyNode(), Span(0.5, 40)); });
  Repeat(kIsolateEvery / nodes, [this] { Isolate(AnyNode()); });
  Repeat(kDrainEvery / nodes, [this] { Drain(AnyNode()); });
  Repeat(kDisputeEvery / nodes, [this] { Dispute(AnyNode()); });
  Repeat(kServerDeathEvery / nodes, [this] { KillServer(); });
  Repeat(kUpgradeEvery / nodes, [this] { ChangeDesired(AnyShard()); });
  Repeat(kOutageEvery, [this] {
    ++report_.outages;
    outage_until_ = queue_.now() + Span(1, 60);
  });
  Repeat(kSlownessEvery, [this] { slow_until_ = queue_.now() + Span(5, 40); });
}

void LeaseSearch::Kill(Node& node) {
  if (!node.alive) {
    return;
  }
  ++report_.kills;
  node.alive = false;
  for (const auto& [shard, work] : node.works) {
    if (shards_.at(shard).last_owner == Incarnation(node)) {
      shards_.at(shard).orphaned_at = queue_.now();
    }
  }
  queue_.After(Span(0.5, 60), [this, &node] { StartNode(node); });
}

void LeaseSearch::Pause(Node& node, Duration time) {
  ++report_.pauses;
  node.paused_until = std::max(node.paused_until, queue_.now() + time);
}

// Cut off from its peers, and half of the times from the store too.
void LeaseSearch::Isolate(Node& node) {
  const TimePoint end = queue_.now() + Span(1, 90);
  node.isolated_until = std::max(node.isolated_until, end);
  if (rng_.Chance(0.5)) {
    node.cut_off_until = std::max(node.cut_off_until, end);
  }
  Post(node, end - queue_.now() + Span(0, 2),
       [this, &node] { FollowMap(node); });
}

void LeaseSearch::Drain(Node& node) {
  node.leaving_until = queue_.now() + Span(10, 60);
}

void LeaseSearch::Dispute(Node& node) {
  const std::string& shard = AnyShard();
  node.disputed.insert(shard);
  Post(node, Duration(1), [this, &node, shard] { Want(node, shard); });
  Post(node, Span(5, 90), [this, &node, shard] {
    node.disputed.erase(shard);
    Want(node, shard);
  });
}

void LeaseSearch::KillServer() {
  const auto shard = shards_.find(AnyShard());
  auto server = shard->second.servers.begin();
  std::advance(server,
               static_cast<int64_t>(rng_.Below(shard->second.servers.size())));
  if (!server->second->alive()) {
    return;
  }
  server->second->Die();
  TellServers(shard->first);
  queue_.After(Span(1, 60),
               [this, name = shard->first, dead = server->second.get()] {
                 dead->Start();
                 TellServers(name);
               });
}

void LeaseSearch::ChangeDesired(const std::string& name) {
  Shard& shard = shards_.at(name);
  ++shard.generation;
  for (const auto& [id, server] : shard.servers) {
    shard.targets[id] = {
        .model = std::string(kModels[rng_.Below(kModels.size())]),
        .adapter = rng_.Chance(0.5) ? "a1" : "",
        .version = std::to_string(shard.generation),
        .role = rng_.Chance(0.8) ? "serve" : "idle"};
  }
  const DesiredState desired = {.generation = shard.generation,
                                .targets = shard.targets};
  store_.Apply(
      {.op = StoreOp::kPut, .key = DesiredKey(name), .body = desired.Encode()});
}

}  // namespace qh::leases
