// Queue of the requests that wait in a gateway node. It is fair between teams:
// the next request is from the team with the fewest served tokens in relation
// to its weight (start-time fair queueing).

#ifndef QH_ROUTING_ADMISSION_FAIR_QUEUE_H_
#define QH_ROUTING_ADMISSION_FAIR_QUEUE_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "qh_routing/route_query.h"

namespace qh {

// A waiting request.
struct QueuedRequest {
  RouteQuery query;
  TimePoint queued_at;
};

// Returns the tokens that `query` is charged with: those of its prompt and the
// maximum of its answer.
double TokensOf(const RouteQuery& query);

class FairQueue {
 public:
  // Holds up to `capacity` requests of all teams.
  explicit FairQueue(size_t capacity);

  // Sets the weight of `team` in relation to other teams; 1 unless set.
  void SetWeight(const TeamId& team, double weight);

  // Adds a request. If the queue is full, it rejects the last request of the
  // team with the longest queue in relation to its weight; if that is the team
  // of the new request, it rejects the new one. Returns the rejected request.
  std::optional<QueuedRequest> Push(QueuedRequest request);

  // Returns the next request, or null if none waits.
  const QueuedRequest* Front() const;

  // Removes and returns the next request, and charges its team.
  std::optional<QueuedRequest> Pop();

  // Charges `team` for a request that did not have to wait.
  void Charge(const TeamId& team, double tokens);

  // Removes `request`. Returns whether it was waiting.
  bool Remove(const RequestId& request);

  // Removes and returns the requests for which `predicate` returns true. It is
  // called with a request and the number of its team's requests before it.
  template <typename Predicate>
  std::vector<QueuedRequest> RemoveIf(Predicate predicate) {
    std::vector<QueuedRequest> removed;
    for (auto& [team, queue] : teams_) {
      std::deque<QueuedRequest> kept;
      for (QueuedRequest& request : queue.requests) {
        if (predicate(request, kept.size())) {
          removed.push_back(std::move(request));
        } else {
          kept.push_back(std::move(request));
        }
      }
      queue.requests = std::move(kept);
    }
    size_ -= removed.size();
    return removed;
  }

  size_t size() const { return size_; }
  // Number of teams with waiting requests.
  size_t waiting_teams() const;
  // Number of waiting requests of `team`.
  size_t SizeOf(const TeamId& team) const;

  // Returns the estimated number of requests that would be served before a new
  // one of `team`.
  double RequestsAheadOf(const TeamId& team) const;

 private:
  struct TeamQueue {
    std::deque<QueuedRequest> requests;
    double weight = 1;
    // Start tag of the next request: tokens served divided by the weight.
    // Raised to virtual_time_ when a request arrives at the empty queue.
    double start_tag = 0;
  };

  // Returns the team with the smallest start tag, or null if no request waits.
  TeamQueue* NextTeam();
  const TeamQueue* NextTeam() const;

  size_t capacity_;
  // Number of waiting requests of all teams; at most capacity_.
  size_t size_ = 0;
  // Start tag of the request that was served last.
  double virtual_time_ = 0;
  std::map<TeamId, TeamQueue> teams_;
};

}  // namespace qh

#endif  // QH_ROUTING_ADMISSION_FAIR_QUEUE_H_
