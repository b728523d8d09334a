// What a node reports of itself and of its requests to operators, as JSON.

#ifndef QH_NODE_CONTROL_NODE_REPORT_H_
#define QH_NODE_CONTROL_NODE_REPORT_H_

#include <string>
#include <vector>

#include "qh_membership/membership.h"
#include "qh_node/node.h"
#include "qh_node/serving/request_record.h"

namespace qh {

// Returns the state of this node and the members that it knows.
std::string NodeStatusJson(const NodeSettings& settings,
                           const LocalStatus& status,
                           bool draining,
                           const std::vector<Member>& members);

// Returns the state of a request; `decision` says why its server was chosen.
std::string RequestReportJson(const RequestRecord& record,
                              const std::string& decision);

}  // namespace qh

#endif  // QH_NODE_CONTROL_NODE_REPORT_H_
