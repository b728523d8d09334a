// The process's log on standard output, for programs with an event loop. Lines
// are buffered in memory and written by FlushLog, which never blocks. If the
// reader of standard output is too slow, lines are dropped.

#ifndef QH_CORE_LOG_STDOUT_LOG_H_
#define QH_CORE_LOG_STDOUT_LOG_H_

#include <cstddef>
#include <string>

namespace qh {

// Capacity of the buffer. Lines that do not fit are dropped and counted.
inline constexpr size_t kMaxBufferedLogBytes = 256U << 10U;

// Redirects the log that InitLog has set up to standard output. Every line then
// contains `node`. For programs with one thread.
void LogToStdout(const std::string& node);

// Writes as many buffered bytes as standard output takes without blocking.
void FlushLog();

}  // namespace qh

#endif  // QH_CORE_LOG_STDOUT_LOG_H_
