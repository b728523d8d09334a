#include "qh_net/http_parser.h"

#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <optional>
#include <variant>

namespace qh {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using BeastError = beast::error_code;

// Appends `more` to `text`. If it has to grow, its new capacity is `capacity`,
// or what is needed if that is more; std::string would double it.
void AppendWithin(std::string& text, std::string_view more, size_t capacity) {
  const size_t size = text.size() + more.size();
  if (size > text.capacity()) {
    std::string larger;
    larger.reserve(std::max(size, capacity));
    larger.append(text);
    text = std::move(larger);
  }
  text.append(more);
}

// Receives the callbacks of Beast's parser and builds a head and a body.
template <bool kIsRequest>
class Collector final : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head;
  std::string body;
  // Size of the body so far, also of the part that was taken.
  uint64_t body_bytes = 0;

 private:
  // Appends to the body. Reserves no more than a body of known length needs,
  // instead of up to twice that.
  void AddBody(beast::string_view text) {
    const auto left = this->content_length_remaining();
    size_t capacity = 2 * body.capacity();
    if (left) {
      capacity = std::min<size_t>(capacity, body.size() + left.value());
    }
    AppendWithin(body, {text.data(), text.size()}, capacity);
    body_bytes += text.size();
  }
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
                        BeastError& error) override {
    if (!IsUsableStatus(code)) {
      error = http::error::bad_status;
    }
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
    AddBody(text);
    return text.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            BeastError& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 beast::string_view text,
                                 BeastError& /*error*/) override {
    AddBody(text);
    return text.size();
  }
  void on_finish_impl(BeastError& /*error*/) override {}
};

size_t HeadMemory(const HttpHead& head) {
  return MemoryOf(head.fields) + MemoryOf(head.target);
}

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
  // Bytes not yet parsed are those from `pending_begin`.
  std::string pending;
  size_t pending_begin = 0;
  // Memory that the fields of the current head take.
  size_t head_bytes = 0;
  // Bytes of the current message that were parsed.
  uint64_t parsed_bytes = 0;
  // Whether a byte of the current message was parsed.
  bool started = false;
  // Whether the body framing was checked.
  bool checked = false;
  // Whether the peer has closed its side.
  bool ended = false;

  size_t pending_bytes() const { return pending.size() - pending_begin; }
  void Begin() {
    parsed_bytes = 0;
    head_bytes = 0;
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
  // Parses the pending bytes and then `bytes`.
  template <typename Parser>
  Result<void> Parse(Parser& parser, std::string_view bytes);
  // Parses the pending bytes and then `bytes`, and keeps those that Beast can't
  // use yet.
  template <typename Parser>
  Result<void> ParsePending(Parser& parser, std::string_view bytes);
  // Parses `bytes` up to the end of the message and sets `used` to the number
  // of bytes that Beast used.
  template <typename Parser>
  Result<void> ParseBytes(Parser& parser, std::string_view bytes, size_t& used);
  // Drops the first `used` pending bytes.
  void Consume(size_t used);
  // Beast bounds the head and the body, but not what frames the body.
  template <typename Parser>
  Result<void> CheckFraming(const Parser& parser) const;
};

template <typename Parser>
Result<void> HttpParser::Impl::Parse(Parser& parser, std::string_view bytes) {
  Result<void> parsed = ParsePending(parser, bytes);
  if (parsed) {
    parsed = CheckFraming(parser);
  }
  if (!parsed) {
    std::string().swap(pending);
    pending_begin = 0;
    std::string().swap(parser.body);
    parser.head = HttpHead();
    head_bytes = 0;
  }
  return parsed;
}

template <typename Parser>
Result<void> HttpParser::Impl::CheckFraming(const Parser& parser) const {
  // Bytes after a complete message belong to the next one.
  const uint64_t received =
      parsed_bytes + (parser.is_done() ? 0 : pending_bytes());
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
Result<void> HttpParser::Impl::ParsePending(Parser& parser,
                                            std::string_view bytes) {
  size_t used = 0;
  if (pending_bytes() == 0) {
    // Most messages arrive at once and need no buffer.
    BOOST_OUTCOME_TRYV(ParseBytes(parser, bytes, used));
    AppendWithin(pending, bytes.substr(used), 0);
  } else {
    AppendWithin(pending, bytes, pending.size() / 4 * 5);
    BOOST_OUTCOME_TRYV(ParseBytes(
        parser, std::string_view(pending).substr(pending_begin), used));
    Consume(used);
  }
  parsed_bytes += used;
  return Ok();
}

template <typename Parser>
Result<void> HttpParser::Impl::ParseBytes(Parser& parser,
                                          std::string_view bytes,
                                          size_t& used) {
  while (!parser.is_done() && used < bytes.size()) {
    BeastError error;
    const size_t step = parser.put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += step;
    started = true;
    if (error && error != http::error::need_more) {
      return ToError(error);
    }
    if (!checked && parser.is_header_done()) {
      checked = true;
      head_bytes = HeadMemory(parser.head);
      if (HasAmbiguousFraming(parser.head)) {
        return Error(ErrorKind::kMalformedRequest, "unclear body framing");
      }
    }
    if (error == http::error::need_more || step == 0) {
      break;
    }
  }
  if (parser.is_done() && parser.chunked()) {
    // The trailer may have added fields.
    head_bytes = HeadMemory(parser.head);
  }
  return Ok();
}

// Moves the rest to the front only when at least as much was parsed, so that
// many small messages in one buffer are not moved once for each.
void HttpParser::Impl::Consume(size_t used) {
  pending_begin += used;
  if (pending_bytes() == 0) {
    std::string().swap(pending);
    pending_begin = 0;
  } else if (pending_begin > pending.size() / 2) {
    pending.erase(0, pending_begin);
    pending_begin = 0;
  }
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
  return impl_->Visit(
      [&](auto& parser) { return impl_->Parse(parser, bytes); });
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
  return impl_->started || impl_->pending_bytes() > 0;
}

bool HttpParser::has_surplus() const {
  return surplus_bytes() > 0;
}

size_t HttpParser::surplus_bytes() const {
  return done() ? impl_->pending_bytes() : 0;
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
  return impl_->head_bytes + MemoryOf(impl_->pending) +
         impl_->Visit([](auto& parser) { return MemoryOf(parser.body); });
}

void HttpParser::DropFields() {
  impl_->Visit([this](auto& parser) {
    parser.head.fields = std::vector<HttpField>();
    impl_->head_bytes = HeadMemory(parser.head);
  });
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
