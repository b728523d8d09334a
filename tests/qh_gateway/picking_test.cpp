// Choice of servers: expected time to the first event, home servers of prompts,
// ejected servers, and refusal of requests that can't start in time. Also
// blocked content and the splitting of event streams.

#include <catch2/catch.hpp>

#include "qh_gateway/decisions/placement/server_picker.h"
#include "qh_gateway/decisions/streams/event_splitter.h"

namespace qh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};

struct Fixture {
  Fixture() {
    for (const char* id : {"a", "b", "c", "d"}) {
      ServerRecord engine;
      engine.id = ServerId(id);
      engine.service = "chat";
      engine.failure_domain = FailureDomainId("z");
      engine.slots = 4;
      directory.OnServer(engine, kStart);
      ServerRecord plain_server;
      plain_server.id = ServerId(std::string("p") + id);
      plain_server.service = "plain";
      plain_server.slots = 2;
      directory.OnServer(plain_server, kStart);
    }
  }
  PickQuery Query(uint32_t session, uint32_t tokens, bool engine = true) {
    request.prompt_parts = {{7, 500}, {session, 3'000}, {1'000 + session, 10}};
    request.prompt_tokens = tokens;
    return {.route = &route,
            .service = engine ? &chat : &plain,
            .request = &request,
            .time_left = seconds(10)};
  }

  ServerDirectory directory{[](ServerChange, const ServerRecord&) {},
                            seconds(5)};
  ServerPicker picker{directory, FailureDomainId("z"), 1};
  RouteRule route{.latency_target = milliseconds(500)};
  ServiceRule chat{.name = "chat", .engine = EngineTraits{.slots = 4}};
  ServiceRule plain{.name = "plain"};
  CallerRequest request;
};

}  // namespace

TEST_CASE_METHOD(Fixture,
                 "a session stays at one server while that has free slots") {
  const auto first = picker.Choose(Query(1, 4'000), kStart);
  REQUIRE(first);
  for (int i = 0; i < 10; ++i) {
    const auto next = picker.Choose(Query(1, 4'000), kStart);
    REQUIRE(next);
    CHECK(next.value().server == first.value().server);
  }
}

// Guards against overloading the home server of a session that gets much of the
// traffic.
TEST_CASE_METHOD(Fixture,
                 "a hot session spreads before its home server is overloaded") {
  std::map<ServerId, int> sent;
  for (int i = 0; i < 12; ++i) {
    const auto pick = picker.Choose(Query(1, 4'000), kStart);
    REQUIRE(pick);
    picker.OnSent(pick.value(), request);
    ++sent[pick.value().server];
  }
  for (const auto& [server, count] : sent) {
    CHECK(count <= 4);  // The slots of a server.
  }
}

TEST_CASE_METHOD(
    Fixture,
    "outstanding work of peers counts like that of the node itself") {
  const auto before = picker.Choose(Query(1, 4'000), kStart);
  REQUIRE(before);
  picker.load().OnPeer("peer", {{before.value().server, {8, 50'000}}}, kStart);
  const auto after = picker.Choose(Query(1, 4'000), kStart);
  REQUIRE(after);
  CHECK(after.value().server != before.value().server);
  // The report of an unresponsive peer is dropped.
  picker.OnTick(kStart + seconds(2));
  CHECK(picker.Choose(Query(1, 4'000), kStart).value().server ==
        before.value().server);
}

TEST_CASE_METHOD(Fixture,
                 "a server that can't be reached is ejected for a while") {
  const auto pick = picker.Choose(Query(1, 100), kStart);
  REQUIRE(pick);
  CHECK(picker.OnUnreachable(pick.value().server, kStart));
  CHECK(picker.Choose(Query(1, 100), kStart).value().server !=
        pick.value().server);
  CHECK(picker.Choose(Query(1, 100), kStart + seconds(1)).value().server ==
        pick.value().server);
}

// Guards against servers that fail part of their requests but seem healthy.
TEST_CASE_METHOD(
    Fixture,
    "a server that fails more than the others gets fewer requests") {
  int at_failing = 0;
  for (int i = 0; i < 200; ++i) {
    const auto pick = picker.Choose(Query(1, 0, false), kStart);
    REQUIRE(pick);
    const bool failing = pick.value().server == ServerId("pa");
    at_failing += failing ? 1 : 0;
    picker.OnSent(pick.value(), request);
    picker.OnEnded(
        pick.value(), true,
        failing ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered, kStart);
  }
  CHECK(at_failing < 20);
}

TEST_CASE_METHOD(Fixture, "if all servers are ejected one of them is used") {
  for (const char* id : {"a", "b", "c", "d"}) {
    picker.OnUnreachable(ServerId(id), kStart);
  }
  CHECK(picker.Choose(Query(1, 100), kStart));
}

// Guards against queueing requests that the engines can't start in time, when
// many callers come at once.
TEST_CASE_METHOD(Fixture,
                 "a request that no engine can start in time is refused") {
  Result<ServerPick> pick = Error(ErrorKind::kInternal, "");
  int admitted = 0;
  for (; admitted < 1'000; ++admitted) {
    pick = picker.Choose(Query(static_cast<uint32_t>(admitted), 8'000), kStart);
    if (!pick) {
      break;
    }
    picker.OnSent(pick.value(), request);
  }
  REQUIRE_FALSE(pick);
  CHECK(pick.error().kind() == ErrorKind::kOverloaded);
  CHECK(pick.error().retry_after() > Duration::zero());
  // None is refused while half of the slots are free.
  CHECK(admitted >= 8);
}

TEST_CASE_METHOD(Fixture,
                 "less urgent requests are refused before urgent ones") {
  const auto admitted_at = [&](int priority) {
    ServerPicker picker_for_priority(directory, FailureDomainId("z"), 1);
    route.priority = priority;
    int admitted = 0;
    while (admitted < 1'000) {
      const auto pick = picker_for_priority.Choose(
          Query(static_cast<uint32_t>(admitted), 4'000), kStart);
      if (!pick) {
        break;
      }
      picker_for_priority.OnSent(pick.value(), request);
      ++admitted;
    }
    return admitted;
  };
  CHECK(admitted_at(0) > admitted_at(1));
  CHECK(admitted_at(1) >= admitted_at(2));
}

TEST_CASE_METHOD(Fixture, "a service without servers fails with kNoServer") {
  chat.name = "unknown";
  const auto pick = picker.Choose(Query(1, 10), kStart);
  REQUIRE_FALSE(pick);
  CHECK(pick.error().kind() == ErrorKind::kNoServer);
}

TEST_CASE_METHOD(Fixture,
                 "outstanding work is removed however a request ends") {
  const auto pick = picker.Choose(Query(1, 4'000), kStart);
  REQUIRE(pick);
  picker.OnSent(pick.value(), request);
  SECTION("after the response started") {
    picker.OnResponseStarted(pick.value(), "chat", true, milliseconds(80),
                             kStart);
    picker.OnEnded(pick.value(), true, AttemptOutcome::kAnswered, kStart);
  }
  SECTION("before the response started") {
    picker.OnEnded(pick.value(), false, AttemptOutcome::kBroken, kStart);
  }
  CHECK(picker.load().At(pick.value().server).requests == 0);
  CHECK(picker.load().At(pick.value().server).prefill_tokens == 0);
}

TEST_CASE("a stream is split into complete events only") {
  const std::string text =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (size_t step = 1; step <= text.size(); ++step) {
    EventSplitter events;
    std::string complete;
    for (size_t at = 0; at < text.size(); at += step) {
      complete += events.Feed(std::string_view(text).substr(at, step));
    }
    CHECK(complete ==
          text.substr(0, text.size() - std::string("id: 3\nda").size()));
    CHECK(events.last_id() == "2");
    CHECK(events.events() == 2);
    CHECK(events.has_partial());
  }
}

TEST_CASE("a resumed stream repeats no event") {
  EventSplitter events;
  events.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  events.Restart();
  CHECK(events.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
  CHECK(events.last_id() == "3");
}

// A hundred nodes choose among many engines, each with old news of the others.
// When all of them compare all engines, they see the same idle one.
TEST_CASE("nodes with old news of each other don't crowd an idle engine") {
  constexpr size_t kEngines = 160;
  constexpr size_t kNodes = 118;
  constexpr int kRounds = 6;
  ServerDirectory directory([](ServerChange, const ServerRecord&) {},
                            seconds(5));
  for (size_t i = 0; i < kEngines; ++i) {
    ServerRecord engine;
    engine.id = ServerId("e" + std::to_string(i));
    engine.service = "chat";
    engine.slots = 16;
    directory.OnServer(engine, kStart);
  }
  std::vector<ServerPicker> nodes;
  for (size_t i = 0; i < kNodes; ++i) {
    nodes.emplace_back(directory, FailureDomainId("z"), i + 1);
    // Every node knows that most engines are busy and one is idle.
    OutstandingWorkByServer work;
    for (size_t engine = 1; engine < kEngines; ++engine) {
      work[ServerId("e" + std::to_string(engine))] = {6, 2'000};
    }
    nodes.back().load().OnPeer("peers", work, kStart);
  }
  RouteRule route{.latency_target = milliseconds(500)};
  ServiceRule chat{.name = "chat", .engine = EngineTraits{.slots = 16}};
  std::map<ServerId, int> sent;
  std::map<uint64_t, std::set<ServerId>> homes;
  for (int round = 0; round < kRounds; ++round) {
    for (size_t i = 0; i < kNodes; ++i) {
      CallerRequest request;
      // Each session is asked for at several nodes.
      const uint64_t session = (i * 7 + static_cast<size_t>(round)) % 300;
      request.prompt_parts = {{7, 500}, {session, 3'000}, {1'000 + i, 10}};
      request.prompt_tokens = 3'510;
      const auto pick = nodes[i].Choose({.route = &route,
                                         .service = &chat,
                                         .request = &request,
                                         .time_left = seconds(10)},
                                        kStart);
      REQUIRE(pick);
      nodes[i].OnSent(pick.value(), request);
      ++sent[pick.value().server];
      homes[session].insert(pick.value().server);
    }
  }
  const double mean = static_cast<double>(kNodes * kRounds) / kEngines;
  // The idle engine can take its slots, not a share of all.
  CHECK(sent[ServerId("e0")] <= 16 + static_cast<int>(mean));
  for (const auto& [server, count] : sent) {
    CHECK(count <= 16);
  }
  // Requests of a session meet where its prompt is cached.
  size_t servers = 0;
  for (const auto& [session, used] : homes) {
    servers += used.size();
  }
  CHECK(static_cast<double>(servers) / static_cast<double>(homes.size()) < 2);
}

}  // namespace qh
