// Serializes HTTP/1.x answers to callers: those of backend servers, whole or
// chunked, and the gateway's own error answers.

#ifndef QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_
#define QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_net/http_head.h"

namespace qh {

// Returns whether `status` is a server error (500 and above).
bool IsServerError(int status);

// Returns the head of a server's answer for the caller: the status line and all
// fields except the hop-by-hop ones. `minor_version` is the caller's HTTP/1.x
// version; HTTP/1.0 has no chunked encoding, so for 0 the body ends with the
// connection. `length` is the body's size in bytes and is ignored if `chunked`.
// `keep_alive` is how long the caller may keep the connection idle; the
// connection closes after the answer if it is not set.
std::string SerializeAnswerHead(const HttpHead& head,
                                int minor_version,
                                std::optional<std::chrono::seconds> keep_alive,
                                bool chunked,
                                size_t length);

// Returns `bytes` as one chunk of a chunked body; unchanged for HTTP/1.0.
std::string EncodeChunk(const std::string& bytes, int minor_version);

// Returns the chunk that ends a chunked body; empty for HTTP/1.0.
std::string EncodeLastChunk(int minor_version);

// Returns a complete error answer of the gateway: `fields`, and `error` as a
// problem document (application/problem+json). A request that was not executed
// and may be retried also gets a Retry-After of 0.05 to 3 seconds. `keep_alive`
// is as in SerializeAnswerHead.
std::string SerializeErrorAnswer(
    const Error& error,
    const std::vector<HttpField>& fields,
    std::optional<std::chrono::seconds> keep_alive);

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_
