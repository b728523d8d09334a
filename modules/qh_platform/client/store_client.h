// Policy of one node's calls to the platform's store: rate limits, backoff, a
// circuit breaker for outages, and reading back writes whose answer was lost. A
// pure state machine: it does no I/O and reads no clock. StoreExecutor drives
// it over a StoreHook.

#ifndef QH_PLATFORM_CLIENT_STORE_CLIENT_H_
#define QH_PLATFORM_CLIENT_STORE_CLIENT_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_platform/client/store_rate_limiter.h"
#include "qh_platform/store/object_store.h"

namespace qh {

struct StoreClientSettings {
  StoreRateLimits rate_limits;
  // The wait after the n-th attempt is drawn from zero to retry_base * 2^n, at
  // most retry_max (exponential backoff with full jitter).
  Duration retry_base = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(5);
  // Consecutive failures after which the circuit opens and calls fail fast.
  uint32_t failures_to_open = 5;
};

enum class StoreClientEventKind {
  // Time has passed. To be sent at least every 100 ms while calls are open.
  kTick,
  // A new call.
  kCall,
  // `reply` is the store's reply to the attempt `token`.
  kReply,
};

struct StoreClientEvent {
  StoreClientEventKind kind = StoreClientEventKind::kTick;
  // kCall: unique id of the call. kReply: the token of kSend.
  uint64_t token = 0;
  StoreRequest request;
  CallClass call_class = CallClass::kBackground;
  // kCall: no attempt starts after this.
  TimePoint deadline;
  StoreReply reply;
};

enum class StoreClientActionKind {
  // Send `request` to the store and return its reply as kReply with `token`.
  kSend,
  // The call `call` has ended with `reply`.
  kAnswer,
};

struct StoreClientAction {
  StoreClientActionKind kind;
  uint64_t call = 0;
  uint64_t token = 0;
  StoreRequest request;
  StoreReply reply;
};

class StoreClient {
 public:
  // `seed` is used for jitter.
  static StoreClient Create(const StoreClientSettings& settings, uint64_t seed);

  // Handles one event and returns the actions to carry out, in order. Each call
  // ends with exactly one kAnswer. A conditional put ends with kAmbiguous only
  // if the object does not show whether the put took effect. Its body must
  // differ from that of any other writer (by a nonce), because the client
  // recognizes its own write by the body.
  std::vector<StoreClientAction> Advance(const StoreClientEvent& event,
                                         TimePoint now);

  // Whether the circuit breaker is open because the store does not answer.
  // Calls then fail fast, except for one probe at a time.
  bool circuit_open() const { return failures_ >= settings_.failures_to_open; }
  size_t open_calls() const { return calls_.size(); }

 private:
  using Actions = std::vector<StoreClientAction>;

  struct Call {
    StoreRequest request;
    CallClass call_class = CallClass::kBackground;
    TimePoint deadline;
    uint32_t attempts = 0;
    // No attempt starts before this.
    TimePoint next_at;
    // Token of the attempt in flight; zero if there is none.
    uint64_t in_flight = 0;
    // An attempt at the write got no answer; it may still take effect.
    bool ambiguous = false;
    // The next attempt, or the one in flight, reads the object back.
    bool reads_back = false;
  };
  // Ordered by priority, then by id.
  using Calls = std::map<std::pair<CallClass, uint64_t>, Call>;

  StoreClient(const StoreClientSettings& settings, uint64_t seed);

  void OnReply(const StoreClientEvent& event, TimePoint now, Actions& actions);
  void OnReadBack(Calls::iterator call,
                  const StoreReply& reply,
                  TimePoint now,
                  Actions& actions);
  void SendDueCalls(TimePoint now, Actions& actions);
  bool MayProbe(TimePoint now) const;
  void ScheduleRetry(Call& call, TimePoint now);
  Calls::iterator Complete(Calls::iterator call,
                           StoreReply reply,
                           Actions& actions);
  void UpdateOpenWatches(TimePoint now);

  StoreClientSettings settings_;
  StoreRateLimiter rate_limiter_;
  Rng rng_;
  Calls calls_;
  uint64_t last_token_ = 0;
  // Consecutive attempts that the store did not answer.
  uint32_t failures_ = 0;
  // While the circuit is open: the earliest time of the next probe, and the
  // token of the probe in flight or zero.
  TimePoint probe_at_;
  uint64_t probe_ = 0;
};

}  // namespace qh

#endif  // QH_PLATFORM_CLIENT_STORE_CLIENT_H_
