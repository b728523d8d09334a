// Ways to frame a chunked body with bytes that never end, for tests of the
// parser and of whole nodes. Each begins where the size line of a chunk is due.

#ifndef TESTS_FAKES_ENDLESS_FRAMING_H_
#define TESTS_FAKES_ENDLESS_FRAMING_H_

#include <string>
#include <vector>

namespace qh {

struct EndlessFraming {
  std::string name;
  std::string begin;
  // Comes again and again.
  std::string more;
};

inline std::vector<EndlessFraming> EndlessFramings() {
  return {{"a size line without an end", "", "x"},
          {"one endless extension", "5;a=", "x"},
          {"many extensions", "5", ";a=b;c=d"},
          {"zeros before the size", "", "0"},
          {"one trailer", "0\r\nA: ", "x"},
          {"many trailers", "0\r\n", "A: b\r\n"},
          {"an extension at every chunk", "",
           "1;a=" + std::string(60, 'x') + "\r\n:\r\n"}};
}

// Returns `text` again and again, `size` bytes or a little more.
inline std::string Repeated(const std::string& text, size_t size) {
  std::string repeated;
  while (repeated.size() < size) {
    repeated += text;
  }
  return repeated;
}

}  // namespace qh

#endif  // TESTS_FAKES_ENDLESS_FRAMING_H_
