#include "qh_core/log/log_line.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace qh {
namespace {

std::string Quoted(std::string_view value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return text + '"';
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

LogLine::LogLine(std::string_view event) : text_("event=") {
  text_ += event;
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") ==
                                           std::string_view::npos;
  return WithRaw(key, plain ? std::string(value) : Quoted(value));
}

LogLine& LogLine::With(std::string_view key, const char* value) {
  return With(key, std::string_view(value));
}

LogLine& LogLine::With(std::string_view key, double value) {
  return WithRaw(key, fmt::format("{:g}", value));
}

LogLine& LogLine::With(std::string_view key, bool value) {
  return WithRaw(key, value ? "true" : "false");
}

LogLine& LogLine::With(const Error& error) {
  return With("error", AnswerFor(error.kind()).name)
      .With("detail", error.detail());
}

LogLine& LogLine::WithRaw(std::string_view key, std::string_view value) {
  text_ += ' ';
  text_ += key;
  text_ += '=';
  text_ += value;
  return *this;
}

void LogLine::Write(LogLevel level) const {
  spdlog::default_logger_raw()->log(ToSpdlog(level), "{}", text_);
}

void InitLog(std::string_view program, LogLevel level) {
  const std::string name(program);
  auto logger = spdlog::stderr_logger_mt(name);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=%n %v");
  logger->set_level(ToSpdlog(level));
  spdlog::set_default_logger(logger);
}

}  // namespace qh
