// Result<T>: a value or an Error. Returned by every factory and call that can
// fail.

#ifndef QH_CORE_ERRORS_RESULT_H_
#define QH_CORE_ERRORS_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

#include "qh_core/errors/error_kind.h"
#include "qh_core/time/time.h"

namespace qh {

// An error kind with a detail text for logs and problem documents.
class Error {
 public:
  Error() = default;
  Error(ErrorKind kind, std::string detail)
      : kind_(kind), detail_(std::move(detail)) {}

  ErrorKind kind() const { return kind_; }
  // Says what happened; must not contain secrets.
  const std::string& detail() const { return detail_; }
  std::error_code code() const { return make_error_code(kind_); }

  // Time after which the same call may succeed. Zero if unknown; then the value
  // of the answer table applies.
  Duration retry_after() const { return retry_after_; }
  // Returns a copy of this error with the given retry time.
  Error WithRetryAfter(Duration retry_after) const {
    Error error = *this;
    error.retry_after_ = retry_after;
    return error;
  }

 private:
  ErrorKind kind_ = ErrorKind::kInternal;
  std::string detail_;
  Duration retry_after_ = Duration::zero();
};

// Reading the value of a failed result terminates the process.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// The value of a successful Result<void>.
inline auto Ok() {
  return boost::outcome_v2::success();
}

}  // namespace qh

#endif  // QH_CORE_ERRORS_RESULT_H_
