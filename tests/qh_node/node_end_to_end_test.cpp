// End-to-end tests of a node in one process: one request of each kind, and the
// handover of open requests when their node drains.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_node/cluster_fixture.h"

namespace qh {
namespace {

using nlohmann::json;

json ChatBody(bool stream) {
  return {{"model", "m"},
          {"stream", stream},
          {"max_tokens", 5},
          {"messages", {{{"role", "user"}, {"content", "menu?"}}}}};
}

std::string ExpectedText(uint32_t tokens = 5) {
  std::string text;
  for (uint32_t i = 0; i < tokens; ++i) {
    text += standins::EngineToken("menu?\n", i);
  }
  return text;
}

// Reads a stream to its end, following moved events to the new node. Returns
// all events other than moved events; increments `moves` for each of those.
std::string ReadStream(const Cluster& cluster,
                       httplib::Client& caller,
                       const json& body,
                       int& moves) {
  std::string text =
      caller.Post("/v1/chat/completions", body.dump(), "application/json")
          ->body;
  for (size_t at = text.find("event: moved"); at != std::string::npos;
       at = text.find("event: moved")) {
    ++moves;
    const size_t start = text.find("http://", at);
    const std::string url = text.substr(start, text.find('"', start) - start);
    text.erase(at);
    const size_t id = text.rfind("id: ");
    const std::string last =
        id == std::string::npos
            ? "0"
            : text.substr(id + 4, text.find('\n', id) - id - 4);
    auto next = cluster.ClientForUrl(url);
    text += next.Get(Cluster::PathOf(url), {{"Last-Event-ID", last}})->body;
  }
  return text;
}

// Returns the concatenated tokens of a stream. Checks that event ids count up
// from 1 without gaps.
std::string TokensOf(const std::string& stream) {
  std::string text;
  uint32_t expected_id = 1;
  for (size_t at = stream.find("id: "); at != std::string::npos;
       at = stream.find("id: ", at + 1)) {
    CHECK(std::strtoul(stream.c_str() + at + 4, nullptr, 10) == expected_id++);
    const size_t data = stream.find("data: ", at) + 6;
    const json chunk =
        json::parse(stream.substr(data, stream.find('\n', data) - data));
    text += chunk["choices"][0]["delta"]["content"].get<std::string>();
  }
  return text;
}

}  // namespace

TEST_CASE("a node answers one request of each kind end to end") {
  Cluster cluster({.nodes = 1});
  auto caller = cluster.ClientFor(0);

  SECTION("a chat answer without streaming") {
    const auto reply = caller.Post("/v1/chat/completions",
                                   ChatBody(false).dump(), "application/json");
    REQUIRE(reply);
    REQUIRE(reply->status == 200);
    const json body = json::parse(reply->body);
    CHECK(body["choices"][0]["message"]["content"] == ExpectedText());
  }
  SECTION("a chat stream with event ids, and its status afterwards") {
    const auto reply = caller.Post("/v1/chat/completions",
                                   ChatBody(true).dump(), "application/json");
    REQUIRE(reply);
    REQUIRE(reply->status == 200);
    CHECK(reply->body.find("id: 5\n") != std::string::npos);
    CHECK(reply->body.ends_with("data: [DONE]\n\n"));
    const auto rest =
        caller.Get("/v1/requests/" + reply->get_header_value("X-Request-Id"),
                   {{"Last-Event-ID", "4"}});
    REQUIRE(rest);
    CHECK(rest->body.starts_with("id: 5\n"));
  }
  SECTION("a booking") {
    const httplib::Headers key = {{"Idempotency-Key", "b1"}};
    const auto reply =
        caller.Post("/services/booking/book", key, "{}", "application/json");
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(cluster.service().Executions("b1") == 1);
  }
  SECTION("refusals have the status and type of the answer table") {
    const auto no_key =
        caller.Post("/services/booking/book", "{}", "application/json");
    REQUIRE(no_key);
    CHECK(no_key->status == 400);
    const json problem = json::parse(no_key->body);
    CHECK(problem["type"] == "urn:quetzalhall:error:missing_idempotency_key");
    CHECK(problem["executed"] == "no");
    caller.set_bearer_token_auth("wrong");
    CHECK(caller.Get("/services/booking/x")->status == 401);
  }
  SECTION("a draining node refuses and reports the call as not executed") {
    cluster.node(0).Drain();
    const auto reply = caller.Get("/services/booking/x");
    REQUIRE(reply);
    CHECK(reply->status == 503);
    CHECK(json::parse(reply->body)["executed"] == "no");
  }
}

TEST_CASE(
    "a stream continues at a peer without gaps or repeats when its node "
    "drains") {
  Cluster cluster(
      {.nodes = 2, .token_interval = std::chrono::milliseconds(10)});
  auto caller = cluster.ClientFor(0);
  json body = ChatBody(true);
  body["max_tokens"] = 60;
  std::thread drain([&] {
    cluster.WaitOpenRequests(0, 1);
    cluster.DrainNode(0);
  });
  int moves = 0;
  const std::string stream = ReadStream(cluster, caller, body, moves);
  drain.join();
  CHECK(moves == 1);
  CHECK(stream.ends_with("data: [DONE]\n\n"));
  CHECK(TokensOf(stream) == ExpectedText(60));
}

TEST_CASE("an answer without streaming is fetched from the peer after a 303") {
  Cluster cluster(
      {.nodes = 2, .token_interval = std::chrono::milliseconds(10)});
  auto caller = cluster.ClientFor(0);
  json body = ChatBody(false);
  body["max_tokens"] = 60;
  std::thread drain([&] {
    cluster.WaitOpenRequests(0, 1);
    cluster.DrainNode(0);
  });
  const auto reply =
      caller.Post("/v1/chat/completions", body.dump(), "application/json");
  drain.join();
  REQUIRE(reply);
  REQUIRE(reply->status == 303);
  const std::string url = reply->get_header_value("Location");
  const auto rest = cluster.ClientForUrl(url).Get(Cluster::PathOf(url));
  REQUIRE(rest);
  CHECK(json::parse(rest->body)["choices"][0]["message"]["content"] ==
        ExpectedText(60));
}

TEST_CASE(
    "a booking that runs while its node drains is executed once and answered "
    "by the peer") {
  Cluster cluster({.nodes = 2, .service_work = std::chrono::milliseconds(400)});
  auto caller = cluster.ClientFor(0);
  std::thread drain([&] {
    cluster.WaitExecutions("b1", 1);
    cluster.DrainNode(0);
  });
  const auto reply = caller.Post("/services/booking/book",
                                 httplib::Headers{{"Idempotency-Key", "b1"}},
                                 "{}", "application/json");
  drain.join();
  REQUIRE(reply);
  REQUIRE(reply->status == 303);
  const std::string url = reply->get_header_value("Location");
  const auto rest = cluster.ClientForUrl(url).Get(Cluster::PathOf(url));
  REQUIRE(rest);
  CHECK(rest->status == 200);
  CHECK(json::parse(rest->body).contains("booked"));
  CHECK(cluster.service().Executions("b1") == 1);
}

TEST_CASE("a draining node without peers finishes the stream itself") {
  Cluster cluster({.nodes = 1, .token_interval = std::chrono::milliseconds(2)});
  auto caller = cluster.ClientFor(0);
  json body = ChatBody(true);
  body["max_tokens"] = 60;
  std::thread drain([&] {
    cluster.WaitOpenRequests(0, 1);
    cluster.DrainNode(0);
  });
  int moves = 0;
  const std::string stream = ReadStream(cluster, caller, body, moves);
  drain.join();
  CHECK(moves == 0);
  CHECK(TokensOf(stream) == ExpectedText(60));
}

}  // namespace qh
