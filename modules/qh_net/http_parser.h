// Incremental parser for the HTTP/1.1 messages of one connection. Bytes after
// the end of a message stay buffered and belong to the next message.
//
// All that a parser holds of a message that isn't complete is bounded: its
// head, its body, and what frames the body (size lines of chunks with their
// extensions, and trailers).

#ifndef QH_NET_HTTP_PARSER_H_
#define QH_NET_HTTP_PARSER_H_

#include <memory>
#include <string>
#include <string_view>

#include "qh_core/errors/result.h"
#include "qh_net/http_head.h"

namespace qh {

enum class MessageKind { kRequest, kAnswer };

// Largest sizes accepted, in bytes.
struct ParserLimits {
  // For the head, and once more for what frames the body, which may grow beyond
  // that with the body; see HttpParser::kMaxFramingPerBodyByte.
  uint32_t header_bytes = 16U << 10U;
  uint64_t body_bytes = 4U << 20U;
};

class HttpParser {
 public:
  // Bytes of framing accepted for each byte of a body. Chunks of a single byte
  // need five.
  static constexpr uint64_t kMaxFramingPerBodyByte = 16;

  HttpParser(MessageKind kind, const ParserLimits& limits);
  ~HttpParser();
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;

  // Sets the limits of the messages of which no byte has been parsed yet.
  void SetLimits(const ParserLimits& limits);

  // Parses bytes received from the connection, up to the end of the current
  // message. Fails with kHeadersTooLarge, kBodyTooLarge or kMalformedRequest,
  // also for an answer whose status is not usable (see IsUsableStatus);
  // after a failure the connection can't be used any more, and the parser holds
  // nothing.
  Result<void> Feed(std::string_view bytes);

  // Signals that the peer has closed its side of the connection. Fails with
  // kMalformedAnswer if the current message is incomplete.
  Result<void> FeedEnd();

  // Whether the head is complete.
  bool head_done() const;
  // Whether the message is complete.
  bool done() const;
  // Whether any byte of the current message has been received.
  bool started() const;
  // Whether the message is complete and bytes after it are buffered.
  bool has_surplus() const;
  // Number of these bytes; zero while the message is incomplete.
  size_t surplus_bytes() const;
  const HttpHead& head() const;
  BodyFraming framing() const;
  // Whether the connection can be used for another message after this one.
  bool keep_alive() const;

  // Memory held, in bytes: for bytes not parsed yet, for the head's fields, and
  // for the body up to TakeBody. Short fields take many times their bytes.
  size_t held_bytes() const;
  // Frees the fields of a complete message's head.
  void DropFields();

  // Returns the part of the body read since the last call.
  std::string TakeBody();

  // Starts the next message and parses the bytes buffered for it. Fails as Feed
  // does.
  Result<void> Next();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_NET_HTTP_PARSER_H_
