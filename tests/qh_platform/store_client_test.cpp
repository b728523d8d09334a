// Tests the store client: rate limits, retries, outages, and writes without an
// answer.

#include "qh_platform/client/store_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "fakes/fake_platform.h"
#include "qh_platform/client/store_executor.h"

namespace qh {
namespace {

using fakes::FakePlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
const StoreRequest kRead = {.op = StoreOp::kGet, .key = "a"};
const StoreRequest kCreate = {.op = StoreOp::kPut,
                              .key = "a",
                              .body = "nonce-1",
                              .expected_version = kAbsentVersion};

// Drives one client in virtual time. `reply` returns the store's reply to each
// attempt; no time passes until the reply.
class ClientDriver {
 public:
  explicit ClientDriver(std::function<StoreReply(const StoreRequest&)> reply,
                        StoreClientSettings settings = {})
      : reply_(std::move(reply)), client_(StoreClient::Create(settings, 3)) {}

  std::optional<StoreReply> Call(const StoreRequest& request,
                                 Duration timeout,
                                 CallClass call_class = CallClass::kClaim) {
    answer_.reset();
    Send({.kind = StoreClientEventKind::kCall,
          .token = ++calls_,
          .request = request,
          .call_class = call_class,
          .deadline = now_ + timeout});
    for (const TimePoint end = now_ + timeout * 2; !answer_ && now_ < end;) {
      now_ += milliseconds(50);
      Send({});
    }
    return answer_;
  }

  StoreClient& client() { return client_; }
  int attempts() const { return attempts_; }
  void Wait(Duration time) { now_ += time; }

 private:
  void Send(const StoreClientEvent& event) {
    for (const StoreClientAction& action : client_.Advance(event, now_)) {
      if (action.kind == StoreClientActionKind::kAnswer) {
        answer_ = action.reply;
        continue;
      }
      ++attempts_;
      Send({.kind = StoreClientEventKind::kReply,
            .token = action.token,
            .reply = reply_(action.request)});
    }
  }

  std::function<StoreReply(const StoreRequest&)> reply_;
  StoreClient client_;
  TimePoint now_ = kStart;
  uint64_t calls_ = 0;
  int attempts_ = 0;
  std::optional<StoreReply> answer_;
};

}  // namespace

TEST_CASE("a write without an answer is confirmed by reading the object back") {
  FakePlatform store;
  int puts = 0;
  ClientDriver driver([&](const StoreRequest& request) {
    const StoreReply reply = store.Apply(request);
    return request.op == StoreOp::kPut && ++puts == 1
               ? StoreReply{StoreStatus::kAmbiguous}
               : reply;
  });
  const auto answer = driver.Call(kCreate, seconds(5));
  REQUIRE(answer);
  CHECK(answer->status == StoreStatus::kOk);
  CHECK(answer->object.version == 1);
  CHECK(store.writes() == 1);
}

TEST_CASE("a write that never reached the store is sent again") {
  FakePlatform store;
  int puts = 0;
  ClientDriver driver([&](const StoreRequest& request) {
    if (request.op == StoreOp::kPut && ++puts == 1) {
      return StoreReply{StoreStatus::kAmbiguous};
    }
    return store.Apply(request);
  });
  const auto answer = driver.Call(kCreate, seconds(5));
  REQUIRE(answer);
  CHECK(answer->status == StoreStatus::kOk);
  CHECK(store.writes() == 1);
}

TEST_CASE("a write that takes effect late is not reported as a conflict") {
  FakePlatform store;
  int puts = 0;
  ClientDriver driver([&](const StoreRequest& request) {
    if (request.op != StoreOp::kPut) {
      return store.Apply(request);
    }
    if (++puts == 1) {
      return StoreReply{StoreStatus::kAmbiguous};
    }
    // The first attempt reaches the store right before the second.
    store.Apply(request);
    return store.Apply(request);
  });
  const auto answer = driver.Call(kCreate, seconds(5));
  REQUIRE(answer);
  CHECK(answer->status == StoreStatus::kOk);
}

TEST_CASE("a write without an answer that another writer won is a conflict") {
  FakePlatform store;
  store.Apply({.op = StoreOp::kPut, .key = "a", .body = "nonce-2"});
  int puts = 0;
  ClientDriver driver([&](const StoreRequest& request) {
    return request.op == StoreOp::kPut && ++puts == 1
               ? StoreReply{StoreStatus::kAmbiguous}
               : store.Apply(request);
  });
  CHECK(driver.Call(kCreate, seconds(5))->status == StoreStatus::kConflict);
}

TEST_CASE("a write overwritten before it was read back stays ambiguous") {
  FakePlatform store;
  for (const char* body : {"nonce-2", "nonce-3"}) {
    store.Apply({.op = StoreOp::kPut, .key = "a", .body = body});
  }
  ClientDriver driver([&](const StoreRequest& request) {
    return request.op == StoreOp::kPut ? StoreReply{StoreStatus::kAmbiguous}
                                       : store.Apply(request);
  });
  CHECK(driver.Call(kCreate, seconds(5))->status == StoreStatus::kAmbiguous);
}

TEST_CASE("in an outage calls fail fast, except for one probe at a time") {
  bool down = true;
  FakePlatform store;
  ClientDriver driver([&](const StoreRequest& request) {
    return down ? StoreReply{StoreStatus::kUnavailable} : store.Apply(request);
  });
  driver.Call(kRead, seconds(30));
  REQUIRE(driver.client().circuit_open());
  const int attempts = driver.attempts();
  for (int i = 0; i < 100; ++i) {
    CHECK(driver.Call(kRead, seconds(1))->status == StoreStatus::kUnavailable);
  }
  CHECK(driver.attempts() - attempts <= 1);
  down = false;
  driver.Wait(StoreClientSettings().retry_max);
  CHECK(driver.Call(kRead, seconds(1))->status == StoreStatus::kNotFound);
  CHECK_FALSE(driver.client().circuit_open());
}

TEST_CASE("a throttled call is retried until its deadline") {
  int calls = 0;
  ClientDriver driver([&](const StoreRequest&) {
    return StoreReply{++calls < 4 ? StoreStatus::kThrottled : StoreStatus::kOk};
  });
  CHECK(driver.Call(kCreate, seconds(20))->status == StoreStatus::kOk);
  CHECK(calls == 4);
}

TEST_CASE("the rate limits of all nodes add up to less than the store's") {
  for (const uint32_t nodes : {25u, 200u, 1'200u, 5'000u}) {
    const auto limits = StoreRateLimits::ForFleet(nodes);
    CHECK(limits.writes_per_s * nodes < 300);
    CHECK(limits.reads_per_s * nodes < 1'500);
  }
}

TEST_CASE("background calls leave a reserve for claims and leases") {
  const StoreRateLimits settings;
  StoreRateLimiter limiter(settings);
  int background = 0;
  while (limiter.Take(StoreOp::kPut, CallClass::kBackground, kStart)) {
    ++background;
  }
  CHECK(background == settings.burst - settings.reserve);
  int claims = 0;
  while (limiter.Take(StoreOp::kPut, CallClass::kClaim, kStart)) {
    ++claims;
  }
  CHECK(claims == settings.reserve);
}

TEST_CASE("an open watch uses one read a second") {
  StoreRateLimits settings;
  settings.reads_per_s = 3;
  StoreRateLimiter limiter(settings);
  while (limiter.Take(StoreOp::kGet, CallClass::kClaim, kStart)) {
  }
  limiter.set_open_watches(2, kStart);
  int reads = 0;
  while (limiter.Take(StoreOp::kGet, CallClass::kClaim, kStart + seconds(4))) {
    ++reads;
  }
  CHECK(reads == 4);
}

TEST_CASE("the executor answers each caller with its own reply") {
  FakePlatform store;
  std::mutex mutex;
  StoreClientSettings settings;
  settings.rate_limits = {
      .writes_per_s = 1e6, .reads_per_s = 1e6, .burst = 1e6};
  StoreExecutor executor(
      settings,
      [&](const StoreRequest& request) {
        const std::lock_guard lock(mutex);
        return store.Apply(request);
      },
      MonotonicNow, 1);
  std::vector<std::thread> threads;
  std::atomic<int> correct = 0;
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, key = std::to_string(i)] {
      executor.Call({.op = StoreOp::kPut, .key = key, .body = key},
                    CallClass::kBackground, seconds(60));
      const StoreReply reply =
          executor.Call({.op = StoreOp::kGet, .key = key},
                        CallClass::kBackground, seconds(60));
      correct += reply.object.body == key;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(correct == 8);
}

}  // namespace qh
