// Tests the answer table: it is complete, in the order of the enum, and never
// reports a request as not executed that may have been.

#include "qh_core/errors/error_kind.h"

#include <catch2/catch.hpp>
#include <set>
#include <string_view>

namespace qh {

TEST_CASE("every error kind has its own row, in the order of the enum") {
  std::set<std::string_view> names;
  int index = 0;
  for (const ErrorAnswer& row : AnswerTable()) {
    CHECK(static_cast<int>(row.kind) == index++);
    CHECK(names.insert(row.name).second);
    CHECK(row.status >= 400);
    CHECK(!row.title.empty());
  }
  CHECK(index == static_cast<int>(ErrorKind::kInternal) + 1);
}

TEST_CASE("a failure after dispatch is never reported as not executed") {
  for (const ErrorKind kind :
       {ErrorKind::kServerFailed, ErrorKind::kServerTimeout,
        ErrorKind::kOutcomeUnknown, ErrorKind::kMalformedAnswer}) {
    CHECK(AnswerFor(kind).executed != Executed::kNo);
  }
}

}  // namespace qh
