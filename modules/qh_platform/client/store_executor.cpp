#include "qh_platform/client/store_executor.h"

namespace qh {
namespace {

// How often a waiting caller sends a tick to the client.
constexpr auto kTickInterval = std::chrono::milliseconds(50);

}  // namespace

StoreExecutor::StoreExecutor(const StoreClientSettings& settings,
                             StoreHook store,
                             ClockHook clock,
                             uint64_t seed)
    : store_(std::move(store)),
      clock_(std::move(clock)),
      client_(StoreClient::Create(settings, seed)) {}

StoreReply StoreExecutor::Call(const StoreRequest& request,
                               CallClass call_class,
                               Duration timeout) {
  std::unique_lock lock(mutex_);
  const uint64_t call = ++last_call_;
  PendingCall& pending = pending_[call];
  Advance({.kind = StoreClientEventKind::kCall,
           .token = call,
           .request = request,
           .call_class = call_class,
           .deadline = clock_() + timeout});
  while (!pending.reply) {
    if (!pending.to_send) {
      changed_.wait_for(lock, kTickInterval,
                        [&] { return pending.to_send || pending.reply; });
      if (!pending.to_send && !pending.reply) {
        Advance({});
      }
      continue;
    }
    const StoreClientAction send = *pending.to_send;
    pending.to_send.reset();
    lock.unlock();
    StoreReply store_reply = store_(send.request);
    lock.lock();
    Advance({.kind = StoreClientEventKind::kReply,
             .token = send.token,
             .reply = std::move(store_reply)});
  }
  StoreReply reply = std::move(*pending.reply);
  pending_.erase(call);
  return reply;
}

void StoreExecutor::Advance(const StoreClientEvent& event) {
  for (StoreClientAction& action : client_.Advance(event, clock_())) {
    PendingCall& pending = pending_.at(action.call);
    if (action.kind == StoreClientActionKind::kSend) {
      pending.to_send = std::move(action);
    } else {
      pending.reply = std::move(action.reply);
    }
  }
  changed_.notify_all();
}

}  // namespace qh
