#include "fakes/outcome_claim_writers.h"

namespace qh {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kAskWait = std::chrono::seconds(2);
constexpr Duration kRunTime = std::chrono::seconds(30);

std::string Describe(const ClaimAnswer& answer) {
  std::string text(ToName(answer.decision));
  if (answer.decision == ClaimDecision::kRefused) {
    text += " " + std::string(AnswerFor(answer.error).name) + " executed=" +
            std::string(ToString(AnswerFor(answer.error).executed));
  } else if (answer.decision == ClaimDecision::kReplayed) {
    text += " " + answer.answer.body;
  }
  return text;
}

std::string Describe(const StoreRequest& request) {
  std::string text = std::string(ToName(request.op)) + " " + request.key;
  if (request.expected_version) {
    text += " if version " + std::to_string(*request.expected_version);
  }
  return text;
}

}  // namespace

ClaimWriters::ClaimWriters(ClaimLogSettings settings)
    : settings_(settings),
      store_({},
             1,
             [](TimePoint when, const std::function<void(TimePoint)>& run) {
               run(when);
             }) {}

void ClaimWriters::Add(const std::string& name) {
  const uint64_t seed = writers_.size() + 1;
  writers_.emplace(name,
                   Writer{.log = ClaimLog::Create(0, settings_, seed).value()});
}

void ClaimWriters::Ask(const std::string& writer,
                       const std::string& ask,
                       const std::string& fingerprint,
                       const std::string& claimant) {
  Line(writer + ": ask " + ask + " " + fingerprint + " for " + claimant);
  Carry(writer,
        writers_.at(writer).log.Submit({.key = kWritersKey,
                                        .fingerprint = fingerprint,
                                        .request_id = RequestId(ask),
                                        .claimant = InstanceId(claimant),
                                        .wait = kAskWait,
                                        .run_time = kRunTime},
                                       now_));
}

void ClaimWriters::Report(const std::string& writer,
                          const std::string& ask,
                          OutcomeKind kind,
                          const std::string& body) {
  Line(writer + ": outcome of " + ask + " " + std::string(ToName(kind)));
  Carry(writer,
        writers_.at(writer).log.Report({.key = kWritersKey,
                                        .fingerprint = "print-1",
                                        .request_id = RequestId(ask),
                                        .kind = kind,
                                        .answer = {200, "text/plain", body}},
                                       now_));
}

void ClaimWriters::Fault(const std::string& writer,
                         std::vector<StoreFault> faults) {
  writers_.at(writer).faults.assign(faults.begin(), faults.end());
}

void ClaimWriters::SetDead(const std::string& writer,
                           const std::string& instance) {
  writers_.at(writer).log.SetDeadMembers({InstanceId(instance)});
}

void ClaimWriters::Pass(Duration duration) {
  const TimePoint until = now_ + duration;
  while (now_ < until) {
    now_ += kTickInterval;
    for (auto& [name, writer] : writers_) {
      Carry(name, writer.log.Tick(now_));
    }
  }
}

void ClaimWriters::Carry(const std::string& name, ClaimLog::Actions actions) {
  for (const ClaimAction& action : actions) {
    if (action.kind == ClaimActionKind::kStore) {
      CallStore(name, action);
      continue;
    }
    const std::string text = Describe(action.answer);
    answers_[action.answer.request_id.value()] = text;
    wins_ += action.answer.decision == ClaimDecision::kWon ? 1 : 0;
    Line(name + ": answers " + action.answer.request_id.value() + ": " + text);
  }
}

void ClaimWriters::CallStore(const std::string& name,
                             const ClaimAction& action) {
  Writer& writer = writers_.at(name);
  StoreFault fault = StoreFault::kNone;
  if (action.request.op == StoreOp::kPut && !writer.faults.empty()) {
    fault = writer.faults.front();
    writer.faults.pop_front();
  }
  Line(name + ": " + Describe(action.request));
  switch (fault) {
    case StoreFault::kNone:
      return Deliver(name, action.token, store_.Apply(action.request));
    case StoreFault::kAnswerLost:
      store_.Apply(action.request);
      return Deliver(name, action.token, {.status = StoreStatus::kAmbiguous});
    case StoreFault::kRequestLost:
      return Deliver(name, action.token, {.status = StoreStatus::kAmbiguous});
    case StoreFault::kUnavailable:
      return Deliver(name, action.token, {.status = StoreStatus::kUnavailable});
    case StoreFault::kHeld:
      writer.held.push_back({action.token, action.request, {}});
      return;
  }
}

void ClaimWriters::Deliver(const std::string& name,
                           uint64_t token,
                           StoreReply reply) {
  Line(name + ": store says " + std::string(ToName(reply.status)));
  Carry(name, writers_.at(name).log.OnStoreReply(token, reply, now_));
}

void ClaimWriters::ReleaseHeld(const std::string& writer) {
  Held& held = writers_.at(writer).held.front();
  held.reply = store_.Apply(held.request);
  Line(writer + ": its held " + Describe(held.request) +
       " reaches the store: " + std::string(ToName(held.reply.status)));
}

void ClaimWriters::DeliverHeld(const std::string& writer) {
  const Held held = writers_.at(writer).held.front();
  writers_.at(writer).held.pop_front();
  Deliver(writer, held.token, held.reply);
}

std::string ClaimWriters::AnswerTo(const std::string& ask) const {
  const auto it = answers_.find(ask);
  return it == answers_.end() ? "none" : it->second;
}

void ClaimWriters::Note(const std::string& text) {
  trace_ += "# " + text + "\n";
}

void ClaimWriters::Line(const std::string& text) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch());
  trace_ += std::to_string(ms.count()) + " " + text + "\n";
}

}  // namespace qh
