// Streams whose server leaves and is asked to stop them for a migration: what
// their callers get in each order of the stream's end and the reply to that
// call, and for each reply.

#include <catch2/catch.hpp>
#include <map>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Then = ScriptedReply::Then;
using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string StopReplyOf(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Said\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string kHandle = R"({"handle":"h1","created":2})";

// The head of a stream, and its events, with chunks or without a length.
std::string HeadOf(bool chunked) {
  return chunked ? StreamHead()
                 : "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\n"
                   "Server-Stamp: stamp\r\n"
                   "Content-Type: text/event-stream\r\n\r\n";
}
std::string EventsOf(bool chunked, int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return chunked ? Events(first, last) : text;
}

// Two servers; the one that gets the request sends two events, and is asked to
// stop the run when it leaves. A run that goes on sends events 3 and 4.
class MigratedStream : public GatewayFixture {
 public:
  // Sends a request and waits for its first events.
  void Begin(const std::string& path = "/stream/x",
             const std::string& fields = "") {
    for (const char* id : {"a", "b"}) {
      servers_[id] = &AddServer(
          id, "chat",
          [this](size_t, const HttpHead& head) { return Reply(head); });
    }
    caller_ = &SendRequest("GET", path, "r1", fields);
    REQUIRE(RunUntil([&] { return Has(caller_->received(), "id: 2\n"); }));
  }

  // The stream's server says that it is gone soon.
  void Leave(Duration leaves_in = milliseconds(200)) {
    ServerRecord record = *state.directory.Find(source_id_);
    record.draining = true;
    record.leaves_in = leaves_in;
    state.directory.OnServer(record, MonotonicNow());
  }

  // Lets the source leave, which is asked to stop the run, and waits until the
  // answer has ended. If the reply comes first, the stream is closed `pause`
  // later.
  void EndByStop(Duration pause) {
    Leave();
    REQUIRE(RunUntil([&] { return stop_calls == 1; }));
    if (order == Order::kReplyFirst) {
      RunFor(pause);
      CHECK_FALSE(is_done());
      CloseSource();
    }
    REQUIRE(RunUntil([&] { return is_done(); }));
  }

  // Closes the source's streams without their end.
  void CloseSource() { source_->EndStalled(); }

  // The server that is not the source.
  ScriptedServer& destination() {
    return *servers_.at(source_id_.value() == "a" ? "b" : "a");
  }

  // Whether the caller has an answer with an end.
  bool ends_as_complete() const {
    return Has(caller_->received(), "\r\n" + EncodeLastChunk(1));
  }
  // Whether the caller got all events, each once, and then the end.
  bool is_whole() const {
    const std::string& text = caller_->received();
    for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n"}) {
      if (!Has(text, id) || text.find(id) != text.rfind(id)) {
        return false;
      }
    }
    return ends_as_complete();
  }
  bool is_done() const { return caller_->closed() || ends_as_complete(); }

  // How the source ends its stream for the call.
  enum class Order { kCloseFirst, kReplyFirst, kNoClose };

  // What the source answers to the call.
  std::string stop_reply = StopReplyOf(200, kHandle);
  // Replies nothing, and resets the call's connection.
  bool resets_stop_call = false;
  // Sends no reply, and leaves the call and the stream open.
  bool holds_stop_reply = false;
  Order order = Order::kCloseFirst;
  bool chunked = false;
  // A resumed stream stays open after event 3.
  bool holds_resumed = false;
  // The destination refuses to go on.
  bool destination_refuses = false;
  size_t stop_calls = 0;
  // The requests with a handle.
  size_t continued = 0;
  std::string continued_at;

 private:
  ScriptedReply Reply(const HttpHead& head) {
    if (head.target == "/kv-move") {
      return ReplyToStop();
    }
    if (const std::string* run = head.Find("Kv-From")) {
      return Continue(head, *run);
    }
    if (holds_resumed && head.Find("Last-Event-Id") != nullptr) {
      return {.bytes = HeadOf(true) + Events(3, 3), .then = Then::kStall};
    }
    if (const std::string* last = head.Find("Last-Event-Id")) {
      return {.bytes = HeadOf(true) + Events(std::stoi(*last) + 1, 4) +
                       EncodeLastChunk(1)};
    }
    source_id_ = ServerId(*head.Find("Expect-Instance"));
    source_ = servers_.at(source_id_.value());
    return {.bytes = HeadOf(chunked) + EventsOf(chunked, 1, 2),
            .then = Then::kStall};
  }

  ScriptedReply ReplyToStop() {
    ++stop_calls;
    if (holds_stop_reply) {
      return {.then = Then::kStall};
    }
    if (order == Order::kCloseFirst) {
      CloseSource();
    }
    if (resets_stop_call) {
      return {.then = Then::kReset};
    }
    return order == Order::kCloseFirst ? ScriptedReply{.later = stop_reply}
                                       : ScriptedReply{.bytes = stop_reply};
  }

  ScriptedReply Continue(const HttpHead& head, const std::string& run) {
    ++continued;
    continued_at = *head.Find("Expect-Instance");
    CHECK(run == source_->address().ToString() + "/h1");
    CHECK(*head.Find("Last-Event-Id") == "2");
    if (destination_refuses) {
      return {.bytes =
                  "HTTP/1.1 503 Full\r\nRequest-Id: %ID%\r\nNot-Executed: 1\r\n"
                  "Content-Length: 0\r\n\r\n"};
    }
    return {.bytes = StreamHead() + Events(3, 4) + EncodeLastChunk(1)};
  }

  std::map<std::string, ScriptedServer*> servers_;
  ScriptedCaller* caller_ = nullptr;
  ScriptedServer* source_ = nullptr;

 protected:
  ServerId source_id_{"none"};
  ScriptedCaller& caller() { return *caller_; }
  ScriptedServer& source() { return *source_; }
};

using Order = MigratedStream::Order;

}  // namespace

// Guards against review/6: a stream without a length that was stopped for a
// migration ended as complete.
TEST_CASE_METHOD(MigratedStream,
                 "a stream that was stopped goes on elsewhere") {
  order = GENERATE(Order::kCloseFirst, Order::kReplyFirst);
  chunked = GENERATE(false, true);
  CAPTURE(order, chunked);
  Begin();
  EndByStop(milliseconds(20));
  CHECK(is_whole());
  CHECK(continued == 1);
  CHECK(continued_at != source_id_.value());
}

// Guards against a stream that ends as complete though its server may have
// stopped it: the reply to the call does not tell.
TEST_CASE_METHOD(MigratedStream,
                 "a stream that may have been stopped has no end") {
  order = GENERATE(Order::kCloseFirst, Order::kReplyFirst);
  chunked = GENERATE(false, true);
  const int reply = GENERATE(0, 200, 409, 429, 500, 503);
  CAPTURE(order, chunked, reply);
  resets_stop_call = reply == 0;
  stop_reply = StopReplyOf(reply, "{}");
  Begin();
  EndByStop(milliseconds(60));
  CHECK_FALSE(ends_as_complete());
}

// A resumable stream gets its rest in any case.
TEST_CASE_METHOD(MigratedStream,
                 "a resumable stream that may have been stopped is resumed") {
  order = GENERATE(Order::kCloseFirst, Order::kReplyFirst);
  const int reply = GENERATE(0, 200, 500, 503);
  CAPTURE(order, reply);
  resets_stop_call = reply == 0;
  stop_reply = StopReplyOf(reply, "{}");
  Begin("/resume/x");
  EndByStop(milliseconds(40));
  CHECK(is_whole());
}

// The destination had no room: the source keeps the KV cache of a run that it
// has stopped, and can go on.
TEST_CASE_METHOD(MigratedStream,
                 "a stopped stream goes on where its KV cache is") {
  order = GENERATE(Order::kCloseFirst, Order::kReplyFirst);
  chunked = GENERATE(false, true);
  CAPTURE(order, chunked);
  stop_reply = StopReplyOf(503, kHandle);
  Begin();
  EndByStop(milliseconds(20));
  CHECK(is_whole());
  CHECK(continued == 1);
  CHECK(continued_at == source_id_.value());
}

// A server takes no further request once it has been known for the drain time
// that it leaves.
TEST_CASE_METHOD(MigratedStream, "no stream goes on at a server that left") {
  state.settings.server_drain = milliseconds(0);
  stop_reply = StopReplyOf(503, kHandle);
  Begin();
  Leave();
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK_FALSE(ends_as_complete());
  CHECK(continued == 0);
}

// A run that had ended by itself before the call arrived is whole, and nothing
// of it is sent twice.
TEST_CASE_METHOD(MigratedStream, "a stream that had truly ended is whole") {
  order = GENERATE(Order::kCloseFirst, Order::kReplyFirst);
  CAPTURE(order);
  stop_reply = StopReplyOf(404, "{}");
  Begin();
  source().SendStalled(EventsOf(false, 3, 4));
  REQUIRE(RunUntil([&] { return Has(caller().received(), "id: 4\n"); }));
  EndByStop(milliseconds(20));
  CHECK(is_whole());
  CHECK(continued == 0);
}

// A second call does not find a run that the first may have stopped.
TEST_CASE_METHOD(MigratedStream,
                 "a second call does not prove the first wrong") {
  order = Order::kReplyFirst;
  stop_reply = StopReplyOf(500, "{}");
  Begin();
  Leave();
  REQUIRE(RunUntil([&] { return stop_calls == 1; }));
  RunFor(milliseconds(40));
  stop_reply = StopReplyOf(404, "{}");
  const auto listeners = state.server_leaving_listeners[source_id_];
  for (const auto& [request, on_leaving] : listeners) {
    on_leaving(milliseconds(100));
  }
  REQUIRE(RunUntil([&] { return stop_calls == 2; }));
  RunFor(milliseconds(40));
  CloseSource();
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK_FALSE(ends_as_complete());
}

// The source stopped the run and leaves the stream open: the rest comes from
// the copy.
TEST_CASE_METHOD(MigratedStream,
                 "a stopped stream that is not closed goes on") {
  order = Order::kNoClose;
  chunked = GENERATE(false, true);
  CAPTURE(chunked);
  Begin();
  Leave(milliseconds(500));
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK(is_whole());
  CHECK(continued_at != source_id_.value());
}

// The destination is lost after it got the copy.
TEST_CASE_METHOD(MigratedStream,
                 "a stopped stream goes on at its source at last") {
  Begin();
  Leave();
  REQUIRE(RunUntil([&] { return stop_calls == 1; }));
  destination().Crash();
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK(is_whole());
  CHECK(continued_at == source_id_.value());
}

// The copy is there, but its server does not go on with it.
TEST_CASE_METHOD(MigratedStream,
                 "a destination that refuses completes nothing") {
  destination_refuses = true;
  Begin();
  Leave();
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK(continued == 1);
  CHECK_FALSE(ends_as_complete());
}

// The call, the caller's time or the node ends while the reply is awaited.
TEST_CASE_METHOD(MigratedStream,
                 "nothing ends a stream while a reply is awaited") {
  enum class Ends { kCall, kCaller, kNode };
  const Ends ends = GENERATE(Ends::kCall, Ends::kCaller, Ends::kNode);
  CAPTURE(ends);
  stop_reply = "";
  Begin("/stream/x", ends == Ends::kCaller ? "Deadline-Ms: 250\r\n" : "");
  const TimePoint start = MonotonicNow();
  Leave();
  REQUIRE(RunUntil([&] { return stop_calls == 1; }));
  RunFor(milliseconds(60));
  CHECK_FALSE(is_done());
  if (ends == Ends::kNode) {
    state.EndOpenRequests();
  }
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK_FALSE(ends_as_complete());
  CHECK((MonotonicNow() - start < milliseconds(500)) == (ends != Ends::kCall));
}

// A stream whose silent server is replaced belongs to the new server: the late
// reply of the old one to the stop says nothing about it.
TEST_CASE_METHOD(MigratedStream,
                 "a late reply does not touch the next attempt") {
  holds_stop_reply = true;
  holds_resumed = true;
  Begin("/resume/x");
  Leave();
  REQUIRE(RunUntil([&] { return Has(caller().received(), "id: 3\n"); }));
  source().SendStalled(StopReplyOf(200, kHandle));
  RunFor(milliseconds(40));
  CHECK_FALSE(is_done());
  destination().SendStalled(Events(4, 4) + EncodeLastChunk(1));
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK(is_whole());
  CHECK(continued == 0);
}

// Guards against an orderly close that is being probed when the server's notice
// comes: the run has no stop, and the probe alone decides.
TEST_CASE_METHOD(MigratedStream, "a probe goes on when the server leaves") {
  Begin();
  source().SendStalled(EventsOf(false, 3, 4));
  REQUIRE(RunUntil([&] { return Has(caller().received(), "id: 4\n"); }));
  CloseSource();
  RunFor(milliseconds(10));
  Leave();
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK(is_whole());
  CHECK(stop_calls == 0);
}

// Guards against a process that took the address of one that crashed: it lives,
// but did not end the answer.
TEST_CASE_METHOD(MigratedStream,
                 "another process at the address proves nothing") {
  Begin();
  CloseSource();
  RunFor(milliseconds(5));
  ServerRecord record = *state.directory.Find(source_id_);
  record.started_ms += 1'000;
  state.directory.OnServer(record, MonotonicNow());
  REQUIRE(RunUntil([&] { return is_done(); }));
  CHECK_FALSE(ends_as_complete());
}

}  // namespace qh
