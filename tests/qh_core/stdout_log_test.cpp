// Tests the log of programs with an event loop: if the reader of standard
// output stops, lines are dropped, and logging does not block.

#include "qh_core/log/stdout_log.h"

#include "qh_core/log/log_line.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>

namespace qh {

TEST_CASE(
    "a log whose reader has stopped never blocks and reports lost lines") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  REQUIRE(dup2(ends[1], STDOUT_FILENO) >= 0);
  LogToStdout("n1");
  const auto start = std::chrono::steady_clock::now();
  const std::string filler(200, 'x');
  for (int i = 0; i < 20'000; ++i) {
    LogLine("line").With("i", i).With("filler", filler).Info();
    if (i % 100 == 0) {
      FlushLog();
    }
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  // The reader reads again, until the buffer is empty.
  std::string read_text;
  std::array<char, 65'536> bytes{};
  for (int i = 0; i < 100; ++i) {
    FlushLog();
    LogLine("last").Info();
    FlushLog();
    const ssize_t size = read(ends[0], bytes.data(), bytes.size());
    read_text.append(bytes.data(), static_cast<size_t>(size));
  }
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  close(ends[0]);
  close(ends[1]);
  CHECK(elapsed < std::chrono::seconds(2));
  CHECK(read_text.find("node=n1 event=line i=0 ") != std::string::npos);
  CHECK(read_text.find("event=log_lines_dropped reason=\"reader too slow\"") !=
        std::string::npos);
}

}  // namespace qh
