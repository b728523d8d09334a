// RFC 9457 problem documents, the JSON bodies of error answers. Status, title
// and type come from AnswerTable() of qh_core.

#ifndef QH_NODE_SERVING_PROBLEM_H_
#define QH_NODE_SERVING_PROBLEM_H_

#include <string>

#include "qh_core/errors/result.h"
#include "qh_core/ids/ids.h"

namespace qh {

inline constexpr const char* kProblemType = "application/problem+json";

// Returns the problem document for `error`. It names the request `id` unless
// `id` is empty.
std::string ProblemJson(const Error& error, const RequestId& id);

}  // namespace qh

#endif  // QH_NODE_SERVING_PROBLEM_H_
