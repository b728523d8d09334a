#include "qh_core/log/stdout_log.h"

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>

namespace qh {
namespace {

// A pipe that polls as writable takes this many bytes without blocking
// (PIPE_BUF on Linux).
constexpr size_t kMaxWriteBytes = 4'096;

// Buffers log lines and writes them to standard output when flushed.
class BufferingSink final : public spdlog::sinks::base_sink<std::mutex> {
 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffered_.size() + line.size() > kMaxBufferedLogBytes) {
      ++dropped_;
      return;
    }
    buffered_.append(line.data(), line.size());
  }

  void flush_() override {
    size_t written = 0;
    while (written < buffered_.size() && CanWrite()) {
      const size_t size = std::min(kMaxWriteBytes, buffered_.size() - written);
      const ssize_t count =
          write(STDOUT_FILENO, buffered_.data() + written, size);
      if (count <= 0) {
        break;
      }
      written += static_cast<size_t>(count);
    }
    buffered_.erase(0, written);
    if (buffered_.empty() && dropped_ > 0) {
      buffered_ = "event=log_lines_dropped reason=\"reader too slow\" lines=" +
                  std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
  }

  static bool CanWrite() {
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  // Both are guarded by the sink's mutex.
  std::string buffered_;
  size_t dropped_ = 0;
};

}  // namespace

void LogToStdout(const std::string& node) {
  const auto logger = spdlog::default_logger();
  logger->sinks() = {std::make_shared<BufferingSink>()};
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l node=" + node +
                      " %v");
}

void FlushLog() {
  spdlog::default_logger_raw()->flush();
}

}  // namespace qh
