#include "tests/qh_gateway/rollout_simulation.h"

#include <algorithm>
#include <cmath>

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
constexpr Duration kStep = milliseconds(50);
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kRunAfterDeadline = seconds(8);
constexpr Duration kOrderAt = seconds(4);
constexpr Duration kNewServersAt = seconds(6);
constexpr Duration kDrainAfterRollback = seconds(3);
constexpr Duration kColdTime = milliseconds(1'200);
constexpr size_t kMaxNodesWithoutRelays = 16;
constexpr size_t kDomains = 3;
constexpr const char* kService = "svc";
// Bad responses after which a version must be rolled back in time, see
// RolloutBounds::rollback_time.
constexpr uint64_t kBadCount = 50;

struct StoredOrder {
  uint64_t revision = 0;
  std::optional<RolloutStatus> status;
};

struct Store {
  uint64_t epoch = 1;
  uint64_t revision = 10;
  bool up = true;
  std::optional<StoredOrder> order;
};

// A write on its way to the store.
struct PendingWrite {
  TimePoint arrives;
  uint64_t epoch = 0;
  RolloutWrite write;
};

struct Message {
  TimePoint arrives;
  std::string source;
  bool covers_all = false;
  std::string incarnation;
  RolloutReports reports;
};

struct OpenAttempt {
  size_t node = 0;
  uint64_t process = 0;
  std::string server;
  bool to_new = false;
  bool fails = false;
  bool is_bad = false;
  TimePoint sent;
  TimePoint ends;
  RolloutAttempt attempt;
};

struct Node {
  std::unique_ptr<ServerDirectory> directory;
  std::unique_ptr<RolloutBook> book;
  uint64_t process = 0;
  TimePoint started;
  bool listed = false;
  uint64_t seen_epoch = 0;
  uint64_t seen_revision = 0;
  // Down, or cut off from its peers, until then.
  TimePoint down_until;
  TimePoint cut_until;
  TimePoint last_report;
  std::deque<Message> inbox;
  // Last reports of other sources, for a relay.
  std::map<std::string, std::pair<TimePoint, RolloutReports>> heard;
  // A status write of this node that is being prepared.
  TimePoint no_write_before;
  TimePoint read_store_at;
};

struct Server {
  std::string id;
  bool is_new = false;
  bool stopped = false;
  std::optional<TimePoint> first_used;
  std::deque<TimePoint> recent;
};

class Simulation {
 public:
  explicit Simulation(const RolloutScenario& scenario)
      : scenario_(scenario), rng_(scenario.seed, 7), now_(kStart) {
    for (size_t i = 0; i < scenario.old_servers; ++i) {
      servers_.push_back({.id = "old" + std::to_string(i)});
    }
    nodes_.resize(scenario.nodes);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      StartNode(i);
    }
    order_at_ = kStart + kOrderAt;
    deadline_ = order_at_ + scenario.duration;
    PlanDisruptions();
  }

  RolloutOutcome Run() {
    while (now_ < deadline_ + kRunAfterDeadline) {
      now_ += kStep;
      Disrupt();
      UpdateWorld();
      DeliverWrites();
      EndAttempts();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (IsUp(i)) {
          TickNode(i);
        }
      }
      SendRequests();
    }
    Finish();
    return outcome_;
  }

 private:
  bool IsUp(size_t node) const { return now_ >= nodes_[node].down_until; }

  void StartNode(size_t index) {
    Node& node = nodes_[index];
    node = Node();
    node.directory = std::make_unique<ServerDirectory>(
        [this, index](ServerChange, const ServerRecord& server) {
          nodes_[index].book->OnServer(server, nodes_[index].listed, now_);
        },
        seconds(5));
    node.book = std::make_unique<RolloutBook>(RolloutBounds(), *node.directory,
                                              rng_.Next());
    node.process = ++processes_;
    node.started = now_;
    // Processes don't report in step.
    node.last_report =
        now_ - Duration(static_cast<int64_t>(
                   rng_.Uniform() *
                   static_cast<double>(Duration(kReportInterval).count())));
    for (const Server& server : servers_) {
      AddServer(node, server);
    }
    node.listed = true;
  }

  void AddServer(Node& node, const Server& server) {
    if (server.stopped) {
      return;
    }
    ServerRecord record;
    record.id = ServerId(server.id);
    record.service = kService;
    record.version = server.is_new ? "v2" : "v1";
    record.started_ms = server.is_new ? 2 : 1;
    node.directory->OnServer(record, now_);
  }

  // Each disruption has its own time, anywhere from the order on.
  void PlanDisruptions() {
    holder_ = rng_.Below(nodes_.size());
    if (!scenario_.disrupted) {
      return;
    }
    const Duration span = scenario_.duration + seconds(4);
    const auto at = [&] {
      return order_at_ - seconds(1) + rng_.Between(milliseconds(1), span);
    };
    const size_t changes = rng_.Below(3);
    for (size_t i = 0; i < changes; ++i) {
      holder_changes_.push_back(at());
    }
    const size_t restarts = rng_.Below(3);
    for (size_t i = 0; i < restarts; ++i) {
      restarts_.push_back(at());
    }
    if (rng_.Chance(0.5)) {
      cuts_.push_back(at());
    }
    if (rng_.Chance(0.4)) {
      outage_at_ = at();
      outage_until_ = *outage_at_ + rng_.Between(seconds(1), seconds(6));
    }
    if (rng_.Chance(0.3)) {
      copy_at_ = at();
      restore_at_ = *copy_at_ + rng_.Between(milliseconds(100), seconds(6));
    }
  }

  template <typename Hook>
  void Due(std::vector<TimePoint>& times, const Hook& hook) {
    const auto due = std::remove_if(times.begin(), times.end(),
                                    [&](TimePoint at) { return at <= now_; });
    const auto count = times.end() - due;
    times.erase(due, times.end());
    for (int64_t i = 0; i < count; ++i) {
      hook();
    }
  }

  void Disrupt() {
    Due(holder_changes_, [this] {
      holder_ = rng_.Below(nodes_.size());
      // The next holder waits until the lease has run out.
      holder_from_ = now_ + seconds(4);
    });
    Due(restarts_, [this] {
      const size_t node = rng_.Below(nodes_.size());
      for (OpenAttempt& open : open_) {
        open.ends = open.node == node ? now_ : open.ends;
      }
      StartNode(node);
      nodes_[node].down_until = now_ + seconds(2);
      if (node == holder_) {
        holder_ = rng_.Below(nodes_.size());
        holder_from_ = now_ + seconds(4);
      }
    });
    Due(cuts_, [this] {
      nodes_[rng_.Below(nodes_.size())].cut_until =
          now_ + rng_.Between(seconds(1), seconds(5));
    });
    store_.up = !outage_at_ || now_ < *outage_at_ || now_ >= outage_until_;
    if (copy_at_ && now_ >= *copy_at_) {
      copy_ = store_;
      copy_at_.reset();
    }
    if (copy_ && now_ >= restore_at_) {
      const uint64_t epoch = store_.epoch + 1;
      // A copy from before the order would take the order away.
      if (copy_->order) {
        store_ = *copy_;
        store_.epoch = epoch;
      }
      copy_.reset();
    }
  }

  void UpdateWorld() {
    if (now_ >= order_at_ && !ordered_) {
      ordered_ = true;
      store_.order = StoredOrder{.revision = ++store_.revision};
    }
    if (now_ >= kStart + kNewServersAt && !new_servers_) {
      new_servers_ = true;
      const size_t first = servers_.size();
      for (size_t i = 0; i < scenario_.old_servers; ++i) {
        servers_.push_back({.id = "new" + std::to_string(i), .is_new = true});
      }
      for (Node& node : nodes_) {
        for (size_t i = first; i < servers_.size(); ++i) {
          AddServer(node, servers_[i]);
        }
      }
    }
    if (outcome_.state == "rolled_back" &&
        now_ >= ended_at_ + kDrainAfterRollback) {
      StopServers(true);
    }
  }

  void StopServers(bool of_new) {
    for (Server& server : servers_) {
      if (server.is_new == of_new && !server.stopped) {
        server.stopped = true;
        for (Node& node : nodes_) {
          node.directory->OnRemoved(ServerId(server.id), false, now_);
        }
      }
    }
  }

  void DeliverWrites() {
    std::erase_if(writes_, [&](const PendingWrite& pending) {
      if (pending.arrives > now_) {
        return false;
      }
      // A call without a revision replaces any status.
      const bool allowed = store_.up && store_.order &&
                           (pending.write.revision == 0 ||
                            (pending.epoch == store_.epoch &&
                             pending.write.revision == store_.order->revision));
      if (allowed) {
        ApplyWrite(pending.write.status);
      }
      return true;
    });
  }

  void ApplyWrite(const RolloutStatus& status) {
    const std::string state(ToName(status.state));
    const bool is_final = status.state != StoredRolloutState::kActive;
    const bool was_final =
        outcome_.state == "completed" || outcome_.state == "rolled_back";
    if (was_final && state != outcome_.state) {
      Violate("the status went from " + outcome_.state + " to " + state);
    }
    store_.order->status = status;
    store_.order->revision = ++store_.revision;
    outcome_.state = state;
    outcome_.reason = status.reason;
    if (is_final && !was_final) {
      ended_at_ = now_;
      outcome_.ended = now_ - order_at_;
    }
    if (state == "completed" && !was_final) {
      const auto open = std::count_if(
          open_.begin(), open_.end(),
          [](const OpenAttempt& attempt) { return !attempt.to_new; });
      if (open > 0) {
        Violate("completed with " + std::to_string(open) +
                " requests open at old servers");
      }
      StopServers(false);
    }
  }

  void EndAttempts() {
    std::erase_if(open_, [&](OpenAttempt& open) {
      if (open.ends > now_) {
        return false;
      }
      if (open.is_bad && ++outcome_.bad_responses == kBadCount) {
        fiftieth_bad_ = now_;
      }
      Node& node = nodes_[open.node];
      if (node.process == open.process) {
        const ResponseTime time{.first_byte = open.ends - open.sent,
                                .expected = milliseconds(100)};
        if (!open.fails) {
          node.book->OnStarted(open.attempt, time);
        }
        node.book->OnEnded(
            open.attempt,
            open.fails ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered,
            time);
      }
      return true;
    });
  }

  void TickNode(size_t index) {
    Node& node = nodes_[index];
    ReadStore(index, node);
    while (!node.inbox.empty() && node.inbox.front().arrives <= now_) {
      const Message message = std::move(node.inbox.front());
      node.inbox.pop_front();
      node.book->OnPeer(message.source, message.covers_all, message.incarnation,
                        message.reports, now_);
      node.heard[message.source] = {now_, message.reports};
    }
    const bool has_peers = nodes_.size() > 1 && now_ >= node.cut_until;
    if (has_peers && now_ - node.started > seconds(1)) {
      node.book->OnReadyPeer();
    }
    const bool leads = index == holder_ && now_ >= holder_from_ && store_.up &&
                       now_ >= node.cut_until;
    node.book->OnTick(nodes_.size(), leads, now_ - node.started, now_);
    node.book->TakeSteps();
    if (leads) {
      Write(node);
    }
    if (now_ - node.last_report >= kReportInterval) {
      node.last_report = now_;
      SendReports(index, node);
    }
  }

  bool FollowsStore(size_t index) const {
    return nodes_.size() <= kMaxNodesWithoutRelays || index < kDomains ||
           index == holder_;
  }

  StoredRollout Object() const {
    const StoredOrder& order = *store_.order;
    uint64_t revision = order.revision;
    if (order.status && order.status->order_revision > 0) {
      revision = order.status->order_revision;
    }
    return {.name = kService,
            .revision = order.revision,
            .order = {.service = kService,
                      .to = "v2",
                      .duration = scenario_.duration,
                      .version = {store_.epoch, revision}},
            .status = order.status,
            .mistake = {}};
  }

  // The watch's answer arrives with a delay that differs from node to node.
  void ReadStore(size_t index, Node& node) {
    if (!FollowsStore(index) || !store_.up || now_ < node.read_store_at) {
      return;
    }
    node.read_store_at = now_ + rng_.Between(milliseconds(100), seconds(1));
    if (!store_.order) {
      node.book->OnList({}, now_);
      return;
    }
    const bool changed = node.seen_epoch != store_.epoch ||
                         node.seen_revision != store_.order->revision;
    if (changed) {
      node.seen_epoch = store_.epoch;
      node.seen_revision = store_.order->revision;
      node.book->OnObject(Object(), now_);
    }
  }

  void Write(Node& node) {
    if (now_ < node.no_write_before || !store_.order ||
        !node.book->NextWrite(now_)) {
      return;
    }
    node.book->OnObject(Object(), now_);
    node.no_write_before = now_ + milliseconds(300);
    if (const auto write = node.book->NextWrite(now_)) {
      Duration delay = rng_.Between(milliseconds(1), milliseconds(100));
      if (scenario_.late_writes && rng_.Chance(0.5)) {
        delay = rng_.Between(seconds(1), seconds(8));
      }
      writes_.push_back({now_ + delay, store_.epoch, *write});
    }
  }

  void Send(size_t from, size_t to, Message message) {
    const bool lost = rng_.Chance(scenario_.disrupted ? 0.05 : 0.01);
    if (from == to || lost || !IsUp(to) || now_ < nodes_[from].cut_until ||
        now_ < nodes_[to].cut_until) {
      return;
    }
    message.arrives = now_ + rng_.Between(milliseconds(1), milliseconds(30));
    nodes_[to].inbox.push_back(std::move(message));
  }

  void SendReports(size_t index, Node& node) {
    const RolloutReports own = node.book->Report(now_);
    const Message message{.source = "n" + std::to_string(index),
                          .incarnation = std::to_string(node.process),
                          .reports = own};
    if (nodes_.size() <= kMaxNodesWithoutRelays) {
      for (size_t to = 0; to < nodes_.size(); ++to) {
        Send(index, to, message);
      }
      return;
    }
    // The first node of each domain is its relay.
    const size_t domain = index % kDomains;
    if (index >= kDomains) {
      Send(index, domain, message);
      return;
    }
    for (size_t relay = 0; relay < kDomains; ++relay) {
      Send(index, relay,
           {.source = "d" + std::to_string(domain),
            .reports = SumAtRelay(node, own, "n", "")});
    }
    for (size_t to = domain + kDomains; to < nodes_.size(); to += kDomains) {
      Send(index, to,
           {.source = "all",
            .covers_all = true,
            .reports = SumAtRelay(node, own, "", "n" + std::to_string(to))});
    }
  }

  // Sums up what a relay heard of sources whose names begin with `prefix`.
  RolloutReports SumAtRelay(const Node& node,
                            const RolloutReports& own,
                            const std::string& prefix,
                            const std::string& without) const {
    RolloutReports sum = own;
    for (const auto& [source, heard] : node.heard) {
      if (source.starts_with(prefix) && source != without) {
        AddReports(sum, heard.second, now_ - heard.first < milliseconds(1'200));
      }
    }
    return sum;
  }

  void SendRequests() {
    const double expected = scenario_.rate * ToSeconds(kStep);
    auto count = static_cast<size_t>(expected);
    count += rng_.Chance(expected - std::floor(expected)) ? 1 : 0;
    for (size_t i = 0; i < count; ++i) {
      const size_t node = rng_.Below(nodes_.size());
      if (IsUp(node)) {
        SendRequest(node);
      }
    }
  }

  void SendRequest(size_t index) {
    Node& node = nodes_[index];
    const double draw = rng_.Uniform();
    const std::string route = draw < 0.7 ? "a" : draw < 0.95 ? "b" : "c";
    node.book->OnRequest(kService, route, now_);
    for (const ServerFilter& eligible :
         node.book->Eligible(kService, route, std::nullopt, false, now_)) {
      std::vector<Server*> servers;
      for (Server& server : servers_) {
        const ServerRecord* record = node.directory->Find(ServerId(server.id));
        if (record != nullptr && (!eligible || eligible(*record))) {
          servers.push_back(&server);
        }
      }
      if (servers.empty()) {
        continue;
      }
      Server& server = *servers[rng_.Below(servers.size())];
      if (auto attempt = node.book->TakeSend(
              kService, server.is_new ? "v2" : "v1", route, true, now_)) {
        OnSent(index, server, route, std::move(*attempt));
        return;
      }
    }
    ++outcome_.refused;
  }

  void OnSent(size_t index,
              Server& server,
              const std::string& route,
              RolloutAttempt attempt) {
    const bool in_window = now_ >= order_at_ && now_ < deadline_;
    outcome_.requests_until_deadline += in_window ? 1 : 0;
    outcome_.exposed_until_deadline += in_window && server.is_new ? 1 : 0;
    if (server.is_new && fiftieth_bad_ && now_ > *fiftieth_bad_ + seconds(5) &&
        IsBad(scenario_.kind)) {
      Violate("sent to the new version 5 s after the 50th bad response");
    }
    if (!server.is_new && outcome_.state == "completed") {
      Violate("sent to an old server after completed");
    }
    server.first_used = server.first_used.value_or(now_);
    server.recent.push_back(now_);
    while (now_ - server.recent.front() > milliseconds(500)) {
      server.recent.pop_front();
    }
    double ms = 60 + 80 * rng_.Uniform();
    // Some responses are streams.
    ms *= route == "b" ? 8 : 1;
    bool fails = rng_.Chance(0.005);
    bool is_slow = false;
    if (server.is_new) {
      fails = fails || Fails(server, route);
      is_slow = IsSlow(server, route);
      ms *= is_slow ? 4 : 1;
    }
    open_.push_back(
        {.node = index,
         .process = nodes_[index].process,
         .server = server.id,
         .to_new = server.is_new,
         .fails = fails,
         .is_bad = server.is_new && IsBad(scenario_.kind) && (fails || is_slow),
         .sent = now_,
         .ends = now_ + FromSeconds(ms / 1'000),
         .attempt = std::move(attempt)});
  }

  bool Fails(const Server& server, const std::string& route) {
    const Duration age = now_ - order_at_;
    switch (scenario_.kind) {
      case VersionKind::kBadAtOnce:
        return rng_.Chance(0.3);
      case VersionKind::kBadLate:
        return age > seconds(6) && rng_.Chance(0.4);
      case VersionKind::kBadUnderLoad: {
        const double old_server_rate =
            scenario_.rate / static_cast<double>(scenario_.old_servers);
        return static_cast<double>(server.recent.size()) >
                   0.6 * 0.5 * old_server_rate &&
               rng_.Chance(0.6);
      }
      case VersionKind::kBadOnOneRoute:
        return route == "c" && rng_.Chance(0.7);
      case VersionKind::kFlapping:
        return age % Duration(seconds(3)) < milliseconds(1'500) &&
               rng_.Chance(0.5);
      case VersionKind::kGood:
      case VersionKind::kCold:
      case VersionKind::kSlow:
      case VersionKind::kSlowOnOneRoute:
        return false;
    }
    return false;
  }

  bool IsSlow(const Server& server, const std::string& route) const {
    switch (scenario_.kind) {
      case VersionKind::kSlow:
        return true;
      case VersionKind::kSlowOnOneRoute:
        return route == "c";
      case VersionKind::kCold:
        return now_ - *server.first_used < kColdTime;
      default:
        return false;
    }
  }

  void Violate(const std::string& what) {
    if (std::find(outcome_.violations.begin(), outcome_.violations.end(),
                  what) == outcome_.violations.end()) {
      outcome_.violations.push_back(what);
    }
  }

  void Finish() {
    const double allowed =
        0.1 * static_cast<double>(outcome_.requests_until_deadline) + 50;
    if (static_cast<double>(outcome_.exposed_until_deadline) > allowed) {
      Violate("exposed to " + std::to_string(outcome_.exposed_until_deadline) +
              " requests");
    }
    if (IsBad(scenario_.kind) && outcome_.state == "completed") {
      Violate("a bad version was completed");
    }
  }

  RolloutScenario scenario_;
  Rng rng_;
  TimePoint now_;
  TimePoint order_at_;
  TimePoint deadline_;
  bool ordered_ = false;
  bool new_servers_ = false;
  std::vector<Server> servers_;
  std::vector<Node> nodes_;
  uint64_t processes_ = 0;
  Store store_;
  std::vector<PendingWrite> writes_;
  std::vector<OpenAttempt> open_;
  size_t holder_ = 0;
  TimePoint holder_from_;
  std::vector<TimePoint> holder_changes_;
  std::vector<TimePoint> restarts_;
  std::vector<TimePoint> cuts_;
  std::optional<TimePoint> outage_at_;
  TimePoint outage_until_;
  std::optional<TimePoint> copy_at_;
  TimePoint restore_at_;
  std::optional<Store> copy_;
  std::optional<TimePoint> fiftieth_bad_;
  TimePoint ended_at_;
  RolloutOutcome outcome_;
};

}  // namespace

bool IsBad(VersionKind kind) {
  return kind != VersionKind::kGood && kind != VersionKind::kCold;
}

RolloutOutcome Simulate(const RolloutScenario& scenario) {
  return Simulation(scenario).Run();
}

}  // namespace qh
