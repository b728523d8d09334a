// The records of a node's open and recently ended requests, by id.

#ifndef QH_NODE_SERVING_REQUEST_TABLE_H_
#define QH_NODE_SERVING_REQUEST_TABLE_H_

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "qh_node/serving/request_record.h"

namespace qh {

using RequestRecordPtr = std::shared_ptr<RequestRecord>;

// Thread safe.
class RequestTable {
 public:
  // Keeps the last `max_ended` ended records.
  explicit RequestTable(size_t max_ended) : max_ended_(max_ended) {}

  void Add(const RequestRecordPtr& record);
  // Marks the record as ended. It can be found until `max_ended` later records
  // have ended. Does nothing if no such record is open.
  void MarkEnded(const RequestId& id);
  // Returns the record, or null if the id is not known.
  RequestRecordPtr Find(const RequestId& id) const;
  std::vector<RequestRecordPtr> OpenRecords() const;
  size_t open_count() const;

 private:
  const size_t max_ended_;
  mutable std::mutex mutex_;
  // All below are guarded by mutex_. An id is in open_ or in ended_, never in
  // both.
  std::unordered_map<RequestId, RequestRecordPtr> open_;
  std::unordered_map<RequestId, RequestRecordPtr> ended_;
  // Ids of ended_, oldest first.
  std::deque<RequestId> ended_order_;
};

}  // namespace qh

#endif  // QH_NODE_SERVING_REQUEST_TABLE_H_
