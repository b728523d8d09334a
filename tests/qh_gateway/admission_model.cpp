#include "tests/qh_gateway/admission_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace qh {
namespace {

constexpr double kTodayPerSlot = 4.5;
constexpr double kTodayRetryAfterMs = 40;
constexpr double kHeldFreeShare = 0.125;

TimePoint At(double ms) {
  return TimePoint(std::chrono::hours(1)) + FromSeconds(ms / 1'000);
}

struct Job {
  size_t index = 0;
  bool returned = false;
  AdmissionRequest admission;
  WaitQueue::Class classed;
  double sent_ms = 0;
  double open_per_slot = 0;
};

struct Server {
  std::deque<Job> queue;
  // Ends of the running requests.
  std::multiset<double> running;

  size_t open() const { return queue.size() + running.size(); }
};

class Model {
 public:
  Model(const ModelPattern& pattern, const ModelPolicy& policy)
      : pattern_(pattern),
        policy_(policy),
        queue_(policy.options),
        servers_(pattern.servers),
        state_(pattern.requests.size()),
        rng_(policy.options.seed, 3) {
    queue_.SetAssumedSlots(static_cast<double>(pattern.servers) *
                           static_cast<double>(pattern.slots));
    for (const ModelRequest& request : pattern.requests) {
      // The estimate of the work is right at the median only.
      estimates_.push_back(request.work_ms * std::exp2(2 * rng_.Uniform() - 1));
    }
  }

  ModelResult Run() {
    const auto& requests = pattern_.requests;
    const double end = requests.back().at_ms + 5'000;
    size_t next = 0;
    for (now_ = 0; now_ < end; now_ += 1) {
      RunServers();
      Refuse();
      Serve();
      for (; next < requests.size() && requests[next].at_ms <= now_; ++next) {
        Arrive(next, false);
      }
      while (!returns_.empty() && returns_.begin()->first <= now_) {
        const size_t index = returns_.begin()->second;
        returns_.erase(returns_.begin());
        ++return_count_[static_cast<int>(now_ / 10)];
        Arrive(index, true);
      }
    }
    return Summary();
  }

 private:
  enum class State { kOpen, kInTime, kLate, kRefused };

  void RunServers() {
    const auto serving = static_cast<size_t>(std::lround(
        static_cast<double>(pattern_.slots) * pattern_.capacity(now_)));
    for (Server& server : servers_) {
      server.running.erase(server.running.begin(),
                           server.running.upper_bound(now_));
      while (!server.queue.empty() && server.running.size() < serving) {
        const Job server_job = server.queue.front();
        const size_t index = server_job.index;
        server.queue.pop_front();
        const ModelRequest& request = pattern_.requests[index];
        const double waited = now_ - request.at_ms;
        if (waited + request.work_ms > request.deadline_ms) {
          state_[index] = State::kRefused;
          continue;
        }
        state_[index] = waited + StartMs(request) <= request.target_ms
                            ? State::kInTime
                            : State::kLate;
        server.running.insert(now_ + request.work_ms);
        times_.OnLoadedAnswer(
            "s",
            FromSeconds((now_ - server_job.sent_ms + request.work_ms) / 1'000),
            server_job.open_per_slot);
      }
    }
  }

  // Time from a request's start to the answer's beginning: all of its work if
  // that is short against the target, else a part (an engine's first event).
  static double StartMs(const ModelRequest& request) {
    return std::min(request.work_ms, request.target_ms / 4);
  }

  Server* Room(double per_slot) {
    Server& best = *std::min_element(
        servers_.begin(), servers_.end(),
        [](const auto& a, const auto& b) { return a.open() < b.open(); });
    return best.open() < per_slot * static_cast<double>(pattern_.slots)
               ? &best
               : nullptr;
  }

  void Send(Job job, Server& server) {
    job.sent_ms = now_;
    job.open_per_slot = static_cast<double>(server.open() + 1) /
                        static_cast<double>(pattern_.slots);
    server.queue.push_back(job);
  }

  double HoldPerSlot(const ModelRequest& request) const {
    return pattern_.hold_per_slot.value_or(
        times_.HoldPerSlot("s", FromSeconds(request.target_ms / 1'000)));
  }

  void Arrive(size_t index, bool returned) {
    const ModelRequest& request = pattern_.requests[index];
    Job job{.index = index, .returned = returned};
    if (!policy_.queue) {
      if (Server* server = Room(kTodayPerSlot)) {
        Send(job, *server);
      } else {
        OnRefused(job, kTodayRetryAfterMs);
      }
      return;
    }
    const double estimate = estimates_[index];
    const double hold = HoldPerSlot(request);
    const double at_server = pattern_.hold_per_slot
                                 ? (hold - 1) * std::min(estimate, 30.0)
                                 : (hold - 1) * times_.PerOpenMs("s");
    const double wait = std::max(kHeldFreeShare * request.target_ms,
                                 request.target_ms - at_server -
                                     std::min(estimate, request.target_ms / 4));
    job.admission = {
        .route = request.route,
        .team = request.team,
        .route_priority = request.priority,
        .priority = request.priority,
        .arrived = At(now_),
        .start_by = At(now_ + wait),
        .last_start = At(request.at_ms + request.deadline_ms - estimate),
        .work_ms = estimate,
        .returned = returned};
    job.classed = queue_.OnOffered(job.admission, At(now_));
    Server* server = queue_.empty() ? Room(hold) : nullptr;
    if (server != nullptr) {
      queue_.OnServed(job.admission, job.classed, At(now_));
      Send(job, *server);
      return;
    }
    waiting_[queue_.Add(job.admission, job.classed, At(now_))] = job;
    Refuse();
    Serve();
  }

  void Refuse() {
    for (const WaitQueue::Refusal& refusal : queue_.TakeRefused(At(now_))) {
      const Job job = waiting_.at(refusal.id);
      waiting_.erase(refusal.id);
      held_in_vain_[job.index] |=
          ToMilliseconds(refusal.waited) >
          kHeldFreeShare * pattern_.requests[job.index].target_ms;
      OnRefused(job, ToMilliseconds(refusal.retry_after));
    }
  }

  void Serve() {
    while (!queue_.empty()) {
      const WaitQueue::Id id = queue_.Next(1).front();
      Server* server =
          Room(HoldPerSlot(pattern_.requests[waiting_.at(id).index]));
      if (server == nullptr) {
        return;
      }
      queue_.Start(id, At(now_));
      const Job job = waiting_.at(id);
      waiting_.erase(id);
      queue_.OnServed(job.admission, job.classed, At(now_));
      Send(job, *server);
    }
  }

  void OnRefused(const Job& job, double retry_after_ms) {
    const ModelRequest& request = pattern_.requests[job.index];
    const double left = request.at_ms + request.deadline_ms - now_;
    if (!job.returned && retry_after_ms <= left / 3) {
      returns_.emplace(now_ + retry_after_ms, job.index);
    } else {
      state_[job.index] = State::kRefused;
    }
  }

  ModelResult Summary() {
    std::map<std::string, std::vector<double>> work;
    for (const ModelRequest& request : pattern_.requests) {
      work[request.route].push_back(request.work_ms);
    }
    for (auto& [route, all] : work) {
      std::sort(all.begin(), all.end());
    }
    ModelResult result;
    const auto count = [&](ModelOutcome& outcome, size_t index) {
      ++outcome.offered;
      outcome.in_time += state_[index] == State::kInTime ? 1 : 0;
      outcome.late += state_[index] == State::kLate ? 1 : 0;
      outcome.refused += state_[index] == State::kRefused ? 1 : 0;
      outcome.held_in_vain += held_in_vain_[index] ? 1 : 0;
    };
    for (size_t i = 0; i < pattern_.requests.size(); ++i) {
      const ModelRequest& request = pattern_.requests[i];
      count(result.all, i);
      count(result.groups["route " + request.route], i);
      if (!request.team.empty()) {
        count(result.groups["team " + request.team], i);
      }
      const auto& all = work[request.route];
      if (request.work_ms > all[all.size() * 9 / 10]) {
        count(result.groups["large " + request.route], i);
      }
    }
    for (const auto& [slot, returns] : return_count_) {
      result.most_returns = std::max(result.most_returns, returns);
    }
    return result;
  }

  const ModelPattern& pattern_;
  const ModelPolicy& policy_;
  WaitQueue queue_;
  ServiceTimes times_;
  std::vector<Server> servers_;
  std::vector<State> state_;
  std::vector<double> estimates_;
  std::map<WaitQueue::Id, Job> waiting_;
  std::multimap<double, size_t> returns_;
  std::map<int, size_t> return_count_;
  std::map<size_t, bool> held_in_vain_;
  Rng rng_;
  double now_ = 0;
};

}  // namespace

std::vector<std::string> ModelResult::Starved() const {
  std::vector<std::string> starved;
  for (const auto& [name, outcome] : groups) {
    const bool large = name.starts_with("large ");
    const double of_route =
        large ? groups.at("route " + name.substr(6)).served() : 0;
    if (outcome.served() < std::max(all.served() / 4, of_route / 2)) {
      starved.push_back(name);
    }
  }
  return starved;
}

ModelResult RunModel(const ModelPattern& pattern, const ModelPolicy& policy) {
  return Model(pattern, policy).Run();
}

std::vector<ModelRequest> MakeRequests(const std::vector<ModelStream>& streams,
                                       uint64_t seed) {
  std::vector<ModelRequest> requests;
  Rng rng(seed, 2);
  for (const ModelStream& stream : streams) {
    double at = stream.from_ms;
    while ((at += rng.Exponential(1'000 / stream.per_s)) < stream.to_ms) {
      ModelRequest request = stream.request;
      request.at_ms = at;
      request.work_ms +=
          rng.Uniform() * std::max(0.0, stream.max_work_ms - request.work_ms);
      requests.push_back(request);
    }
  }
  std::stable_sort(
      requests.begin(), requests.end(),
      [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  return requests;
}

}  // namespace qh
