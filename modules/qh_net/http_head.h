// The head of an HTTP/1.1 message: its start line, and its header fields in the
// order and spelling in which they were received.

#ifndef QH_NET_HTTP_HEAD_H_
#define QH_NET_HTTP_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace qh {

struct HttpField {
  std::string name;
  std::string value;
};

// How the end of a message's body is determined.
enum class BodyFraming {
  // The message has no body.
  kNone,
  // By Content-Length.
  kLength,
  // By the chunked transfer coding.
  kChunked,
  // The body ends when the connection is closed.
  kUntilClose,
};

struct HttpHead {
  // Requests only.
  std::string method;
  std::string target;
  // Answers only.
  int status = 0;
  std::string reason;
  // 0 for HTTP/1.0, 1 for HTTP/1.1.
  int minor_version = 1;
  std::vector<HttpField> fields;

  // Returns the value of the first field called `name`, or null. Field names
  // are case-insensitive, here and below.
  const std::string* Find(std::string_view name) const;
  // Returns how many fields are called `name`.
  size_t Count(std::string_view name) const;
  // Returns the value of `name` as a whole number, or `default_value` if the
  // field is missing or malformed.
  uint64_t NumberOr(std::string_view name, uint64_t default_value) const;
  // Returns whether a field `name` has `token` in its comma-separated list;
  // tokens are case-insensitive too.
  bool HasToken(std::string_view name, std::string_view token) const;
  // Returns the tokens of all fields `name`, in lower case and sorted. For
  // heads of clients, whose fields may each have to be looked up.
  std::vector<std::string> SortedTokens(std::string_view name) const;
};

// Returns whether `status` can be the status of an answer to a request of this
// system: 100 to 599, but for 101, as no request asks to switch protocols.
bool IsUsableStatus(int status);

// Returns whether an answer with `status` is an interim one (1xx), which the
// final answer follows.
bool IsInterimStatus(int status);

// Return the memory that a string has allocated, and that fields take, in
// bytes. A string that fits into its object has allocated nothing.
size_t MemoryOf(const std::string& text);
size_t MemoryOf(const std::vector<HttpField>& fields);

// Returns whether two field names are equal, ignoring case.
bool SameFieldName(std::string_view a, std::string_view b);

// Returns `text` in lower case.
std::string ToLower(std::string_view text);

// Returns whether `name` is a standard hop-by-hop field, which a proxy must not
// forward. Fields that a Connection field names are hop-by-hop too; the caller
// checks for those.
bool IsHopByHop(std::string_view name);

// Appends "name: value\r\n".
void AppendField(std::string& text,
                 std::string_view name,
                 std::string_view value);

// Returns the standard reason phrase of `status`, or "Status" if it is not one
// that this system sends.
std::string_view ReasonPhrase(int status);

}  // namespace qh

#endif  // QH_NET_HTTP_HEAD_H_
