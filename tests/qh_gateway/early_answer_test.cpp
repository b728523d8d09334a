// Answers that come before their request is sent, with statuses that are none,
// or that stop within their head.

#include <catch2/catch.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/fakes/abrupt_server.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using End = AbruptServer::End;
using std::chrono::milliseconds;

constexpr size_t kUploadBytes = size_t{3} << 20U;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kNoLength =
    "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: stamp\r\n\r\nbody";
const std::string kStreamNoLength =
    "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: stamp\r\n"
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n";

class EarlyAnswer : public GatewayFixture {
 public:
  AbruptServer& AddAbrupt(const std::string& id,
                          const std::string& service,
                          AbruptServer::Script script) {
    servers_.push_back(std::make_unique<AbruptServer>(io, std::move(script)));
    Register(id, service, servers_.back()->address());
    return *servers_.back();
  }

  // Sends a long upload, and waits until its answer has ended.
  ScriptedCaller& Upload(const std::string& path) {
    ScriptedCaller& caller = AddCaller();
    caller.SendInBackground("POST " + path +
                            " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" +
                            "Content-Length: " + std::to_string(kUploadBytes) +
                            "\r\n\r\n" + std::string(kUploadBytes, 'u'));
    REQUIRE(RunUntil([&] { return state.open_requests == 1; }));
    REQUIRE(RunUntil([&] { return state.open_requests == 0; }));
    RunFor(milliseconds(20));
    return caller;
  }

 private:
  std::vector<std::unique_ptr<AbruptServer>> servers_;
};

}  // namespace

// Guards against the report of another operator (issue 60): a part of a 200
// without a length passed for the whole, as the write of the upload took the
// reset's error, and the read then looked like an orderly close.
TEST_CASE_METHOD(EarlyAnswer, "a reset during an upload completes no answer") {
  const bool stream = GENERATE(false, true);
  CAPTURE(stream);
  AddAbrupt("a", stream ? "chat" : "plain", [&](size_t) {
    return AbruptServer::Answer{stream ? kStreamNoLength : kNoLength,
                                End::kReset};
  });
  ScriptedCaller& caller = Upload(stream ? "/stream/x" : "/unsafe/x");
  CHECK_FALSE(Has(caller.received(), EncodeLastChunk(1)));
  if (stream) {
    CHECK(Has(caller.received(), "id: 1\n"));
    CHECK(caller.closed());
  } else {
    CHECK(Has(caller.received(), "HTTP/1.1 502 "));
    CHECK_FALSE(Has(caller.received(), "stamp"));
  }
}

TEST_CASE_METHOD(EarlyAnswer, "an early answer that ended is delivered") {
  SECTION("without a length, in order, while its server reads no more") {
    AddAbrupt("a", "plain", [](size_t) {
      return AbruptServer::Answer{kNoLength, End::kClose};
    });
    const std::string& answer = Upload("/unsafe/x").received();
    CHECK(Has(answer, "HTTP/1.1 200 "));
    CHECK(Has(answer, "body"));
  }
  SECTION("with a length, before a reset") {
    AddAbrupt("a", "plain", [](size_t) {
      return AbruptServer::Answer{StampedAnswer(413, "large"), End::kReset};
    });
    const std::string& answer = Upload("/unsafe/x").received();
    CHECK(Has(answer, "HTTP/1.1 413 "));
    CHECK(Has(answer, "large"));
  }
}

// Guards against the report of another operator (issue 60): a status that is
// none was handed on, or waited on until the deadline as if it were an interim
// answer.
TEST_CASE_METHOD(EarlyAnswer, "a status outside 100 to 599 is no answer") {
  const std::string status = GENERATE("000", "001", "099", "600", "999", "101");
  const std::string framing =
      GENERATE("Content-Length: 4\r\n\r\nbody", "\r\nbody",
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
               "Content-Length: 0\r\n\r\n");
  const std::string path = GENERATE("/unsafe/x", "/safe/x", "/stream/x");
  CAPTURE(status, framing, path);
  const std::string service = path == "/stream/x" ? "chat" : "plain";
  const std::string odd = "HTTP/1.1 " + status +
                          " Odd\r\nRequest-Id: %ID%\r\n" +
                          "Server-Stamp: stamp\r\n" + framing;
  size_t sent = 0;
  for (const char* id : {"a", "b"}) {
    AddAbrupt(id, service, [&](size_t) {
      return AbruptServer::Answer{sent++ == 0 ? odd
                                              : StampedAnswer(200, "good")};
    });
  }
  const TimePoint start = MonotonicNow();
  ScriptedCaller& caller =
      SendRequest("POST", path, "r1", "Content-Length: 0\r\n");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
  CHECK(MonotonicNow() - start < milliseconds(100));
  CHECK(Has(caller.received(),
            path == "/safe/x" ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
  CHECK_FALSE(Has(caller.received(), "Odd"));
  CHECK(sent == (path == "/safe/x" ? 2 : 1));
}

TEST_CASE_METHOD(EarlyAnswer, "interim answers are skipped") {
  const std::string interim =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n");
  AddAbrupt("a", "plain", [&](size_t) {
    return AbruptServer::Answer{interim + StampedAnswer(200, "body")};
  });
  ScriptedCaller& caller = SendRequest("GET", "/safe/x");
  REQUIRE(RunUntil([&] { return Has(caller.received(), "body"); }));
  CHECK(Has(caller.received(), "HTTP/1.1 200 "));
}

// Guards against the report of another operator (issue 60): an answer whose
// server stopped within the head reached the caller as a 200 with an empty or a
// short body.
TEST_CASE_METHOD(EarlyAnswer, "a head cut anywhere answers nothing") {
  const std::string interim = "HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\n";
  const std::string head = GENERATE_COPY(
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                  "Server-Stamp: stamp\r\nContent-Length: 4\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                  "Server-Stamp: stamp\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                  "Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n"),
      interim + "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n\r\n");
  const std::string path = GENERATE("/unsafe/x", "/stream/x", "/safe/x");
  const End end = GENERATE(End::kClose, End::kReset);
  CAPTURE(path, end);
  const std::string service = path == "/stream/x" ? "chat" : "plain";
  std::string bytes;
  const auto script = [&](size_t) { return AbruptServer::Answer{bytes, end}; };
  AddAbrupt("a", service, script);
  AddAbrupt("b", service, script);
  for (size_t cut = 1; cut < head.size(); cut += 5) {
    bytes = head.substr(0, cut);
    CAPTURE(bytes);
    ScriptedCaller& caller = SendRequest(
        "POST", path, "r" + std::to_string(cut), "Content-Length: 0\r\n");
    REQUIRE(RunUntil([&] { return Has(caller.received(), "\r\n\r\n"); }));
    CHECK_FALSE(Has(caller.received(), "HTTP/1.1 200 "));
    CHECK_FALSE(Has(caller.received(), "stamp"));
  }
}

}  // namespace qh
