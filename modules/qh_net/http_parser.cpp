#include "qh_net/http_parser.h"

#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>
#include <variant>

namespace qh {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using BeastError = beast::error_code;

// Receives the callbacks of Beast's parser and builds a head and a body.
template <bool kIsRequest>
class Collector final : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head;
  std::string body;
  // Size of the body so far, also of the part that was taken.
  uint64_t body_bytes = 0;

 private:
  void on_request_impl(http::verb /*method*/,
                       beast::string_view method,
                       beast::string_view target,
                       int version,
                       BeastError& /*error*/) override {
    head.method = std::string(method);
    head.target = std::string(target);
    head.minor_version = version % 10;
  }
  void on_response_impl(int code,
                        beast::string_view reason,
                        int version,
                        BeastError& /*error*/) override {
    head.status = code;
    head.reason = std::string(reason);
    head.minor_version = version % 10;
  }
  void on_field_impl(http::field /*field*/,
                     beast::string_view name,
                     beast::string_view value,
                     BeastError& /*error*/) override {
    head.fields.push_back({std::string(name), std::string(value)});
  }
  void on_header_impl(BeastError& /*error*/) override {}
  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         BeastError& /*error*/) override {}
  std::size_t on_body_impl(beast::string_view text,
                           BeastError& /*error*/) override {
    body.append(text.data(), text.size());
    body_bytes += text.size();
    return text.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            BeastError& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast::string_view text,
                                 BeastError& /*error*/) override {
    body.append(text.data(), text.size());
    body_bytes += text.size();
    return text.size();
  }
  void on_finish_impl(BeastError& /*error*/) override {}
};

Error ToError(const BeastError& error) {
  if (error == http::error::header_limit) {
    return {ErrorKind::kHeadersTooLarge, "header limit passed"};
  }
  if (error == http::error::body_limit) {
    return {ErrorKind::kBodyTooLarge, "body limit passed"};
  }
  return {ErrorKind::kMalformedRequest, error.message()};
}

// Returns whether the end of the body is ambiguous: with a transfer coding
// other than a single "chunked", or with both Transfer-Encoding and
// Content-Length. Two peers could then disagree on where the next message
// begins (request smuggling).
bool HasAmbiguousFraming(const HttpHead& head) {
  const std::string* coding = head.Find("Transfer-Encoding");
  return coding != nullptr && (head.Count("Transfer-Encoding") > 1 ||
                               !SameFieldName(*coding, "chunked") ||
                               head.Count("Content-Length") > 0);
}

}  // namespace

struct HttpParser::Impl {
  Impl(MessageKind message_kind, const ParserLimits& parser_limits)
      : kind(message_kind), limits(parser_limits) {}

  MessageKind kind;
  ParserLimits limits;
  std::optional<Collector<true>> request;
  std::optional<Collector<false>> answer;
  // Bytes not yet parsed.
  std::string pending;
  // Bytes of the current message that were parsed.
  uint64_t parsed_bytes = 0;
  // Whether a byte of the current message was parsed.
  bool started = false;
  // Whether the body framing was checked.
  bool checked = false;
  // Whether the peer has closed its side.
  bool ended = false;

  void Begin() {
    parsed_bytes = 0;
    started = false;
    checked = false;
    ended = false;
    if (kind == MessageKind::kRequest) {
      Prepare(request.emplace());
    } else {
      Prepare(answer.emplace());
    }
  }
  template <typename Parser>
  void Prepare(Parser& parser) const {
    parser.eager(true);
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
  }
  template <typename Visitor>
  auto Visit(Visitor&& visitor) {
    return kind == MessageKind::kRequest ? visitor(*request) : visitor(*answer);
  }
  template <typename Parser>
  Result<void> Parse(Parser& parser);
  // Parses pending bytes and keeps those that Beast can't use yet.
  template <typename Parser>
  Result<void> ParsePending(Parser& parser);
  // Beast bounds the head and the body, but not what frames the body.
  template <typename Parser>
  Result<void> CheckFraming(const Parser& parser) const;
};

template <typename Parser>
Result<void> HttpParser::Impl::Parse(Parser& parser) {
  Result<void> parsed = ParsePending(parser);
  if (parsed) {
    parsed = CheckFraming(parser);
  }
  if (!parsed) {
    pending.clear();
    pending.shrink_to_fit();
    parser.body.clear();
    parser.body.shrink_to_fit();
  }
  return parsed;
}

template <typename Parser>
Result<void> HttpParser::Impl::CheckFraming(const Parser& parser) const {
  // Bytes after a complete message belong to the next one.
  const uint64_t received =
      parsed_bytes + (parser.is_done() ? 0 : pending.size());
  const uint64_t besides_body = received - parser.body_bytes;
  const uint64_t allowed = 2 * uint64_t{limits.header_bytes} +
                           kMaxFramingPerBodyByte * parser.body_bytes;
  if (besides_body <= allowed) {
    return Ok();
  }
  return Error(ErrorKind::kMalformedRequest,
               "framing without end: " + std::to_string(besides_body) +
                   " bytes besides " + std::to_string(parser.body_bytes) +
                   " of body, " + std::to_string(allowed) + " allowed");
}

template <typename Parser>
Result<void> HttpParser::Impl::ParsePending(Parser& parser) {
  size_t used = 0;
  while (!parser.is_done() && used < pending.size()) {
    BeastError error;
    const size_t step = parser.put(
        boost::asio::buffer(pending.data() + used, pending.size() - used),
        error);
    used += step;
    started = true;
    if (error && error != http::error::need_more) {
      return ToError(error);
    }
    if (!checked && parser.is_header_done()) {
      checked = true;
      if (HasAmbiguousFraming(parser.head)) {
        return Error(ErrorKind::kMalformedRequest, "unclear body framing");
      }
    }
    if (error == http::error::need_more || step == 0) {
      break;
    }
  }
  pending.erase(0, used);
  parsed_bytes += used;
  return Ok();
}

HttpParser::HttpParser(MessageKind kind, const ParserLimits& limits)
    : impl_(std::make_unique<Impl>(kind, limits)) {
  impl_->Begin();
}
HttpParser::~HttpParser() = default;
HttpParser::HttpParser(HttpParser&&) noexcept = default;
HttpParser& HttpParser::operator=(HttpParser&&) noexcept = default;

void HttpParser::SetLimits(const ParserLimits& limits) {
  impl_->limits = limits;
  if (!impl_->started) {
    impl_->Visit([&](auto& parser) { impl_->Prepare(parser); });
  }
}

Result<void> HttpParser::Feed(std::string_view bytes) {
  impl_->pending.append(bytes);
  return impl_->Visit([&](auto& parser) { return impl_->Parse(parser); });
}

Result<void> HttpParser::FeedEnd() {
  impl_->ended = true;
  return impl_->Visit([&](auto& parser) -> Result<void> {
    if (parser.is_done()) {
      return Ok();
    }
    // Beast would accept a connection that ends before any byte as a message.
    if (!parser.is_header_done()) {
      return Error(ErrorKind::kMalformedAnswer, "connection ended early");
    }
    BeastError error;
    parser.put_eof(error);
    if (error || !parser.is_done()) {
      return Error(ErrorKind::kMalformedAnswer, "connection ended early");
    }
    return Ok();
  });
}

bool HttpParser::head_done() const {
  return impl_->Visit([](auto& parser) { return parser.is_header_done(); });
}

bool HttpParser::done() const {
  return impl_->Visit([](auto& parser) { return parser.is_done(); });
}

bool HttpParser::started() const {
  return impl_->started || !impl_->pending.empty();
}

bool HttpParser::has_surplus() const {
  return done() && !impl_->pending.empty();
}

const HttpHead& HttpParser::head() const {
  return *impl_->Visit([](auto& parser) { return &parser.head; });
}

BodyFraming HttpParser::framing() const {
  return impl_->Visit([](auto& parser) {
    if (parser.chunked()) {
      return BodyFraming::kChunked;
    }
    if (parser.content_length()) {
      return BodyFraming::kLength;
    }
    return parser.need_eof() ? BodyFraming::kUntilClose : BodyFraming::kNone;
  });
}

bool HttpParser::keep_alive() const {
  return !impl_->ended &&
         impl_->Visit([](auto& parser) { return parser.keep_alive(); });
}

size_t HttpParser::held_bytes() const {
  return impl_->pending.size() +
         impl_->Visit([](auto& parser) { return parser.body.size(); });
}

std::string HttpParser::TakeBody() {
  return impl_->Visit(
      [](auto& parser) { return std::exchange(parser.body, {}); });
}

Result<void> HttpParser::Next() {
  impl_->Begin();
  return Feed({});
}

}  // namespace qh
