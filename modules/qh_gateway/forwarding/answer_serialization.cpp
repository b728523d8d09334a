#include "qh_gateway/forwarding/answer_serialization.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace qh {
namespace {

constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMostRetryAfter = std::chrono::seconds(3);

std::string SecondsText(Duration duration) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(duration));
  return {text.data(), static_cast<size_t>(size)};
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
                                bool keep_alive,
                                bool chunked,
                                size_t length) {
  std::string text = StatusLine(head.status, head.reason);
  for (const HttpField& field : head.fields) {
    const bool passed = !IsHopByHop(field.name) &&
                        !SameFieldName(field.name, "Content-Length") &&
                        !head.HasToken("Connection", field.name);
    if (passed) {
      AppendField(text, field.name, field.value);
    }
  }
  if (!chunked) {
    AppendField(text, "Content-Length", std::to_string(length));
  } else if (minor_version > 0) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
  if (!keep_alive) {
    AppendField(text, "Connection", "close");
  }
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

std::string SerializeErrorAnswer(const Error& error,
                                 const std::vector<HttpField>& fields,
                                 bool keep_alive) {
  const ErrorAnswer& row = AnswerFor(error.kind());
  const nlohmann::json problem{{"type", row.name},
                               {"title", row.title},
                               {"status", row.status},
                               {"executed", ToString(row.executed)}};
  const std::string body = problem.dump();
  std::string text = StatusLine(row.status, ReasonPhrase(row.status));
  for (const HttpField& field : fields) {
    AppendField(text, field.name, field.value);
  }
  const bool comes_back = row.executed == Executed::kNo &&
                          row.retry_after > std::chrono::seconds(0);
  if (comes_back) {
    const Duration wait = error.retry_after() > Duration::zero()
                              ? error.retry_after()
                              : Duration(row.retry_after);
    AppendField(
        text, "Retry-After",
        SecondsText(std::clamp(wait, kLeastRetryAfter, kMostRetryAfter)));
  }
  AppendField(text, "Content-Type", "application/problem+json");
  AppendField(text, "Content-Length", std::to_string(body.size()));
  if (!keep_alive) {
    AppendField(text, "Connection", "close");
  }
  return text + "\r\n" + body;
}

}  // namespace qh
