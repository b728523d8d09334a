#include "qh_net/http_head.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace qh {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// RFC 9110, section 15: other values are invalid.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

}  // namespace

bool IsUsableStatus(int status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

bool IsInterimStatus(int status) {
  return status >= kFirstStatus && status < kFirstFinalStatus;
}

size_t MemoryOf(const std::string& text) {
  static const size_t capacity_without_allocation = std::string().capacity();
  return text.capacity() > capacity_without_allocation ? text.capacity() + 1
                                                       : 0;
}

size_t MemoryOf(const std::vector<HttpField>& fields) {
  size_t bytes = fields.capacity() * sizeof(HttpField);
  for (const HttpField& field : fields) {
    bytes += MemoryOf(field.name) + MemoryOf(field.value);
  }
  return bytes;
}

bool SameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (SameFieldName(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

size_t HttpHead::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields.begin(), fields.end(),
      [&](const HttpField& field) { return SameFieldName(field.name, name); }));
}

uint64_t HttpHead::NumberOr(std::string_view name,
                            uint64_t default_value) const {
  const std::string* text = Find(name);
  if (text == nullptr) {
    return default_value;
  }
  uint64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, value);
  return error == std::errc() && stop == end ? value : default_value;
}

bool HttpHead::HasToken(std::string_view name, std::string_view token) const {
  for (const HttpField& field : fields) {
    if (!SameFieldName(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      if (SameFieldName(Trimmed(rest.substr(0, comma)), token)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

std::vector<std::string> HttpHead::SortedTokens(std::string_view name) const {
  std::vector<std::string> tokens;
  for (const HttpField& field : fields) {
    if (!SameFieldName(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      tokens.push_back(ToLower(Trimmed(rest.substr(0, comma))));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::sort(tokens.begin(), tokens.end());
  return tokens;
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), Lower);
  return lower;
}

bool IsHopByHop(std::string_view name) {
  constexpr std::array<std::string_view, 9> kNames = {"connection",
                                                      "keep-alive",
                                                      "proxy-connection",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade",
                                                      "proxy-authenticate",
                                                      "proxy-authorization"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view hop_by_hop) {
                       return SameFieldName(hop_by_hop, name);
                     });
}

void AppendField(std::string& text,
                 std::string_view name,
                 std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace qh
