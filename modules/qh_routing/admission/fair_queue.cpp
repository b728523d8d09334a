#include "qh_routing/admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace qh {

double TokensOf(const RouteQuery& query) {
  return double(query.prompt_tokens) + query.max_output_tokens;
}

FairQueue::FairQueue(size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
}

void FairQueue::SetWeight(const TeamId& team, double weight) {
  assert(weight > 0);
  teams_[team].weight = weight;
}

std::optional<QueuedRequest> FairQueue::Push(QueuedRequest request) {
  const TeamId team = request.query.team;
  TeamQueue& queue = teams_[team];
  std::optional<QueuedRequest> rejected;
  if (size_ >= capacity_) {
    TeamQueue* longest = &queue;
    double length = double(queue.requests.size() + 1) / queue.weight;
    for (auto& [id, other] : teams_) {
      const double other_length = double(other.requests.size()) / other.weight;
      if (other_length > length) {
        longest = &other;
        length = other_length;
      }
    }
    if (longest == &queue) {
      return request;
    }
    rejected = std::move(longest->requests.back());
    longest->requests.pop_back();
    --size_;
  }
  if (queue.requests.empty()) {
    queue.start_tag = std::max(queue.start_tag, virtual_time_);
  }
  queue.requests.push_back(std::move(request));
  ++size_;
  return rejected;
}

const QueuedRequest* FairQueue::Front() const {
  const TeamQueue* queue = NextTeam();
  return queue ? &queue->requests.front() : nullptr;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  TeamQueue* queue = NextTeam();
  if (!queue) {
    return std::nullopt;
  }
  QueuedRequest request = std::move(queue->requests.front());
  queue->requests.pop_front();
  --size_;
  virtual_time_ = std::max(virtual_time_, queue->start_tag);
  queue->start_tag += TokensOf(request.query) / queue->weight;
  return request;
}

void FairQueue::Charge(const TeamId& team, double tokens) {
  TeamQueue& queue = teams_[team];
  queue.start_tag =
      std::max(queue.start_tag, virtual_time_) + tokens / queue.weight;
  if (size_ == 0) {
    // No request waits: advance the virtual time to the smallest start tag.
    double smallest = queue.start_tag;
    for (const auto& [id, other] : teams_) {
      if (other.start_tag >= virtual_time_) {
        smallest = std::min(smallest, other.start_tag);
      }
    }
    virtual_time_ = std::max(virtual_time_, smallest);
  }
}

bool FairQueue::Remove(const RequestId& request) {
  return !RemoveIf([&](const QueuedRequest& waiting, size_t) {
            return waiting.query.request == request;
          }).empty();
}

size_t FairQueue::waiting_teams() const {
  return size_t(std::count_if(
      teams_.begin(), teams_.end(),
      [](const auto& entry) { return !entry.second.requests.empty(); }));
}

size_t FairQueue::SizeOf(const TeamId& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.requests.size();
}

double FairQueue::RequestsAheadOf(const TeamId& team) const {
  const auto own = teams_.find(team);
  const double weight = own == teams_.end() ? 1 : own->second.weight;
  const double own_length = double(SizeOf(team));
  double ahead = own_length;
  for (const auto& [id, queue] : teams_) {
    if (id != team) {
      // The other team is served in proportion to its weight until all requests
      // of `team` are served.
      ahead += std::min(double(queue.requests.size()),
                        (own_length + 1) * queue.weight / weight);
    }
  }
  return ahead;
}

FairQueue::TeamQueue* FairQueue::NextTeam() {
  return const_cast<TeamQueue*>(std::as_const(*this).NextTeam());
}

const FairQueue::TeamQueue* FairQueue::NextTeam() const {
  const TeamQueue* next = nullptr;
  for (const auto& [team, queue] : teams_) {
    if (!queue.requests.empty() &&
        (!next || queue.start_tag < next->start_tag)) {
      next = &queue;
    }
  }
  return next;
}

}  // namespace qh
