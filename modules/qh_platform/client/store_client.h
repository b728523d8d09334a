// Policy of one node's calls to the platform's store: budget, backoff, failing
// fast in an outage, and reading back writes whose answer was lost. Events in,
// actions out; no I/O, no clock. StoreExecutor drives it over a StoreHook.

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
  // First wait after a failed try; doubles up to retry_max, with full jitter.
  Duration retry_base = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(5);
  // Failures in a row after which calls fail fast.
  uint32_t failures_to_open = 5;
};

enum class StoreClientEventKind {
  // Time passed; due at least every 100 ms while calls are open.
  kTick,
  // A call is asked for.
  kAsk,
  // `reply` answers the try with `token`.
  kReply,
};

struct StoreClientEvent {
  StoreClientEventKind kind = StoreClientEventKind::kTick;
  // kAsk: names the call, unique. kReply: the token of kSend.
  uint64_t token = 0;
  StoreRequest request;
  CallClass call_class = CallClass::kBackground;
  // kAsk: no try starts after this.
  TimePoint deadline;
  StoreReply reply;
};

enum class StoreClientActionKind {
  // Send `request`; answer with kReply and `token`.
  kSend,
  // The call `call` is over with `reply`.
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
  static StoreClient Create(const StoreClientSettings& settings, uint64_t seed);

  // Takes one event and returns what to do, in order. Every call asked for is
  // answered once. A conditional write answers kAmbiguous only if it can't be
  // told from the object whether it took effect; its body must differ from any
  // other writer's (a nonce), because it is found again by its body.
  std::vector<StoreClientAction> Advance(const StoreClientEvent& event,
                                         TimePoint now);

  // Whether the store counts as out of service: calls fail fast, but for one
  // probe at a time.
  bool is_open() const { return failures_ >= settings_.failures_to_open; }
  size_t open_calls() const { return calls_.size(); }

 private:
  using Actions = std::vector<StoreClientAction>;

  struct Call {
    StoreRequest request;
    CallClass call_class = CallClass::kBackground;
    TimePoint deadline;
    uint32_t tries = 0;
    TimePoint next_at;
    // Token of the try in flight; zero when none is.
    uint64_t in_flight = 0;
    // A try of the write had no answer; the write may still take effect.
    bool ambiguous = false;
    // The next try, or the one in flight, reads the object back.
    bool reads_back = false;
  };
  using Calls = std::map<std::pair<CallClass, uint64_t>, Call>;

  StoreClient(const StoreClientSettings& settings, uint64_t seed);

  void OnReply(const StoreClientEvent& event, TimePoint now, Actions& actions);
  void OnReadBack(Calls::iterator call,
                  const StoreReply& reply,
                  TimePoint now,
                  Actions& actions);
  void Pump(TimePoint now, Actions& actions);
  bool MayTry(TimePoint now) const;
  void Retry(Call& call, TimePoint now);
  Calls::iterator Answer(Calls::iterator call,
                         StoreReply reply,
                         Actions& actions);
  void CountWatches(TimePoint now);

  StoreClientSettings settings_;
  StoreRateLimiter rate_limiter_;
  Rng rng_;
  Calls calls_;
  uint64_t last_token_ = 0;
  // Tries in a row that the store did not answer.
  uint32_t failures_ = 0;
  // While open: when the next probe may go out, and its token.
  TimePoint probe_at_;
  uint64_t probe_ = 0;
};

}  // namespace qh

#endif  // QH_PLATFORM_CLIENT_STORE_CLIENT_H_
