// Building of the world, callers and the checks of their answers.

#include "fakes/outcome_world.h"

#include <algorithm>

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 5;
constexpr size_t kDomains = 4;
constexpr size_t kEngines = 6;
constexpr size_t kServices = 4;
constexpr size_t kChats = 6;
constexpr size_t kCalls = 10;
constexpr double kPoisonSessions = 0.3;
constexpr Duration kSessionLength = seconds(12);
constexpr Duration kPatience = seconds(25);
constexpr Duration kChatDeadline = seconds(8);
constexpr Duration kCallDeadline = seconds(5);
constexpr Duration kLongestSession = seconds(120);
constexpr double kLostMessages = 0.01;
constexpr uint32_t kMaxAttempts = 4;
constexpr uint32_t kMaxSends = 40;

FailureDomainId DomainOf(size_t index) {
  return FailureDomainId("zone-" + std::to_string(index % kDomains));
}

}  // namespace

void OutcomeTotals::Add(const OutcomeTotals& other) {
  sessions += other.sessions;
  requests += other.requests;
  accepted += other.accepted;
  accepted_once += other.accepted_once;
  refused += other.refused;
  answered_whole += other.answered_whole;
  lost_accepted += other.lost_accepted;
  cut_streams += other.cut_streams;
  duplicates_run += other.duplicates_run;
  false_not_run += other.false_not_run;
  crossed += other.crossed;
  servers_lost_per_poison_max =
      std::max(servers_lost_per_poison_max, other.servers_lost_per_poison_max);
  unknown += other.unknown;
  lost_with_node += other.lost_with_node;
  innocents_quarantined += other.innocents_quarantined;
}

bool OutcomeTotals::broken() const {
  return lost_accepted + cut_streams + duplicates_run + false_not_run +
                 crossed >
             0 ||
         servers_lost_per_poison_max > kMaxCrashesPerFingerprint;
}

OutcomeWorld::OutcomeWorld(uint64_t seed, OutcomeGuard without)
    : rng_(seed), without_(without) {
  store_ = std::make_unique<FakeStore>(
      FakeStoreSettings{.lost_answers = 0.02, .late_writes = 0.02}, seed,
      [this](TimePoint when, Task task) { queue_.At(when, std::move(task)); });
  AddNodes();
  AddServers();
  AddCallers();
  AddFaults();
}

void OutcomeWorld::AddNodes() {
  for (size_t i = 0; i < kNodes; ++i) {
    nodes_.push_back({.id = InstanceId("node-" + std::to_string(i)),
                      .domain = DomainOf(i),
                      .quarantine = CrashQuarantine::Create({})});
  }
  for (Node& node : nodes_) {
    for (size_t i = 0; i < kNodes; ++i) {
      node.members.insert(i);
    }
  }
  // The first arbiter has been it for long.
  const size_t arbiter = IndexOf(SelectCrashArbiter(MembersOf(0)));
  nodes_[arbiter].arbiter = CrashArbiter::Create({}, TimePoint(-seconds(60)));
}

void OutcomeWorld::AddServers() {
  for (size_t i = 0; i < kEngines + kServices; ++i) {
    const bool service = i >= kEngines;
    servers_.push_back(
        {.id = ServerId((service ? "service-" : "engine-") + std::to_string(i)),
         .domain = DomainOf(i),
         .service = service});
  }
}

void OutcomeWorld::AddCallers() {
  const bool poison = rng_.Chance(kPoisonSessions);
  for (size_t i = 0; i < kChats + kCalls; ++i) {
    Caller caller;
    caller.index = i;
    caller.once = i >= kChats;
    caller.poison = poison && i == 0;
    caller.key = "key-" + std::to_string(i);
    caller.fingerprint = "print-" + std::to_string(i);
    // Content that crashes servers never gets its whole answer.
    caller.tokens =
        caller.poison ? 1000 : 5 + static_cast<uint32_t>(rng_.Below(30));
    const Duration start =
        rng_.Between(Duration(1), kSessionLength - seconds(4));
    caller.patience = TimePoint(start) + kPatience;
    callers_.push_back(caller);
    // Some callers send more than once, to several nodes.
    const size_t copies = caller.poison ? 4
                          : caller.once ? 1 + rng_.Below(2)
                                        : 1;
    for (size_t copy = 0; copy < copies; ++copy) {
      const Duration gap = rng_.Chance(0.5)
                               ? Duration::zero()
                               : rng_.Between(Duration(1), milliseconds(800));
      queue_.At(TimePoint(start + gap * static_cast<int64_t>(copy)),
                [this, i](TimePoint) { Send(i, false); });
    }
    if (caller.once && rng_.Chance(0.1)) {
      queue_.At(TimePoint(start + milliseconds(100)),
                [this, i](TimePoint) { Send(i, true); });
    }
  }
}

OutcomeTotals OutcomeWorld::Run() {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    TickQuarantine(node);
  }
  while (queue_.now() < TimePoint(kLongestSession) && queue_.RunNext()) {
  }
  CheckEnd();
  return totals_;
}

void OutcomeWorld::ToNode(size_t node, Duration delay, Task task) {
  const uint64_t life = nodes_[node].life;
  queue_.At(queue_.now() + delay, [this, node, life, task](TimePoint now) {
    Node& target = nodes_[node];
    if (!target.alive || target.life != life) {
      return;
    }
    if (now < target.paused_until || !target.deferred.empty()) {
      return Defer(node, task);
    }
    task(now);
  });
}

void OutcomeWorld::Defer(size_t node, Task task) {
  Node& target = nodes_[node];
  target.deferred.push_back(std::move(task));
  if (target.deferred.size() == 1) {
    queue_.At(target.paused_until,
              [this, node](TimePoint now) { RunDeferred(node, now); });
  }
}

void OutcomeWorld::RunDeferred(size_t node, TimePoint now) {
  Node& target = nodes_[node];
  if (now < target.paused_until) {
    queue_.At(target.paused_until,
              [this, node](TimePoint when) { RunDeferred(node, when); });
    return;
  }
  // What a paused node missed comes in its order when it wakes.
  for (const Task& task : std::exchange(target.deferred, {})) {
    task(now);
  }
}

void OutcomeWorld::TickQuarantine(size_t node) {
  nodes_[node].quarantine.Tick(queue_.now());
  if (queue_.now() < TimePoint(kSessionLength + kPatience)) {
    ToNode(node, milliseconds(200),
           [this, node](TimePoint) { TickQuarantine(node); });
  }
}

void OutcomeWorld::Message(size_t to, Task task) {
  if (!rng_.Chance(kLostMessages)) {
    ToNode(to, rng_.Between(Duration(200), Duration(1500)), std::move(task));
  }
}

void OutcomeWorld::Send(size_t index, bool other_body) {
  Caller& caller = callers_[index];
  if (caller.done || caller.sends >= kMaxSends ||
      queue_.now() >= caller.patience) {
    return;
  }
  ++caller.sends;
  const size_t node = rng_.Below(nodes_.size());
  if (!nodes_[node].alive || nodes_[node].leaving) {
    queue_.At(
        queue_.now() + milliseconds(50),
        [this, index, other_body](TimePoint) { Send(index, other_body); });
    return;
  }
  RequestSpec spec;
  spec.id = RequestId("r" + std::to_string(next_request_++));
  spec.idempotent = !caller.once;
  spec.stream = !caller.once;
  spec.idempotency_key = caller.once ? caller.key : "";
  spec.fingerprint = caller.fingerprint + (other_body ? "-other" : "");
  spec.max_output_tokens = caller.tokens;
  spec.deadline = queue_.now() + (caller.once ? kCallDeadline : kChatDeadline);
  const std::string id = spec.id.value();
  attempts_[id] = {.caller = index, .fingerprint = spec.fingerprint};
  ++totals_.requests;
  totals_.accepted_once += caller.once && !caller.accepted ? 1 : 0;
  caller.accepted = true;
  ToNode(node, milliseconds(1), [this, node, id, spec](TimePoint now) {
    if (nodes_[node].leaving) {
      return OnRefused(id, ErrorKind::kDraining);
    }
    nodes_[node].sessions.insert_or_assign(
        id, Session{.machine = RequestMachine::Create(spec, kMaxAttempts)});
    ToNode(node, spec.deadline - now, [this, node, id](TimePoint) {
      Feed(node, id, {.kind = RequestEventKind::kDeadline});
    });
    Feed(node, id,
         {.kind = spec.idempotent ? RequestEventKind::kAccept
                                  : RequestEventKind::kAcceptOnce});
  });
  holders_[id] = node;
}

void OutcomeWorld::OnRefused(const std::string& id, ErrorKind error) {
  Attempt& attempt = attempts_.at(id);
  if (attempt.ended || attempt.lost_with_node) {
    return;
  }
  attempt.ended = true;
  Caller& caller = callers_[attempt.caller];
  const ErrorAnswer& row = AnswerFor(error);
  if (row.executed == Executed::kNo) {
    ++totals_.refused;
    attempt.told_not_run = true;
    totals_.false_not_run += attempt.reached_server ? 1 : 0;
  }
  if (attempt.tokens > 0 && !caller.poison) {
    ++totals_.cut_streams;
  }
  if (error == ErrorKind::kQuarantined && !caller.poison) {
    ++totals_.innocents_quarantined;
  }
  if (error == ErrorKind::kIdempotencyKeyReused) {
    return;
  }
  if (row.executed == Executed::kUnknown && !caller.done) {
    caller.told_unknown = true;
  }
  // A caller whose request crashes servers never gives up.
  if (row.retry_after > seconds(0) || caller.poison) {
    const Duration wait =
        std::max<Duration>(row.retry_after, milliseconds(300));
    const size_t index = attempt.caller;
    queue_.At(queue_.now() + wait,
              [this, index](TimePoint) { Send(index, false); });
  }
}

void OutcomeWorld::OnAnswered(const std::string& id, const Session& session) {
  Attempt& attempt = attempts_.at(id);
  if (attempt.ended || attempt.lost_with_node) {
    return;
  }
  attempt.ended = true;
  Caller& caller = callers_[attempt.caller];
  const std::string expected = "answer to " + attempt.fingerprint;
  const bool whole = caller.once ? session.answer == expected
                                 : attempt.tokens == caller.tokens;
  totals_.crossed += whole ? 0 : 1;
  totals_.answered_whole += whole ? 1 : 0;
  caller.done = true;
  caller.told_unknown = false;
}

void OutcomeWorld::OnToken(const std::string& id, const std::string& token) {
  Attempt& attempt = attempts_.at(id);
  if (attempt.ended || attempt.lost_with_node) {
    return;
  }
  const std::string expected =
      attempt.fingerprint + "#" + std::to_string(attempt.tokens);
  totals_.crossed += token == expected ? 0 : 1;
  ++attempt.tokens;
}

void OutcomeWorld::CheckEnd() {
  totals_.sessions = 1;
  totals_.accepted = totals_.requests - totals_.refused;
  for (const auto& [id, attempt] : attempts_) {
    totals_.lost_with_node += attempt.lost_with_node ? 1 : 0;
    const bool lost = !attempt.ended && !attempt.lost_with_node;
    totals_.lost_accepted += lost ? 1 : 0;
  }
  for (const Caller& caller : callers_) {
    totals_.unknown += caller.once && caller.told_unknown ? 1 : 0;
  }
  for (const auto& [fingerprint, losses] : poison_losses_) {
    totals_.servers_lost_per_poison_max =
        std::max(totals_.servers_lost_per_poison_max, losses);
  }
}

}  // namespace qh
