// Thread that calls a function periodically.

#ifndef QH_NODE_CONTROL_TICKER_H_
#define QH_NODE_CONTROL_TICKER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "qh_core/time/time.h"

namespace qh {

class Ticker {
 public:
  // Starts a thread that calls `tick` at once and then again `interval` after
  // each call has returned.
  Ticker(Duration interval, std::function<void()> tick);
  // Stops the thread. Waits for a running call.
  ~Ticker();

 private:
  void Run();

  const Duration interval_;
  const std::function<void()> tick_;
  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_.
  bool stopping_ = false;
  // Declared last, because the thread uses all members above.
  std::thread thread_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_TICKER_H_
