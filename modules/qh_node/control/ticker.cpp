#include "qh_node/control/ticker.h"

#include <utility>

namespace qh {

Ticker::Ticker(Duration interval, std::function<void()> tick)
    : interval_(interval), tick_(std::move(tick)), thread_([this] { Run(); }) {}

Ticker::~Ticker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void Ticker::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    tick_();
    lock.lock();
    wake_.wait_for(lock, interval_, [this] { return stopping_; });
  }
}

}  // namespace qh
