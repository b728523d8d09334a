// Thread-safe driver of a StoreClient over a StoreHook. Each call runs on its
// caller's thread.

#ifndef QH_PLATFORM_CLIENT_STORE_EXECUTOR_H_
#define QH_PLATFORM_CLIENT_STORE_EXECUTOR_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "qh_platform/client/store_client.h"

namespace qh {

class StoreExecutor {
 public:
  // Each call of `store` must return within a bounded time.
  StoreExecutor(const StoreClientSettings& settings,
                StoreHook store,
                ClockHook clock,
                uint64_t seed);

  // Makes one call and waits for its reply. No attempt starts later than
  // `timeout` from now. Thread safe.
  StoreReply Call(const StoreRequest& request,
                  CallClass call_class,
                  Duration timeout);

 private:
  // The next step of a waiting caller: a request to send, or its reply.
  struct PendingCall {
    std::optional<StoreClientAction> to_send;
    std::optional<StoreReply> reply;
  };

  // Passes `event` to the client and its actions to the waiting callers.
  // Called with mutex_ held.
  void Advance(const StoreClientEvent& event);

  StoreHook store_;
  ClockHook clock_;
  std::mutex mutex_;
  // Signals that a pending call has a next step.
  std::condition_variable changed_;
  // All below are guarded by mutex_.
  StoreClient client_;
  uint64_t last_call_ = 0;
  // By call id.
  std::map<uint64_t, PendingCall> pending_;
};

}  // namespace qh

#endif  // QH_PLATFORM_CLIENT_STORE_EXECUTOR_H_
