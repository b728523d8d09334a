#include "qh_gateway/forwarding/answer_serialization.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "qh_net/idle_connection.h"

namespace qh {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);

std::string SecondsText(Duration duration) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(duration));
  return {text.data(), static_cast<size_t>(size)};
}

// Says whether, and for how long, the caller may reuse the connection.
void AppendPersistence(std::string& text,
                       std::optional<std::chrono::seconds> keep_alive) {
  if (keep_alive) {
    AppendKeepAlive(text, *keep_alive);
  } else {
    AppendField(text, "Connection", "close");
  }
}

std::string StatusLine(int status, std::string_view reason) {
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) +
         "\r\n";
}

}  // namespace

bool IsServerError(int status) {
  return status >= 500;
}

std::string SerializeAnswerHead(const HttpHead& head,
                                int minor_version,
                                std::optional<std::chrono::seconds> keep_alive,
                                bool chunked,
                                size_t length) {
  std::string text = StatusLine(head.status, head.reason);
  for (const HttpField& field : head.fields) {
    const bool forwarded = !IsHopByHop(field.name) &&
                           !SameFieldName(field.name, "Content-Length") &&
                           !head.HasToken("Connection", field.name);
    if (forwarded) {
      AppendField(text, field.name, field.value);
    }
  }
  if (!chunked) {
    AppendField(text, "Content-Length", std::to_string(length));
  } else if (minor_version > 0) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
  AppendPersistence(text, keep_alive);
  return text + "\r\n";
}

std::string EncodeChunk(const std::string& bytes, int minor_version) {
  if (minor_version == 0) {
    return bytes;
  }
  std::array<char, 20> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string text(size.data(), end.ptr);
  return text.append("\r\n").append(bytes).append("\r\n");
}

std::string EncodeLastChunk(int minor_version) {
  return minor_version == 0 ? "" : "0\r\n\r\n";
}

std::string SerializeErrorAnswer(
    const Error& error,
    const std::vector<HttpField>& fields,
    std::optional<std::chrono::seconds> keep_alive) {
  const ErrorAnswer& answer = AnswerFor(error.kind());
  const nlohmann::json problem{{"type", answer.name},
                               {"title", answer.title},
                               {"status", answer.status},
                               {"executed", ToString(answer.executed)}};
  const std::string body = problem.dump();
  std::string text = StatusLine(answer.status, ReasonPhrase(answer.status));
  for (const HttpField& field : fields) {
    AppendField(text, field.name, field.value);
  }
  const bool has_retry_after = answer.executed == Executed::kNo &&
                               answer.retry_after > std::chrono::seconds(0);
  if (has_retry_after) {
    const Duration wait = error.retry_after() > Duration::zero()
                              ? error.retry_after()
                              : Duration(answer.retry_after);
    AppendField(text, "Retry-After",
                SecondsText(std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)));
  }
  AppendField(text, "Content-Type", "application/problem+json");
  AppendField(text, "Content-Length", std::to_string(body.size()));
  AppendPersistence(text, keep_alive);
  return text + "\r\n" + body;
}

}  // namespace qh
