#include "qh_node/serving/request_table.h"

namespace qh {

void RequestTable::Add(const RequestRecordPtr& record) {
  const std::lock_guard lock(mutex_);
  open_[record->spec().id] = record;
}

void RequestTable::MarkEnded(const RequestId& id) {
  const std::lock_guard lock(mutex_);
  auto node = open_.extract(id);
  if (node.empty()) {
    return;
  }
  ended_.insert(std::move(node));
  ended_order_.push_back(id);
  if (ended_order_.size() > max_ended_) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

RequestRecordPtr RequestTable::Find(const RequestId& id) const {
  const std::lock_guard lock(mutex_);
  for (const auto* records : {&open_, &ended_}) {
    const auto found = records->find(id);
    if (found != records->end()) {
      return found->second;
    }
  }
  return nullptr;
}

std::vector<RequestRecordPtr> RequestTable::OpenRecords() const {
  const std::lock_guard lock(mutex_);
  std::vector<RequestRecordPtr> records;
  for (const auto& [id, record] : open_) {
    records.push_back(record);
  }
  return records;
}

size_t RequestTable::open_count() const {
  const std::lock_guard lock(mutex_);
  return open_.size();
}

}  // namespace qh
