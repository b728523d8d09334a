// One event per line, as key=value pairs:
//   LogLine("request_refused").With("request", id.value()).With("ms",
//   3).Info();

#ifndef QH_CORE_LOG_LOG_LINE_H_
#define QH_CORE_LOG_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>

#include "qh_core/errors/result.h"

namespace qh {

class LogLine {
 public:
  explicit LogLine(std::string_view event);

  // Adds a pair. An empty value or one with spaces, quotes or '=' is quoted.
  LogLine& With(std::string_view key, std::string_view value);
  LogLine& With(std::string_view key, const char* value);
  LogLine& With(std::string_view key, double value);
  LogLine& With(std::string_view key, bool value);
  template <std::integral T>
  LogLine& With(std::string_view key, T value) {
    return WithRaw(key, std::to_string(value));
  }
  // Adds the error's name as error= and its detail as detail=.
  LogLine& With(const Error& error);

  // Returns the line so far, without time and level.
  const std::string& text() const { return text_; }

  // Writes the line to the process's log.
  void Write(LogLevel level) const;
  void Debug() const { Write(LogLevel::kDebug); }
  void Info() const { Write(LogLevel::kInfo); }
  void Warning() const { Write(LogLevel::kWarning); }
  void Failure() const { Write(LogLevel::kError); }

 private:
  LogLine& WithRaw(std::string_view key, std::string_view value);

  std::string text_;
};

// Sets up the process's log on standard error. Every line contains `program`.
// Lines below `level` are dropped.
void InitLog(std::string_view program, LogLevel level);

}  // namespace qh

#endif  // QH_CORE_LOG_LOG_LINE_H_
