// The platform's object store as the control search needs it: versions,
// conditions, watches, outages, answers lost after their effect, and watch
// answers that come late and out of order.

#ifndef BENCHMARKS_CONTROL_CONTROL_STORE_H_
#define BENCHMARKS_CONTROL_CONTROL_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "qh_platform/store/object_store.h"
#include "tests/fakes/fake_network.h"

namespace qh::control {

struct StoreCounts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  // Microseconds that watches were held, for the mean number held.
  int64_t watch_us = 0;
  uint64_t bytes = 0;
};

class ControlStore {
 public:
  using Callback = std::function<void(const StoreReply&)>;

  explicit ControlStore(FakeNetwork& network) : network_(network) {}

  // Carries `request`; `done` runs some milliseconds later, or never when the
  // store is down and the call hangs.
  void Call(const StoreRequest& request, Callback done);

  void set_down(bool down);
  // Share of answers lost after the call took effect.
  void set_answer_loss(double share) { answer_loss_ = share; }
  // Share of watch answers that come up to `kMaxWatchDelay` late.
  void set_late_watches(double share) { late_watches_ = share; }

  // Called with every object at the moment it is written.
  void set_on_put(std::function<void(const StoreObject&)> hook) {
    on_put_ = std::move(hook);
  }

  // Returns the object `key` without a call.
  StoreReply Peek(const std::string& key) const { return Get(key); }
  bool is_down() const { return is_down_; }
  const StoreCounts& counts() const { return counts_; }
  void ResetCounts() { counts_ = {}; }

 private:
  struct Waiter {
    std::string prefix;
    uint64_t since = 0;
    TimePoint started;
    std::shared_ptr<Callback> done;
  };
  struct Row {
    StoreObject object;
    uint64_t revision = 0;
  };

  void Execute(const StoreRequest& request, const Callback& done);
  StoreReply Put(const StoreRequest& request);
  StoreReply Get(const std::string& key) const;
  StoreReply Newer(const std::string& prefix, uint64_t since) const;
  void Watch(const StoreRequest& request, const Callback& done);
  void AnswerWatch(const Waiter& waiter);
  void Reply(const Callback& done, const StoreReply& reply, Duration delay);

  FakeNetwork& network_;
  std::function<void(const StoreObject&)> on_put_;
  std::map<std::string, Row> rows_;
  std::vector<Waiter> waiters_;
  uint64_t revision_ = 0;
  bool is_down_ = false;
  double answer_loss_ = 0;
  double late_watches_ = 0;
  StoreCounts counts_;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_STORE_H_
