#include "benchmarks/control/control_store.h"

#include <algorithm>

namespace qh::control {
namespace {

constexpr Duration kMinLatency = std::chrono::milliseconds(2);
constexpr Duration kMaxLatency = std::chrono::milliseconds(12);
constexpr Duration kMaxWatchDelay = std::chrono::seconds(6);
constexpr size_t kOverheadBytes = 300;

}  // namespace

void ControlStore::set_down(bool down) {
  is_down_ = down;
  if (!down) {
    return;
  }
  for (const Waiter& waiter : waiters_) {
    counts_.watch_us += (network_.now() - waiter.started).count();
    StoreReply reply;
    reply.status = StoreStatus::kAmbiguous;
    Reply(*waiter.done, reply, Duration::zero());
  }
  waiters_.clear();
}

void ControlStore::Call(const StoreRequest& request, Callback done) {
  const Duration latency = network_.rng().Between(kMinLatency, kMaxLatency);
  network_.At(network_.now() + latency, [this, request, done] {
    if (is_down_) {
      StoreReply reply;
      // Half of the calls hang, half are refused.
      if (network_.rng().Chance(0.5)) {
        Reply(done, reply, Duration::zero());
      }
      return;
    }
    Execute(request, done);
  });
}

void ControlStore::Execute(const StoreRequest& request, const Callback& done) {
  counts_.bytes += request.body.size() + kOverheadBytes;
  StoreReply reply;
  switch (request.op) {
    case StoreOp::kPut:
      ++counts_.writes;
      reply = Put(request);
      break;
    case StoreOp::kWatch:
      ++counts_.watches;
      Watch(request, done);
      return;
    default:
      ++counts_.reads;
      reply = Get(request.key);
      break;
  }
  if (network_.rng().Chance(answer_loss_)) {
    reply = {};
    reply.status = StoreStatus::kAmbiguous;
  }
  Reply(done, reply, Duration::zero());
}

StoreReply ControlStore::Get(const std::string& key) const {
  StoreReply reply;
  const auto found = rows_.find(key);
  reply.status =
      found == rows_.end() ? StoreStatus::kNotFound : StoreStatus::kOk;
  reply.revision = revision_;
  if (found != rows_.end()) {
    reply.object = found->second.object;
  }
  return reply;
}

StoreReply ControlStore::Put(const StoreRequest& request) {
  StoreReply reply;
  Row& row = rows_[request.key];
  if (request.expected_version &&
      *request.expected_version != row.object.version) {
    reply.status = StoreStatus::kConflict;
    return reply;
  }
  row.object = {request.key, request.body, row.object.version + 1};
  row.revision = ++revision_;
  reply.status = StoreStatus::kOk;
  reply.object = row.object;
  if (on_put_) {
    on_put_(row.object);
  }
  std::vector<Waiter> ready;
  std::erase_if(waiters_, [&](const Waiter& waiter) {
    const bool hit = request.key.starts_with(waiter.prefix);
    if (hit) {
      ready.push_back(waiter);
    }
    return hit;
  });
  for (const Waiter& waiter : ready) {
    AnswerWatch(waiter);
  }
  return reply;
}

StoreReply ControlStore::Newer(const std::string& prefix,
                               uint64_t since) const {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.revision = revision_;
  for (const auto& [key, row] : rows_) {
    if (key.starts_with(prefix) && row.revision > since) {
      reply.objects.push_back(row.object);
    }
  }
  return reply;
}

void ControlStore::Watch(const StoreRequest& request, const Callback& done) {
  const Waiter waiter{request.key, request.since, network_.now(),
                      std::make_shared<Callback>(done)};
  if (!Newer(request.key, request.since).objects.empty()) {
    AnswerWatch(waiter);
    return;
  }
  waiters_.push_back(waiter);
  network_.At(network_.now() + request.wait, [this, done = waiter.done] {
    const auto found = std::find_if(
        waiters_.begin(), waiters_.end(),
        [&](const Waiter& waiting) { return waiting.done == done; });
    if (found != waiters_.end()) {
      AnswerWatch(*found);
      waiters_.erase(found);
    }
  });
}

void ControlStore::AnswerWatch(const Waiter& waiter) {
  counts_.watch_us += (network_.now() - waiter.started).count();
  const bool late = network_.rng().Chance(late_watches_);
  Reply(*waiter.done, Newer(waiter.prefix, waiter.since),
        late ? network_.rng().Between(Duration::zero(), kMaxWatchDelay)
             : Duration::zero());
}

void ControlStore::Reply(const Callback& done,
                         const StoreReply& reply,
                         Duration delay) {
  counts_.bytes += reply.object.body.size() + kOverheadBytes;
  for (const StoreObject& object : reply.objects) {
    counts_.bytes += object.body.size();
  }
  const Duration latency = network_.rng().Between(kMinLatency, kMaxLatency);
  network_.At(network_.now() + latency + delay, [done, reply] { done(reply); });
}

}  // namespace qh::control
