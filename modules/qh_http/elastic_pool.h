// A thread pool that starts threads on demand and ends idle ones. For tasks
// that occupy a thread for as long as a connection or a stream lasts: a node
// with little traffic then has few threads.

#ifndef QH_HTTP_ELASTIC_POOL_H_
#define QH_HTTP_ELASTIC_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace qh {

// Thread safe.
class ElasticPool {
 public:
  using Task = std::function<void()>;

  // Runs at most `max_threads` tasks at a time; further tasks are queued.
  explicit ElasticPool(size_t max_threads);
  // Waits for all tasks, queued ones included.
  ~ElasticPool();

  // Queues `task`. Must not be called after Shutdown.
  void Run(Task task);

  // Waits for all tasks and ends the threads. May be called more than once.
  void Shutdown();

 private:
  // The loop of a pool thread; `self` is its entry in threads_.
  void Work(std::list<std::thread>::iterator self);
  // Joins the threads in ended_. Called with `lock` held; releases it while it
  // joins.
  void JoinEnded(std::unique_lock<std::mutex>& lock);

  const size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  // All below are guarded by mutex_.
  std::deque<Task> tasks_;
  // Number of threads that wait for a task.
  size_t idle_ = 0;
  bool stopping_ = false;
  std::list<std::thread> threads_;
  // Threads that are about to return.
  std::list<std::thread> ended_;
};

}  // namespace qh

#endif  // QH_HTTP_ELASTIC_POOL_H_
