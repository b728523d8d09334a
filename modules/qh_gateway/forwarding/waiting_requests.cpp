#include "qh_gateway/forwarding/waiting_requests.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "qh_core/log/log_line.h"

namespace qh {
namespace {

// Requests of one service that may be started and not sent yet. Servers' load
// does not show them, so more of them would overrun a server.
constexpr size_t kMaxStarting = 1;
// Requests that are tried in order when the first has no room at any server,
// e.g. because its prompt is long.
constexpr size_t kMaxTried = 4;
// Interval of the log lines about queues.
constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

WaitingRequests::WaitingRequests(boost::asio::io_context& io,
                                 EventLog& log,
                                 MetricsRegistry& metrics,
                                 uint64_t seed)
    : io_(io), log_(log), metrics_(metrics), seed_(seed), overdue_timer_(io) {}

WaitingRequests::Service& WaitingRequests::ServiceOf(
    const std::string& service) {
  return services_.try_emplace(service, WaitQueue::Options{.seed = seed_})
      .first->second;
}

WaitQueue& WaitingRequests::QueueOf(const std::string& service) {
  return ServiceOf(service).queue;
}

bool WaitingRequests::IsWaiting(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.queue.empty();
}

size_t WaitingRequests::size() const {
  size_t waiting = 0;
  for (const auto& [name, service] : services_) {
    waiting += service.queue.size();
  }
  return waiting;
}

WaitQueue::Id WaitingRequests::Add(const std::string& service,
                                   const AdmissionRequest& request,
                                   const WaitQueue::Class& classed,
                                   Hooks hooks,
                                   TimePoint now) {
  Service& entry = ServiceOf(service);
  const WaitQueue::Id id = entry.queue.Add(request, classed, now);
  entry.hooks[id] = std::move(hooks);
  ServeSoon(service);
  return id;
}

void WaitingRequests::CountWait(const std::string& service, Duration waited) {
  Service& entry = ServiceOf(service);
  entry.longest_wait = std::max(entry.longest_wait, waited);
  metrics_.Observe({.name = "gateway_wait_ms", .request_class = service},
                   ToMilliseconds(waited));
}

void WaitingRequests::Start(const std::string& service,
                            WaitQueue::Id id,
                            TimePoint now) {
  Service& entry = ServiceOf(service);
  entry.hooks.erase(id);
  if (const auto waited = entry.queue.Start(id, now)) {
    ++entry.starting;
    ++entry.started;
    CountWait(service, *waited);
  }
}

void WaitingRequests::Remove(const std::string& service,
                             WaitQueue::Id id,
                             TimePoint now) {
  Service& entry = ServiceOf(service);
  entry.hooks.erase(id);
  if (const auto waited = entry.queue.Remove(id, now)) {
    CountWait(service, *waited);
  }
}

void WaitingRequests::OnStartDone(const std::string& service) {
  Service& entry = ServiceOf(service);
  entry.starting -= std::min<size_t>(entry.starting, 1);
  ServeSoon(service);
}

void WaitingRequests::ServeSoon(const std::string& service) {
  if (!IsWaiting(service)) {
    return;
  }
  if (to_serve_.empty()) {
    boost::asio::post(io_, [this] {
      for (const std::string& name : std::exchange(to_serve_, {})) {
        Serve(name);
      }
      ArmOverdueTimer(MonotonicNow());
    });
  }
  to_serve_.insert(service);
}

void WaitingRequests::ServeAllSoon() {
  for (const auto& [name, service] : services_) {
    ServeSoon(name);
  }
}

void WaitingRequests::RefuseOverdue(const std::string& name,
                                    Service& service,
                                    TimePoint now) {
  for (const WaitQueue::Refusal& refusal : service.queue.TakeRefused(now)) {
    ++service.refused[refusal.reason];
    metrics_.Count({.name = "gateway_wait_refused_total",
                    .request_class = name,
                    .reason = std::string(ToName(refusal.reason))});
    CountWait(name, refusal.waited);
    const auto node = service.hooks.extract(refusal.id);
    if (!node.empty()) {
      node.mapped().refuse(refusal);
    }
  }
}

void WaitingRequests::Serve(const std::string& name) {
  Service& service = ServiceOf(name);
  const TimePoint now = MonotonicNow();
  bool progress = true;
  // Starts come before refusals, so that the next request is not refused as
  // overdue while there is room for it.
  while (progress && service.starting < kMaxStarting) {
    progress = false;
    for (const WaitQueue::Id id : service.queue.Next(kMaxTried)) {
      const auto found = service.hooks.find(id);
      if (found == service.hooks.end()) {
        continue;
      }
      // Copied because a start removes the hooks.
      const auto try_start = found->second.try_start;
      if (try_start(now) != StartOutcome::kNoRoom) {
        progress = true;
        break;
      }
    }
  }
  RefuseOverdue(name, service, now);
}

void WaitingRequests::ArmOverdueTimer(TimePoint now) {
  std::optional<TimePoint> next;
  for (const auto& [name, service] : services_) {
    if (const auto overdue = service.queue.NextOverdue()) {
      next = std::min(*overdue, next.value_or(*overdue));
    }
  }
  if (!next || (overdue_at_ && *overdue_at_ <= *next)) {
    return;
  }
  overdue_at_ = next;
  overdue_timer_.expires_after(std::max(Duration::zero(), *next - now));
  overdue_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      overdue_at_.reset();
      ServeAllSoon();
    }
  });
}

void WaitingRequests::OnTick(TimePoint now) {
  // A server that is slow to connect to must not hold the others up.
  for (auto& [name, service] : services_) {
    service.starting = 0;
  }
  ServeAllSoon();
  Report(now);
}

void WaitingRequests::Report(TimePoint now) {
  if (now - reported_at_ < kReportInterval) {
    return;
  }
  reported_at_ = now;
  for (auto& [name, service] : services_) {
    metrics_.Set({.name = "gateway_waiting", .request_class = name},
                 static_cast<double>(service.queue.size()));
    if (service.started == 0 && service.refused.empty()) {
      continue;
    }
    LogLine line(ToName(GatewayEvent::kQueueServed));
    line.With("service", name)
        .With("waiting", service.queue.size())
        .With("started", service.started)
        .With("longest_wait_ms", ToMilliseconds(service.longest_wait));
    for (const auto& [reason, count] : service.refused) {
      line.With(std::string(ToName(reason)), count);
    }
    log_.Write(line, GatewayEvent::kQueueServed);
    service.started = 0;
    service.refused.clear();
    service.longest_wait = Duration::zero();
  }
}

}  // namespace qh
