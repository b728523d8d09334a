#include "benchmarks/routing/simulation.h"

#include <algorithm>

#include "qh_core/hash/hash.h"

namespace qh::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportEvery = seconds(1);
constexpr Duration kDigestEvery = milliseconds(500);
constexpr Duration kTickEvery = milliseconds(50);
constexpr double kCacheEventLoss = 0.2;
// Time after the last arrival in which answers may end.
constexpr Duration kRunOut = seconds(90);

ServerId IdOf(uint32_t server) {
  return ServerId("server-" + std::to_string(server));
}

}  // namespace

Simulation::Simulation(const Deployment& deployment,
                       const std::vector<Turn>& turns,
                       std::vector<uint64_t> tokens_per_minute,
                       std::vector<FaultEvent> faults,
                       SimulationOptions options)
    : deployment_(deployment),
      turns_(turns),
      faults_(std::move(faults)),
      options_(std::move(options)),
      rng_(options_.seed, 3),
      scheduled_(deployment.servers, TimePoint::min()),
      slow_(deployment.servers, 1),
      up_since_(deployment.servers),
      live_(turns.size()),
      leaving_(deployment.servers, false) {
  const ConfigurationPtr config =
      MakeConfiguration(deployment, tokens_per_minute);
  for (uint32_t i = 0; i < deployment.nodes; ++i) {
    nodes_.push_back(MakePolicy(options_.policy, deployment, config, i,
                                HashPair(options_.seed, 17)));
  }
  engines_.reserve(deployment.servers);
  for (uint32_t i = 0; i < deployment.servers; ++i) {
    engines_.emplace_back(deployment.engine, HooksOf(i));
  }
  result_.turns.resize(turns.size());
}

RunResult Simulation::Run() {
  for (const Turn& turn : turns_) {
    Push(turn.arrival, EventKind::kArrival, turn.id);
  }
  for (size_t i = 0; i < faults_.size(); ++i) {
    Push(faults_[i].at, EventKind::kFault, 0, 0, i);
  }
  for (uint32_t i = 0; i < deployment_.servers; ++i) {
    Push(TimePoint(rng_.Between(Duration(0), kReportEvery)), EventKind::kReport,
         i);
  }
  for (uint32_t i = 0; i < deployment_.nodes; ++i) {
    Push(TimePoint(rng_.Between(Duration(0), kDigestEvery)), EventKind::kDigest,
         i);
    Push(TimePoint(rng_.Between(Duration(0), kTickEvery)), EventKind::kTick, i);
  }
  const TimePoint end = TimePoint(options_.length + kRunOut);
  while (!events_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  for (uint32_t i = 0; i < deployment_.servers; ++i) {
    if (engines_[i].is_up()) {
      const TimePoint until = TimePoint(options_.length);
      result_.cost += PricePerHour(deployment_, i) *
                      double((until - up_since_[i]).count()) / 3.6e9;
    }
    result_.computed_tokens += engines_[i].computed_tokens();
  }
  return std::move(result_);
}

void Simulation::Push(TimePoint at,
                      EventKind kind,
                      uint32_t a,
                      uint32_t b,
                      uint64_t payload) {
  events_.push({at, next_order_++, kind, a, b, payload});
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      return Arrive(event.a);
    case EventKind::kRetry:
      if (!live_[event.a].over) {
        const uint32_t node = turns_[event.a].node;
        Apply(node, nodes_[node]->OnJob(live_[event.a].job, now_));
      }
      return;
    case EventKind::kStep:
      if (engines_[event.a].step_end() == now_) {
        engines_[event.a].Step(now_);
      }
      return ScheduleStep(event.a);
    case EventKind::kReport:
      return Report(event.a);
    case EventKind::kDeliverReport:
      return nodes_[event.b]->OnLoadReport(event.a, reports_[event.payload],
                                           now_);
    case EventKind::kDeliverCacheEvent:
      return nodes_[event.b]->OnCacheEvent(cache_events_[event.payload], now_);
    case EventKind::kDigest:
      return SendDigest(event.a);
    case EventKind::kDeliverDigest:
      return nodes_[event.a]->OnDigest(digests_[event.payload], now_);
    case EventKind::kTick:
      Push(now_ + kTickEvery, EventKind::kTick, event.a);
      return Apply(event.a, nodes_[event.a]->OnTick(now_));
    case EventKind::kFault:
      return ApplyFault(faults_[event.payload]);
    case EventKind::kSetLeaving:
      return nodes_[event.a]->SetLeaving(leaving_);
    case EventKind::kTimeout:
      return Timeout(event.a);
  }
}

void Simulation::Arrive(uint32_t turn) {
  const Turn& arrived = turns_[turn];
  live_[turn].job.turn = &arrived;
  Push(arrived.deadline, EventKind::kTimeout, turn);
  Apply(arrived.node, nodes_[arrived.node]->OnJob(live_[turn].job, now_));
}

void Simulation::Apply(uint32_t /*node*/, const PolicyActions& actions) {
  for (const PolicyAction& action : actions) {
    switch (action.kind) {
      case PolicyActionKind::kDispatch:
        Dispatch(action);
        break;
      case PolicyActionKind::kRefuse:
        Refuse(action.turn, action.error);
        break;
      case PolicyActionKind::kRetryLater:
        Push(now_ + action.delay, EventKind::kRetry, action.turn);
        break;
    }
  }
}

void Simulation::Dispatch(const PolicyAction& action) {
  Live& live = live_[action.turn];
  const Turn& turn = turns_[action.turn];
  ++live.job.attempts;
  ++result_.dispatches;
  result_.retries += live.job.attempts > 1;
  live.dispatched = true;
  live.server = action.server;
  live.known = KnownTokens(turn);
  live.prompt_tokens = turn.prompt_tokens + live.job.sent;
  TurnResult& entry = result_.turns[action.turn];
  if (!entry.admitted) {
    entry.admitted = true;
    entry.admitted_at = now_;
  }
  nodes_[turn.node]->OnDispatched(live.job, action.server, now_);
  FakeEngineRequest request;
  request.id = action.turn;
  request.priority = action.priority;
  const auto prompt = turn.prompt_blocks();
  const auto whole = turn.whole_blocks();
  request.prompt_blocks.assign(prompt.begin(), prompt.end());
  request.whole_blocks.assign(whole.begin(), whole.end());
  request.prompt_tokens = live.prompt_tokens;
  request.output_tokens = turn.output_tokens - live.job.sent;
  if (!engines_[action.server].Submit(std::move(request), now_)) {
    return Fail(action.turn, DispatchOutcome::kNotConnected);
  }
  ScheduleStep(action.server);
}

void Simulation::Refuse(uint32_t turn, ErrorKind error) {
  ++result_.refusals[error];
  Live& live = live_[turn];
  live.over = true;
  result_.turns[turn].refused = true;
}

void Simulation::Timeout(uint32_t turn) {
  Live& live = live_[turn];
  if (live.over || result_.turns[turn].first_token.count() > 0) {
    return;
  }
  live.over = true;
  result_.turns[turn].timed_out = true;
  const uint32_t node = turns_[turn].node;
  if (!live.dispatched) {
    return nodes_[node]->OnCallerGone(live.job);
  }
  live.dispatched = false;
  engines_[live.server].Cancel(turn);
  Apply(node, nodes_[node]->OnEnded(live.job, live.server,
                                    DispatchOutcome::kCancelled, now_));
}

void Simulation::Fail(uint32_t turn, DispatchOutcome end) {
  Live& live = live_[turn];
  if (!live.dispatched) {
    return;
  }
  live.dispatched = false;
  live.job.excluded.push_back(IdOf(live.server));
  const uint32_t node = turns_[turn].node;
  Apply(node, nodes_[node]->OnEnded(live.job, live.server, end, now_));
}

void Simulation::OnFirstToken(uint32_t turn, uint32_t cached) {
  Live& live = live_[turn];
  const Turn& asked = turns_[turn];
  TurnResult& entry = result_.turns[turn];
  if (entry.first_token.count() == 0) {
    entry.first_token = now_ - asked.arrival;
  }
  ++live.job.sent;
  result_.prompt_tokens += live.prompt_tokens;
  result_.recomputed_tokens += live.known > cached ? live.known - cached : 0;
  const auto blocks = asked.prompt_blocks();
  seen_.insert(blocks.begin(), blocks.end());
  nodes_[asked.node]->OnFirstToken(live.job, live.server, now_);
}

void Simulation::OnToken(uint32_t turn, Duration gap) {
  ++live_[turn].job.sent;
  const auto ms = size_t(std::chrono::duration_cast<milliseconds>(gap).count());
  ++result_.token_gaps[std::min(ms, result_.token_gaps.size() - 1)];
}

void Simulation::OnDone(uint32_t turn) {
  Live& live = live_[turn];
  const Turn& asked = turns_[turn];
  live.over = true;
  live.dispatched = false;
  result_.turns[turn].answered = true;
  const auto blocks = asked.whole_blocks();
  seen_.insert(blocks.begin(), blocks.end());
  Apply(asked.node,
        nodes_[asked.node]->OnEnded(live.job, live.server,
                                    DispatchOutcome::kCompleted, now_));
}

void Simulation::ScheduleStep(uint32_t server) {
  const auto end = engines_[server].step_end();
  if (end && scheduled_[server] != *end) {
    scheduled_[server] = *end;
    Push(*end, EventKind::kStep, server);
  }
}

void Simulation::Report(uint32_t server) {
  Push(now_ + kReportEvery, EventKind::kReport, server);
  const FakeEngine& engine = engines_[server];
  if (!engine.is_up()) {
    return;
  }
  LoadReport report;
  report.server = IdOf(server);
  report.running = uint32_t(engine.running() / slow_[server]);
  report.queued = uint32_t(engine.queued() / slow_[server]);
  report.cache_used = engine.cache_used();
  report.measured_at = now_;
  reports_.push_back(report);
  for (uint32_t node = 0; node < deployment_.nodes; ++node) {
    Push(now_ + ReportLag(), EventKind::kDeliverReport, server, node,
         reports_.size() - 1);
  }
}

void Simulation::OnCacheEvent(uint32_t server,
                              bool stored,
                              const std::vector<uint64_t>& blocks) {
  if (!options_.cache_events || rng_.Chance(kCacheEventLoss)) {
    return;
  }
  cache_events_.push_back({IdOf(server), stored, blocks});
  for (uint32_t node = 0; node < deployment_.nodes; ++node) {
    Push(now_ + ReportLag(), EventKind::kDeliverCacheEvent, server, node,
         cache_events_.size() - 1);
  }
}

void Simulation::ApplyFault(const FaultEvent& fault) {
  FakeEngine& engine = engines_[fault.server];
  switch (fault.kind) {
    case FaultEventKind::kNotice:
      leaving_[fault.server] = true;
      break;
    case FaultEventKind::kDown: {
      result_.cost += PricePerHour(deployment_, fault.server) *
                      double((now_ - up_since_[fault.server]).count()) / 3.6e9;
      leaving_[fault.server] = true;
      for (const uint64_t turn : engine.Kill()) {
        Fail(uint32_t(turn), DispatchOutcome::kServerLost);
      }
      break;
    }
    case FaultEventKind::kUp:
      engine.Restart();
      up_since_[fault.server] = now_;
      leaving_[fault.server] = false;
      break;
    case FaultEventKind::kSlow:
      slow_[fault.server] = fault.factor;
      engine.SetSlowdown(fault.factor);
      return;
    case FaultEventKind::kReportLag:
      report_lag_seconds_ = fault.factor;
      return;
  }
  for (uint32_t node = 0; node < deployment_.nodes; ++node) {
    Push(now_ + rng_.Between(milliseconds(300), milliseconds(2'000)),
         EventKind::kSetLeaving, node);
  }
}

void Simulation::SendDigest(uint32_t node) {
  Push(now_ + kDigestEvery, EventKind::kDigest, node);
  DemandDigest digest = nodes_[node]->MakeDigest(now_);
  if (digest.node.empty()) {
    return;
  }
  digests_.push_back(std::move(digest));
  for (uint32_t peer = 0; peer < deployment_.nodes; ++peer) {
    if (peer != node) {
      Push(now_ + rng_.Between(milliseconds(50), milliseconds(1'000)),
           EventKind::kDeliverDigest, peer, 0, digests_.size() - 1);
    }
  }
}

Duration Simulation::ReportLag() {
  return Duration(
      int64_t(report_lag_seconds_ * 1e6 * (0.5 + 0.7 * rng_.Uniform())));
}

FakeEngineHooks Simulation::HooksOf(uint32_t server) {
  FakeEngineHooks hooks;
  hooks.on_first_token = [this](uint64_t id, uint32_t cached, TimePoint) {
    OnFirstToken(uint32_t(id), cached);
  };
  hooks.on_token = [this](uint64_t id, Duration gap) {
    OnToken(uint32_t(id), gap);
  };
  hooks.on_done = [this](uint64_t id, TimePoint) { OnDone(uint32_t(id)); };
  hooks.on_cache_event =
      [this, server](bool stored, const std::vector<uint64_t>& blocks,
                     TimePoint) { OnCacheEvent(server, stored, blocks); };
  return hooks;
}

uint32_t Simulation::KnownTokens(const Turn& turn) const {
  uint32_t blocks = 0;
  for (const uint64_t block : turn.prompt_blocks()) {
    if (!seen_.contains(block)) {
      break;
    }
    ++blocks;
  }
  return blocks * deployment_.engine.block_tokens;
}

}  // namespace qh::bench
