// The client of control calls: which answers count as whole.

#include "qh_net/http_client.h"

#include <catch2/catch.hpp>

#include "tests/fakes/abrupt_server.h"

namespace qh {
namespace {

using End = AbruptServer::End;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Makes one call to a server that answers with `answer`. `upload` is the size
// of the call's body in bytes.
CallReply CallOnce(const AbruptServer::Answer& answer, size_t upload = 2) {
  boost::asio::io_context io;
  const AbruptServer server(io, [&](size_t) { return answer; });
  const auto client = HttpClient::Create(io, server.address());
  CallReply result;
  client->Send(
      {.method = "PUT", .target = "/x", .body = std::string(upload, 'u')},
      milliseconds(400), [&](const CallReply& reply) {
        result = reply;
        client->Stop();
        io.stop();
      });
  io.run_for(seconds(2));
  return result;
}

constexpr size_t kLongUpload = size_t{4} << 20U;
const std::string kNoLength = "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}";

}  // namespace

// Guards against a part that passes for a whole answer: any error counted as
// the end of an answer without a length.
TEST_CASE("a reset completes no answer of a control call") {
  const size_t upload = GENERATE(size_t{2}, kLongUpload);
  CAPTURE(upload);
  CHECK(CallOnce({kNoLength, End::kReset}, upload).outcome ==
        HttpCallOutcome::kNoAnswer);
}

TEST_CASE("an answer of a control call ends with an orderly close") {
  const size_t upload = GENERATE(size_t{2}, kLongUpload);
  const CallReply reply = CallOnce({kNoLength, End::kClose}, upload);
  CHECK(reply.outcome == HttpCallOutcome::kAnswered);
  CHECK(reply.body == "{\"a\":1}");
}

TEST_CASE("an early answer of a control call with a length is taken") {
  const CallReply reply = CallOnce(
      {"HTTP/1.1 413 No\r\nContent-Length: 5\r\n\r\nlarge", End::kReset},
      kLongUpload);
  CHECK(reply.outcome == HttpCallOutcome::kAnswered);
  CHECK(reply.status == 413);
}

// Guards against a call whose bytes go out within the rest of the one before,
// which was answered before it was sent.
TEST_CASE("a call after an early answer has a connection of its own") {
  boost::asio::io_context io;
  const AbruptServer server(io, [](size_t request) {
    return AbruptServer::Answer{
        request == 0 ? "HTTP/1.1 413 No\r\nContent-Length: 5\r\n\r\nlarge"
                     : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
  });
  const auto client = HttpClient::Create(io, server.address());
  std::vector<int> statuses;
  for (const size_t upload : {kLongUpload, size_t{2}}) {
    client->Send(
        {.method = "PUT", .target = "/x", .body = std::string(upload, 'u')},
        milliseconds(400), [&](const CallReply& reply) {
          statuses.push_back(reply.status);
          if (statuses.size() == 2) {
            client->Stop();
            io.stop();
          }
        });
  }
  io.run_for(seconds(2));
  CHECK(statuses == std::vector<int>{413, 200});
  CHECK(server.connections() == 2);
}

// Guards against a call that is answered with an interim answer, or with a
// status that is none.
TEST_CASE("interim answers don't answer a control call") {
  const std::string interim =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n");
  const CallReply reply =
      CallOnce({interim + "HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\n{}"});
  CHECK(reply.outcome == HttpCallOutcome::kAnswered);
  CHECK(reply.status == 201);
  CHECK(reply.body == "{}");
  CHECK(CallOnce({interim, End::kClose}).outcome == HttpCallOutcome::kNoAnswer);
  CHECK(CallOnce({interim}).outcome == HttpCallOutcome::kNoAnswer);
}

TEST_CASE("a status outside 100 to 599 answers no control call") {
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  const CallReply reply =
      CallOnce({"HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}"});
  CHECK(reply.outcome == HttpCallOutcome::kNoAnswer);
  CHECK(reply.status == 0);
}

// Guards against a call that is answered by the beginning of an answer.
TEST_CASE("an answer of a control call that is cut anywhere is none") {
  const std::string answer = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 7\r\n\r\n{\"a\":1}",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\n{\"a\r\n4;ext=1\r\n\":1}\r\n0\r\nTrailer: x\r\n\r\n",
      "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n"
      "HTTP/1.1 204 None\r\nETag: \"5\"\r\n\r\n");
  const End end = GENERATE(End::kClose, End::kReset);
  for (size_t cut = 1; cut < answer.size(); cut += 3) {
    CAPTURE(answer.substr(0, cut), end);
    CHECK(CallOnce({answer.substr(0, cut), end}).outcome ==
          HttpCallOutcome::kNoAnswer);
  }
  CHECK(CallOnce({answer, end}).outcome == HttpCallOutcome::kAnswered);
}

}  // namespace qh
