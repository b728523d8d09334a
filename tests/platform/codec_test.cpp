// Tests the translation between the platform's messages and the gateway's
// types.

#include <catch2/catch.hpp>

#include "platform/platform_codec.h"

namespace qh {
namespace {

const WireCodec& Codec() {
  static const WireCodec codec = platform::MakeCodec();
  return codec;
}

HttpHead Request(std::vector<HttpField> fields) {
  HttpHead head;
  head.method = "POST";
  head.target = "/a/b?c=/d";
  head.fields = {{"Host", "h.example"}, {"Request-Id", "r1"}};
  head.fields.insert(head.fields.end(), fields.begin(), fields.end());
  return head;
}

}  // namespace

TEST_CASE("a caller's request is decoded") {
  const auto request = Codec().read_request(
      Request({{"Deadline-Ms", "1500"},
               {"Token-Count", "1460,80"},
               {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
               {"Length-Hint", "40"},
               {"X-Api-Key", "k"}}));
  REQUIRE(request);
  CHECK(request.value().deadline == std::chrono::milliseconds(1'500));
  CHECK(request.value().prompt_tokens == 1'460);
  CHECK(request.value().max_output_tokens == 80);
  CHECK(request.value().prompt_parts.size() == 3);
  CHECK(request.value().prompt_parts[0].id == 0x5c1e07a2);
  CHECK(request.value().key == "k");
  CHECK(request.value().path() == "/a/b");
}

TEST_CASE("headers reserved for the gateway are not passed on from callers") {
  const auto request = Codec().read_request(Request({{"Tenant", "forged"},
                                                     {"expect-instance", "x"},
                                                     {"Hold", "1"},
                                                     {"Pin-Ms", "9"},
                                                     {"Kv-Backup", "1.2.3.4:5"},
                                                     {"Kv-From", "x"},
                                                     {"Kv-Fetch", "y"},
                                                     {"Request-Priority", "0"},
                                                     {"Expect-Version", "2"},
                                                     {"X-Api-Key", "secret"},
                                                     {"Connection", "X-Hop"},
                                                     {"X-Hop", "1"},
                                                     {"X-Kept", "yes"},
                                                     {"Not-Executed", "1"}}));
  REQUIRE(request);
  const std::string text = Codec().write_dispatch(
      request.value(), {.server_id = "i-1", .team = "real"});
  for (const char* forged :
       {"forged", "Hold", "Pin-Ms", "Kv-", "Expect-Version", "secret", "X-Hop",
        "Priority", "Not-Executed"}) {
    CHECK(text.find(forged) == std::string::npos);
  }
  CHECK(text.find("POST /a/b?c=/d HTTP/1.1\r\n") == 0);
  CHECK(text.find("Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(text.find("Tenant: real\r\n") != std::string::npos);
  CHECK(text.find("X-Kept: yes\r\n") != std::string::npos);
  CHECK(text.find("Request-Id: r1\r\n") != std::string::npos);
}

TEST_CASE("a request with no host or id, or with two of either, is malformed") {
  HttpHead bare;
  bare.method = "GET";
  bare.target = "/";
  CHECK_FALSE(Codec().read_request(bare));
  CHECK_FALSE(Codec().read_request(Request({{"Request-Id", "r2"}})));
  CHECK_FALSE(Codec().read_request(Request({{"host", "other"}})));
}

TEST_CASE("malformed token counts and prompt prefixes are ignored") {
  const auto request = Codec().read_request(Request(
      {{"Token-Count", "many"}, {"Prompt-Prefix", "zz:1,:,12:x,ff:3"}}));
  REQUIRE(request);
  CHECK_FALSE(request.value().has_token_count);
  CHECK(request.value().prompt_parts.size() == 1);
}

TEST_CASE("an answer tells whether the server executed the request") {
  HttpHead head;
  head.status = 503;
  head.fields = {{"Not-Executed", "1"}, {"Keep-Alive", "timeout=5, max=3"}};
  CHECK(Codec().read_answer(head).not_executed);
  CHECK(Codec().read_answer(head).idle_limit == std::chrono::seconds(5));
  head.fields = {{"Request-Id", "r1"}, {"Content-Encoding", "gzip"}};
  CHECK_FALSE(Codec().read_answer(head).not_executed);
  CHECK(Codec().read_answer(head).encoded);
  head.status = 421;
  CHECK(Codec().read_answer(head).wrong_server);
  CHECK(Codec().read_answer(head).not_executed);
}

TEST_CASE("a valid configuration is decoded and an invalid one is refused") {
  const auto config = Codec().read_config(R"({"version":7,"routes":[
    {"name":"r1","host":"H.example","pathPrefix":"/a/","routeKind":"stream",
     "timeoutMs":12000,"targetLatencyMs":500,"priority":1,
     "split":[{"service":"s","weight":90},{"service":"t","weight":0}],
     "maxAttempts":2,"resumable":true,"gapTargetMs":400},
    {"name":"r2","host":"h.example","pathPrefix":"/a/b/","routeKind":"unsafe",
     "service":"t","anonymous":true}],
    "services":[{"name":"s","maxConns":240,"engine":{"slots":32},
     "scaling":{"min":1,"max":10,"bootS":4.0,"spotPrice":0.22,
                "zonePrices":{"z":0.8}}},{"name":"t"}],
    "limits":{"maxHeaderBytes":1000,"idleTimeoutMs":15000},
    "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,
     "unit":"token_count","plainTokens":200,"ratePerS":5,"burst":6}]})");
  REQUIRE(config);
  const ServiceConfig& value = *config.value();
  CHECK(value.version() == 7);
  CHECK(value.MatchRoute("h.EXAMPLE:80", "/a/x")->name == "r1");
  CHECK(value.MatchRoute("h.example", "/a/b/c")->name == "r2");
  CHECK(value.MatchRoute("h.example", "/ab") == nullptr);
  CHECK(value.MatchRoute("other", "/a/") == nullptr);
  CHECK(value.routes()[0].services.size() == 1);
  CHECK(value.routes()[0].retryable());
  CHECK_FALSE(value.routes()[1].retryable());
  CHECK(value.TeamForKey("k2")->id == TeamId("t1"));
  CHECK(value.TeamForKey("k3") == nullptr);
  CHECK(value.TeamForKey("k1")->counts_tokens);
  CHECK(value.FindService("s")->scaling->spot_price == 0.22);
  CHECK_FALSE(Codec().read_config("{}"));
  CHECK_FALSE(Codec().read_config("\xff"));
  CHECK_FALSE(Codec().read_config(
      R"({"version":1,"routes":[{"name":"r","routeKind":"odd"}]})"));
}

TEST_CASE("a malformed server registration is refused") {
  const auto read = [](const std::string& content) {
    return Codec().read_server({.name = "i-1", .content = content});
  };
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":32,
          "state":"ready","sequence":4,"born":12,"spot":true,"leaves_ms":900})";
  REQUIRE(read(good));
  CHECK(read(good).value().spot);
  CHECK(read(good).value().started_ms == 12);
  CHECK(read(good).value().leaves_in == std::chrono::milliseconds(900));
  const auto bad = GENERATE(
      R"(null)", R"("text")", R"({})", R"([])",
      R"({"service":5,"address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})",
      R"({"service":"s","address":"nowhere","zone":"z","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"odd"})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"x","state":"ready"})");
  CHECK_FALSE(read(bad));
}

TEST_CASE("a malformed object in a list does not hide the others") {
  const auto page = Codec().store.read_list(
      R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}},
                   {"metadata":{"name":"b"}},5,
                   {"metadata":{"name":"c","revision":4}}],
          "hasMore":true,"asOf":9})");
  REQUIRE(page);
  CHECK(page.value().objects.size() == 2);
  CHECK(page.value().has_more);
  CHECK(page.value().revision == 9);
  CHECK_FALSE(Codec().store.read_list("{}"));
}

TEST_CASE("store calls are encoded in the store's format") {
  const StoreProtocol& store = Codec().store;
  CHECK(store.list("servers", "", false).target == "/objects/servers");
  CHECK(store.list("servers", "i/1", false).target ==
        "/objects/servers?afterRev=i%2F1");
  CHECK(store.watch("k", 5, std::chrono::milliseconds(250)).target ==
        "/objects/k?watch=5&waitMs=250");
  const HttpCall create = store.create("k", {.name = "n", .content = "{}"});
  CHECK(create.method == "POST");
  CHECK(create.body.find("revision") == std::string::npos);
  const HttpCall replace =
      store.replace("k", {.name = "n", .revision = 6, .content = "{}"});
  CHECK(replace.method == "PUT");
  CHECK(replace.target == "/objects/k/n");
  CHECK(replace.body.find("\"revision\":6") != std::string::npos);
}

TEST_CASE("the store's epoch is read from every reply") {
  const auto read = [](const std::string& value) {
    CallReply reply{.outcome = HttpCallOutcome::kAnswered, .status = 503};
    reply.fields = {{"store-era", value}};
    return Codec().store.read_epoch(reply);
  };
  CHECK(read("7").value() == 7);
  CHECK(Codec().store.read_epoch({}).value() == std::nullopt);
  for (const char* bad : {"", "x", "-1", "1.5", "7 ", "99999999999999999999"}) {
    CHECK_FALSE(read(bad));
  }
}

TEST_CASE("a list that may be old is asked for as such") {
  const StoreProtocol& store = Codec().store;
  CHECK(store.list("k", "", true).target == "/objects/k?allowStale=1");
  CHECK(store.list("k", "n", true).target ==
        "/objects/k?allowStale=1&afterRev=n");
}

TEST_CASE("a server's wishes are read from its answer") {
  const auto read = [](int status, const std::string& name,
                       const std::string& value) {
    HttpHead head;
    head.status = status;
    head.fields = {{name, value}};
    return Codec().read_answer(head);
  };
  CHECK(read(200, "Server-Leaving", "1").leaving);
  CHECK_FALSE(read(200, "Server-Leaving", "0").leaving);
  CHECK(read(503, "Retry-After", "2").pause == std::chrono::seconds(2));
  CHECK(read(503, "Retry-After", "0.25").pause ==
        std::chrono::milliseconds(250));
  CHECK_FALSE(read(429, "Retry-After", "2").pause);
  CHECK_FALSE(read(503, "Retry-After", "Fri, 04 Dec 2026").pause);
}

TEST_CASE("a caller's query for node addresses is decoded and answered") {
  HttpHead head;
  head.method = "GET";
  head.target = "/resolution?name=H.example&region=r&zone=z";
  const auto query = Codec().read_locate(head);
  REQUIRE(query);
  CHECK(query->host == "h.example");
  CHECK(query->failure_domain == FailureDomainId("z"));
  head.target = "/other";
  CHECK_FALSE(Codec().read_locate(head));
  CHECK(Codec().write_locate({{"10.0.0.1", 80}}, std::chrono::seconds(2)) ==
        R"({"addresses":["10.0.0.1:80"],"ttlS":2.0})");
}

TEST_CASE("leader calls carry the lease holder and its fencing number") {
  const HttpCall usage = Codec().write_usage(
      {.window = 3, .requests = {{TeamId("t"), 4}}}, {"node", 12});
  CHECK(usage.target == "/usage");
  CHECK(usage.fields[1].value == "12");
  CHECK(usage.body == R"({"counts":{"t":4},"windowId":3})");
  const HttpCall order =
      Codec().write_order({"s", FailureDomainId("z"), true, 6}, {"node", 12});
  CHECK(order.body == R"({"desired":6,"service":"s","spot":true,"zone":"z"})");
}

}  // namespace qh
