// The bytes of answers to callers.

#ifndef QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_
#define QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_

#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_net/http_head.h"

namespace qh {

// Whether `status` says that the server itself failed.
bool IsServerError(int status);

// Returns the head of a server's answer as the caller gets it: every field but
// those that concern one connection. `minor_version` is the caller's; a caller
// of HTTP/1.0 gets no chunks. `length` counts unless `chunked`.
std::string SerializeAnswerHead(const HttpHead& head,
                                int minor_version,
                                bool keep_alive,
                                bool chunked,
                                size_t length);

// Returns `bytes` as a part of a chunked body.
std::string EncodeChunk(const std::string& bytes, int minor_version);

// Returns what ends a chunked body.
std::string EncodeLastChunk(int minor_version);

// Returns a whole answer of the gateway's own: a problem document, and when to
// come back where the request was not run.
std::string SerializeErrorAnswer(const Error& error,
                                 const std::vector<HttpField>& fields,
                                 bool keep_alive);

}  // namespace qh

#endif  // QH_GATEWAY_FORWARDING_ANSWER_SERIALIZATION_H_
