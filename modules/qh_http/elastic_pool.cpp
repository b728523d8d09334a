#include "qh_http/elastic_pool.h"

#include <cassert>
#include <utility>

namespace qh {
namespace {

// A thread that gets no task for this long ends.
constexpr auto kIdleTimeout = std::chrono::seconds(10);

}  // namespace

ElasticPool::ElasticPool(size_t max_threads) : max_threads_(max_threads) {
  assert(max_threads_ > 0);
}

ElasticPool::~ElasticPool() {
  Shutdown();
}

void ElasticPool::Run(Task task) {
  std::unique_lock lock(mutex_);
  assert(!stopping_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_ && threads_.size() < max_threads_) {
    const auto self = threads_.emplace(threads_.end());
    *self = std::thread([this, self] { Work(self); });
  }
  JoinEnded(lock);
  wake_.notify_one();
}

void ElasticPool::Work(std::list<std::thread>::iterator self) {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    const bool woken = wake_.wait_for(
        lock, kIdleTimeout, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (!woken || tasks_.empty()) {
      break;
    }
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
  ended_.splice(ended_.end(), threads_, self);
  wake_.notify_all();
}

void ElasticPool::JoinEnded(std::unique_lock<std::mutex>& lock) {
  std::list<std::thread> ended;
  ended.swap(ended_);
  lock.unlock();
  for (std::thread& thread : ended) {
    thread.join();
  }
  lock.lock();
}

void ElasticPool::Shutdown() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
  wake_.wait(lock, [this] { return threads_.empty(); });
  JoinEnded(lock);
}

}  // namespace qh
