// The requests that wait at this node for room at the servers of their
// services. Starts and refuses them as their services' wait queues decide.

#ifndef QH_GATEWAY_FORWARDING_WAITING_REQUESTS_H_
#define QH_GATEWAY_FORWARDING_WAITING_REQUESTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "qh_gateway/control/event_log.h"
#include "qh_gateway/decisions/admission/returned_requests.h"
#include "qh_gateway/decisions/admission/service_times.h"
#include "qh_gateway/decisions/admission/wait_queue.h"
#include "qh_metrics/metrics_registry.h"

namespace qh {

// Not thread-safe; used on the thread of the io_context only.
class WaitingRequests {
 public:
  enum class StartOutcome {
    // The request left the queue, and a connection to its server is sought.
    kStarted,
    // No server has room for it yet.
    kNoRoom,
    // The request has ended.
    kEnded,
  };

  struct Hooks {
    // Tries to start the request. Unless there is no room, the request has
    // left the queue when this returns.
    std::function<StartOutcome(TimePoint now)> try_start;
    // The request has been taken from the queue and is to be refused.
    std::function<void(const WaitQueue::Refusal&)> refuse;
  };

  WaitingRequests(boost::asio::io_context& io,
                  EventLog& log,
                  MetricsRegistry& metrics,
                  uint64_t seed);

  // The queue of `service`, for decisions about requests that don't wait in it.
  // Requests are added and removed with Add, Start and Remove.
  WaitQueue& QueueOf(const std::string& service);
  bool IsWaiting(const std::string& service) const;

  // Puts a request in the queue of `service` and serves the queue soon.
  WaitQueue::Id Add(const std::string& service,
                    const AdmissionRequest& request,
                    const WaitQueue::Class& classed,
                    Hooks hooks,
                    TimePoint now);
  // Takes a request from the queue because it starts.
  void Start(const std::string& service, WaitQueue::Id id, TimePoint now);
  // Takes a request from the queue because it has ended otherwise.
  void Remove(const std::string& service, WaitQueue::Id id, TimePoint now);
  // A request that was started from the queue has been sent, or won't be.
  void OnStartDone(const std::string& service);

  // Serves the queue of `service`, or of all services, in the next round of the
  // io_context: room may have become free, or less.
  void ServeSoon(const std::string& service);
  void ServeAllSoon();
  // Does the periodic work.
  void OnTick(TimePoint now);

  ReturnedRequests& returned() { return returned_; }
  ServiceTimes& service_times() { return service_times_; }
  size_t size() const;

 private:
  struct Service {
    explicit Service(const WaitQueue::Options& options) : queue(options) {}

    WaitQueue queue;
    std::map<WaitQueue::Id, Hooks> hooks;
    // Requests that were started from the queue and are not sent yet, so that
    // they don't count as load.
    size_t starting = 0;
    // Requests refused from the queue since the last log line, by reason.
    std::map<WaitEnd, uint64_t> refused;
    uint64_t started = 0;
    Duration longest_wait = Duration::zero();
  };

  Service& ServiceOf(const std::string& service);
  void Serve(const std::string& service);
  // Refuses what is to be refused now.
  void RefuseOverdue(const std::string& name, Service& service, TimePoint now);
  // Arms the timer that refuses requests when they become overdue.
  void ArmOverdueTimer(TimePoint now);
  void CountWait(const std::string& service, Duration waited);
  // Logs what the queues did since the last report.
  void Report(TimePoint now);

  boost::asio::io_context& io_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  uint64_t seed_;
  boost::asio::steady_timer overdue_timer_;
  // When the timer fires; nullopt when it isn't armed.
  std::optional<TimePoint> overdue_at_;
  std::map<std::string, Service> services_;
  // Services whose queues are served in the next round.
  std::set<std::string> to_serve_;
  ReturnedRequests returned_;
  ServiceTimes service_times_;
  TimePoint reported_at_;
};

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_WAITING_REQUESTS_H_
