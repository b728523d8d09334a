// Tests the check that text is UTF-8.

#include <catch2/catch.hpp>

#include "qh_core/text/utf8.h"

namespace qh {

TEST_CASE("valid UTF-8 is accepted") {
  CHECK_FALSE(FindInvalidUtf8(""));
  CHECK_FALSE(FindInvalidUtf8("{}\n\t\r\n"));
  CHECK_FALSE(FindInvalidUtf8("Z\xc3\xbcrich \xe2\x82\xac \xf0\x9f\x9b\x9f"));
}

TEST_CASE("the first byte that is not UTF-8 is reported by line and column") {
  const auto [text, position] = GENERATE(table<std::string, TextPosition>({
      {"\xff", {1, 1}},
      {"a\nb\xe9", {2, 2}},
      {"\xc3\xbc\x80", {1, 3}},
      // Cut off, overlong, a surrogate, above the last code point.
      {"ab\xe2\x82", {1, 3}},
      {"\xc0\xaf", {1, 1}},
      {"\xed\xa0\x80", {1, 1}},
      {"\xf4\x90\x80\x80", {1, 1}},
  }));
  CHECK(FindInvalidUtf8(text) == position);
}

}  // namespace qh
