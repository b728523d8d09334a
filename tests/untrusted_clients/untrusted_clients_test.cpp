// Crowds of misbehaving clients against a real gateway process. Each case
// checks that the process lives, that its memory and its descriptors stay
// within its settings, and that it serves an ordinary request while the crowd's
// connections are open. Nothing is measured in time or in shares.

#include <catch2/catch.hpp>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/fakes/endless_framing.h"
#include "tests/untrusted_clients/client_crowd.h"
#include "tests/untrusted_clients/gateway_process.h"

namespace qh {
namespace {

// Numbers of clients. What they could make a process hold is in each case above
// its memory, or above its descriptors.
constexpr size_t kLargeBodyClients = 40;
constexpr size_t kManyFieldsClients = 200;
constexpr size_t kPipelineClients = 24;
constexpr size_t kSlowClients = 400;
constexpr size_t kLargeAnswerClients = 120;

constexpr size_t kFields = 9'000;
constexpr size_t kPipelinedRequests = 100'000;
// A well-behaved client tries again when it is refused.
constexpr int kAttempts = 5;

std::string Head(const std::string& method,
                 const std::string& path,
                 const std::string& more = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n" +
         more + "\r\n";
}

// A body of legal size without its last byte.
ClientBehaviour UnfinishedBody(const std::string& path, size_t body_bytes) {
  return {
      .name = "unfinished bodies in one piece",
      .clients = kLargeBodyClients,
      .bytes = Head("POST", path,
                    "Content-Length: " + std::to_string(body_bytes) + "\r\n") +
               std::string(body_bytes - 1, 'x')};
}

ClientBehaviour UnfinishedBodyInPieces(const std::string& path,
                                       size_t body_bytes) {
  ClientBehaviour behaviour = UnfinishedBody(path, body_bytes);
  behaviour.name = "unfinished bodies in small pieces";
  behaviour.piece_bytes = 1'000;
  return behaviour;
}

// Chunks without the last one.
ClientBehaviour UnfinishedChunks(const std::string& path,
                                 size_t body_bytes,
                                 size_t chunk_bytes) {
  std::string chunk = EncodeChunk(std::string(chunk_bytes, 'x'), 1);
  std::string body;
  for (size_t sent = 0; sent + chunk_bytes <= body_bytes; sent += chunk_bytes) {
    body += chunk;
  }
  return {.name = "unfinished chunks of " + std::to_string(chunk_bytes),
          .clients = kLargeBodyClients,
          .bytes = Head("POST", path, "Transfer-Encoding: chunked\r\n") + body};
}

ClientBehaviour BodyOverLimit(const std::string& path) {
  return {.name = "bodies over the limit",
          .clients = kLargeBodyClients,
          .bytes = Head("POST", path, "Transfer-Encoding: chunked\r\n") +
                   EncodeChunk(
                       std::string(2 * GatewayProcess::kMaxBodyBytes, 'x'), 1)};
}

ClientBehaviour ManyFields(const std::string& path, size_t fields) {
  std::string more;
  for (size_t i = 0; i < fields; ++i) {
    more += "a:\r\n";
  }
  return {.name = "unfinished bodies after very many short fields",
          .clients = kManyFieldsClients,
          .bytes = Head("POST", path, more + "Content-Length: 10\r\n") + "x"};
}

ClientBehaviour Pipeline(const std::string& path) {
  return {.name = "requests sent ahead",
          .clients = kPipelineClients,
          .bytes = Repeated(Head("GET", path),
                            kPipelinedRequests * Head("GET", path).size())};
}

ClientBehaviour SlowSenders(const std::string& path) {
  return {.name = "slow senders",
          .clients = kSlowClients,
          .bytes = "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n",
          .piece_bytes = 1};
}

ClientBehaviour Silent() {
  return {.name = "clients that send nothing", .clients = kSlowClients};
}

ClientBehaviour StoppedHalfway(const std::string& path) {
  return {.name = "clients that stop within the body",
          .clients = kSlowClients,
          .bytes = Head("POST", path, "Content-Length: 2000\r\n") +
                   std::string(1'000, 'x')};
}

ClientBehaviour SlowReaders(const std::string& path) {
  return {.name = "slow readers",
          .clients = kLargeAnswerClients,
          .bytes = Head("GET", path),
          .read_bytes = 1};
}

// Lets the crowd misbehave and checks what has to hold.
void CheckSurvives(GatewayListener listener, const ClientBehaviour& behaviour) {
  CAPTURE(behaviour.name, static_cast<int>(listener));
  GatewayProcess gateway;
  ClientCrowd crowd(gateway.AddressOf(listener), behaviour);
  crowd.SendAll();
  const size_t descriptors = gateway.OpenDescriptors();
  int status = 0;
  int caller_status = 0;
  for (int i = 0; i < kAttempts && gateway.is_alive() &&
                  (status == 0 || caller_status != 200);
       ++i) {
    status = gateway.Ask(listener);
    caller_status = gateway.Ask(GatewayListener::kCallers);
  }
  const size_t peak_kb = gateway.PeakResidentKb();
  const bool alive = gateway.is_alive();
  // Kept in the output of a run with -s.
  INFO("peak " << peak_kb << " KiB, " << descriptors << " descriptors, alive "
               << alive << ", answered " << status << " and " << caller_status);
  CHECK(alive);
  CHECK(peak_kb < GatewayProcess::kMaxResidentKb);
  CHECK(descriptors < GatewayProcess::kMaxDescriptors);
  CHECK(status != 0);
  CHECK(caller_status == 200);
}

}  // namespace

TEST_CASE("unfinished large bodies of callers don't fill the memory") {
  const std::string path = GENERATE("/safe/x", "/unknown/x");
  constexpr size_t kBody = GatewayProcess::kMaxBodyBytes;
  SECTION("one piece") {
    CheckSurvives(GatewayListener::kCallers, UnfinishedBody(path, kBody));
  }
  SECTION("small pieces") {
    CheckSurvives(GatewayListener::kCallers,
                  UnfinishedBodyInPieces(path, kBody));
  }
  SECTION("large chunks") {
    CheckSurvives(GatewayListener::kCallers,
                  UnfinishedChunks(path, kBody, 50'000));
  }
  SECTION("small chunks") {
    CheckSurvives(GatewayListener::kCallers, UnfinishedChunks(path, kBody, 8));
  }
}

TEST_CASE("bodies over the limit don't fill the memory") {
  const std::string path = GENERATE("/safe/x", "/unknown/x");
  CheckSurvives(GatewayListener::kCallers, BodyOverLimit(path));
}

// Guards against heads that take many times their bytes in memory.
TEST_CASE("very many short fields of callers don't fill the memory") {
  const std::string path = GENERATE("/safe/x", "/unknown/x");
  CheckSurvives(GatewayListener::kCallers, ManyFields(path, kFields));
}

// Guards against bytes that are read ahead without a bound while answers are
// not read, and against an event loop that serves one connection only.
TEST_CASE("requests sent ahead by callers don't fill the memory") {
  const std::string path = GENERATE("/safe/x", "/unknown/x");
  CheckSurvives(GatewayListener::kCallers, Pipeline(path));
}

TEST_CASE("slow callers don't use up the descriptors") {
  const std::string path = GENERATE("/safe/x", "/unknown/x");
  SECTION("slow senders") {
    CheckSurvives(GatewayListener::kCallers, SlowSenders(path));
  }
  SECTION("stopped within the body") {
    CheckSurvives(GatewayListener::kCallers, StoppedHalfway(path));
  }
}

TEST_CASE("silent callers don't use up the descriptors") {
  CheckSurvives(GatewayListener::kCallers, Silent());
}

TEST_CASE("callers that read slowly don't fill the memory") {
  CheckSurvives(GatewayListener::kCallers, SlowReaders("/safe/large/x"));
}

TEST_CASE("clients of the other listeners can't end the process") {
  const auto [listener, path] = GENERATE(table<GatewayListener, std::string>(
      {{GatewayListener::kReadiness, "/readyz"},
       {GatewayListener::kLocate, "/resolution?name=h"},
       {GatewayListener::kPeers, "/config"},
       {GatewayListener::kMetrics, "/metrics"}}));
  SECTION("bodies") {
    CheckSurvives(listener, UnfinishedBody(path, size_t{64} << 10U));
  }
  SECTION("chunks") {
    CheckSurvives(listener, UnfinishedChunks(path, size_t{64} << 10U, 8));
  }
  SECTION("bodies over the limit") {
    CheckSurvives(listener, BodyOverLimit(path));
  }
  SECTION("many fields") {
    // As many as the head's limit of 16 KiB allows.
    CheckSurvives(listener, ManyFields(path, 3'900));
  }
  SECTION("requests sent ahead") {
    CheckSurvives(listener, Pipeline(path));
  }
  SECTION("slow senders") {
    CheckSurvives(listener, SlowSenders(path));
  }
  SECTION("silent") {
    CheckSurvives(listener, Silent());
  }
}

}  // namespace qh
