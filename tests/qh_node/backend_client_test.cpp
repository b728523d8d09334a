// The daemon's client of backend servers: which answers count as whole.

#include "qh_node/upstream/backend_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "tests/fakes/abrupt_server.h"

namespace qh {
namespace {

using End = AbruptServer::End;

// Makes one call to a server that answers with `answer`; `upload` is the size
// of the call's body in bytes.
BackendReply CallOnce(const AbruptServer::Answer& answer, size_t upload = 2) {
  boost::asio::io_context io;
  const AbruptServer server(io, [&](size_t) { return answer; });
  std::thread thread([&] { io.run(); });
  BackendClient client;
  const BackendReply reply =
      client.Call({.address = server.address(),
                   .method = "POST",
                   .path = "/x",
                   .body = std::string(upload, 'u'),
                   .read_timeout = std::chrono::seconds(1)});
  io.stop();
  thread.join();
  return reply;
}

constexpr size_t kLongUpload = size_t{8} << 20U;
const std::string kNoLength = "HTTP/1.1 200 OK\r\n\r\nbody";

}  // namespace

// Guards against a part of an answer that passes for the whole.
TEST_CASE("the daemon takes no answer that was reset") {
  const size_t upload = GENERATE(size_t{2}, kLongUpload);
  CHECK(CallOnce({kNoLength, End::kReset}, upload).outcome ==
        BackendCallOutcome::kLost);
}

// Guards against a server's crash that looks like the end of its answer.
TEST_CASE("an answer without a length is the daemon's if its server lives") {
  const bool lives = GENERATE(true, false);
  const BackendReply reply =
      CallOnce({kNoLength, lives ? End::kClose : End::kExit});
  CHECK(reply.outcome ==
        (lives ? BackendCallOutcome::kCompleted : BackendCallOutcome::kLost));
}

// Guards against an answer with a status that is none.
TEST_CASE("the daemon takes no answer with a status that is none") {
  const std::string status = GENERATE("000", "099", "103", "600", "999");
  const BackendReply reply = CallOnce(
      {"HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody"});
  CHECK(reply.outcome == BackendCallOutcome::kLost);
}

// Guards against an answer that is the beginning of one.
TEST_CASE("the daemon takes no answer that is cut anywhere") {
  const std::string answer = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Content-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
  const End end = GENERATE(End::kClose, End::kReset);
  for (size_t cut = 1; cut < answer.size(); cut += 3) {
    CAPTURE(answer.substr(0, cut), end);
    CHECK(CallOnce({answer.substr(0, cut), end}).outcome ==
          BackendCallOutcome::kLost);
  }
  CHECK(CallOnce({answer, end}).outcome == BackendCallOutcome::kCompleted);
}

}  // namespace qh
