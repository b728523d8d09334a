// Tests the incremental parser: messages split at any byte, ambiguous body
// framing, and size limits.

#include "qh_net/http_parser.h"

#include <catch2/catch.hpp>

#include "tests/fakes/endless_framing.h"

namespace qh {
namespace {

HttpParser RequestParser(const ParserLimits& limits = {}) {
  return {MessageKind::kRequest, limits};
}

constexpr std::string_view kPost =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

}  // namespace

TEST_CASE("a request is parsed however its bytes are split") {
  for (size_t step = 1; step < kPost.size(); ++step) {
    HttpParser parser = RequestParser();
    for (size_t at = 0; at < kPost.size(); at += step) {
      REQUIRE(parser.Feed(kPost.substr(at, step)));
    }
    REQUIRE(parser.done());
    CHECK(parser.head().method == "POST");
    CHECK(parser.head().target == "/a/b?c=d");
    CHECK(parser.TakeBody() == "hello");
    CHECK(parser.keep_alive());
  }
}

TEST_CASE("bytes after a request belong to the next one") {
  HttpParser parser = RequestParser();
  REQUIRE(parser.Feed(std::string(kPost) + "GET /x HTTP/1.1\r\nHost: h\r\n"));
  REQUIRE(parser.done());
  CHECK(parser.has_surplus());
  REQUIRE(parser.Next());
  CHECK_FALSE(parser.head_done());
  REQUIRE(parser.Feed("\r\n"));
  CHECK(parser.done());
  CHECK(parser.head().target == "/x");
}

TEST_CASE("ambiguous body framing is refused") {
  const auto text = GENERATE(
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: "
      "5\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: "
      "6\r\n\r\nhello!",
      "POST / HTTP/1.1\r\nContent-Length : 5\r\n\r\nhello",
      "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello");
  HttpParser parser = RequestParser();
  const auto parsed = parser.Feed(text);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().kind() == ErrorKind::kMalformedRequest);
}

TEST_CASE("the error tells which size limit was exceeded") {
  HttpParser small_head = RequestParser({.header_bytes = 64});
  const auto head = small_head.Feed(
      "GET / HTTP/1.1\r\nA: " + std::string(100, 'x') + "\r\n\r\n");
  REQUIRE_FALSE(head);
  CHECK(head.error().kind() == ErrorKind::kHeadersTooLarge);
  HttpParser small_body = RequestParser({.body_bytes = 4});
  const auto body = small_body.Feed(kPost);
  REQUIRE_FALSE(body);
  CHECK(body.error().kind() == ErrorKind::kBodyTooLarge);
}

// Guards against a peer that uses up the process's memory, or the time of its
// loop: such bytes were kept without a limit.
TEST_CASE("bytes that frame a body without end are refused") {
  const auto endless = GENERATE(from_range(EndlessFramings()));
  const MessageKind kind =
      GENERATE(MessageKind::kRequest, MessageKind::kAnswer);
  CAPTURE(endless.name);
  constexpr size_t kHeaderBytes = 4'096;
  HttpParser parser(kind, {.header_bytes = kHeaderBytes});
  REQUIRE(parser.Feed(kind == MessageKind::kRequest
                          ? "POST / HTTP/1.1\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n5\r\nhello\r\n"
                          : "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n5\r\nhello\r\n"));
  parser.TakeBody();
  Result<void> fed = parser.Feed(endless.begin);
  size_t bytes = 0;
  const std::string more = Repeated(endless.more, 1'000);
  while (fed && bytes < 100 * kHeaderBytes) {
    fed = parser.Feed(more);
    bytes += more.size();
    CHECK(parser.held_bytes() < 3 * kHeaderBytes);
  }
  REQUIRE_FALSE(fed);
  CHECK(fed.error().kind() == ErrorKind::kMalformedRequest);
  CHECK(fed.error().detail().find("framing without end") != std::string::npos);
  CHECK(parser.held_bytes() == 0);
}

// Guards against heads whose short fields take many times their bytes, and
// against buffers that a connection keeps between requests.
TEST_CASE("held bytes count what fields and buffers take") {
  constexpr size_t kFields = 1'000;
  HttpParser parser = RequestParser();
  std::string text = "POST / HTTP/1.1\r\n";
  for (size_t i = 0; i < kFields; ++i) {
    text += "a:\r\n";
  }
  REQUIRE(parser.Feed(text + "Content-Length: 3\r\n\r\nab"));
  CHECK(parser.held_bytes() >= kFields * sizeof(HttpField));
  REQUIRE(parser.Feed("c" + std::string(kPost)));
  CHECK(parser.surplus_bytes() == kPost.size());
  CHECK(parser.TakeBody() == "abc");
  parser.DropFields();
  CHECK(parser.held_bytes() < 4 * kPost.size());
  REQUIRE(parser.Next());
  CHECK(parser.TakeBody() == "hello");
  REQUIRE(parser.Next());
  CHECK(parser.held_bytes() == 0);
}

TEST_CASE("a body of known length takes no more than that") {
  constexpr size_t kBody = 100'000;
  HttpParser parser = RequestParser();
  REQUIRE(parser.Feed("POST / HTTP/1.1\r\nContent-Length: " +
                      std::to_string(kBody) + "\r\n\r\n"));
  for (size_t sent = 0; sent < kBody; sent += 1'000) {
    REQUIRE(parser.Feed(std::string(1'000, 'x')));
    CHECK(parser.held_bytes() < kBody + 1'000);
  }
  CHECK(parser.done());
}

TEST_CASE("a body in small chunks with extensions and trailers is accepted") {
  const auto chunk =
      GENERATE(as<std::string>(), "1\r\nx\r\n", "0001;a=b\r\nx\r\n");
  HttpParser parser = RequestParser();
  REQUIRE(parser.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
  for (int i = 0; i < 100'000; ++i) {
    REQUIRE(parser.Feed(chunk));
  }
  REQUIRE(parser.Feed("0\r\nA: b\r\nC: d\r\n\r\nGET / HTTP/1.1\r\n"));
  CHECK(parser.done());
  CHECK(parser.TakeBody().size() == 100'000);
}

TEST_CASE("an answer without a length ends when the connection closes") {
  HttpParser parser(MessageKind::kAnswer, {});
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc"));
  CHECK(parser.framing() == BodyFraming::kUntilClose);
  CHECK_FALSE(parser.done());
  REQUIRE(parser.FeedEnd());
  CHECK(parser.done());
  CHECK(parser.TakeBody() == "abc");
  CHECK_FALSE(parser.keep_alive());
}

TEST_CASE("an answer cut off before its end is incomplete") {
  const auto text =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
               "HTTP/1.1 200 OK\r\nContent-", "");
  HttpParser parser(MessageKind::kAnswer, {});
  REQUIRE(parser.Feed(text));
  CHECK_FALSE(parser.FeedEnd());
}

TEST_CASE("header names are case-insensitive") {
  HttpHead head;
  head.fields = {{"Connection", "close, X-Thing"}, {"N", "12"}, {"M", "1x"}};
  CHECK(head.HasToken("connection", "x-thing"));
  CHECK_FALSE(head.HasToken("connection", "x-thin"));
  CHECK(head.NumberOr("n", 0) == 12);
  CHECK(head.NumberOr("m", 7) == 7);
  CHECK(IsHopByHop("KEEP-alive"));
}

}  // namespace qh
