#include "qh_gateway/decisions/admission/returned_requests.h"

namespace qh {

void ReturnedRequests::OnRefused(uint64_t content, TimePoint come_back) {
  come_back_[content] = come_back;
  order_.push_back(content);
  if (order_.size() > kMaxRemembered) {
    come_back_.erase(order_.front());
    order_.pop_front();
  }
}

bool ReturnedRequests::TakeReturned(uint64_t content, TimePoint now) {
  const auto found = come_back_.find(content);
  if (found == come_back_.end() || now < found->second - kEarly) {
    return false;
  }
  const bool in_time = now <= found->second + kReturnWindow;
  come_back_.erase(found);
  return in_time;
}

}  // namespace qh
