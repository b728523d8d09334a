// Tests of the operators' commands for nodes, run against fake admin ports.

#include "apps/quetzalhall/node_commands.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "qh_http/http_listener.h"

namespace qh::cli {
namespace {

constexpr const char* kHost = "127.0.0.1";

// An admin port that knows one request and accepts one token.
class FakeAdmin {
 public:
  explicit FakeAdmin(const std::string& status) : listener_(2) {
    httplib::Server& server = listener_.server();
    server.set_pre_routing_handler([](const auto& request, auto& response) {
      if (request.get_header_value("Authorization") == "Bearer t") {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      response.status = 401;
      return httplib::Server::HandlerResponse::Handled;
    });
    server.Get("/v1/status", [status](const auto&, auto& response) {
      response.set_content(status, "application/json");
    });
    server.Get("/v1/explain/r1", [](const auto&, auto& response) {
      response.set_content(R"({"state": "running"})", "application/json");
    });
    server.Post("/v1/drain", [this](const auto&, auto& response) {
      ++drains;
      response.status = 202;
    });
    port = listener_.Listen(kHost, 0).value();
  }

  uint16_t port = 0;
  std::atomic<int> drains = 0;

 private:
  HttpListener listener_;
};

ListedInstance Node(const std::string& id, uint16_t admin_port) {
  ListedInstance node;
  node.id = id;
  node.role = "node";
  node.failure_domain = FailureDomainId("a");
  node.host = kHost;
  node.admin_port = admin_port;
  return node;
}

struct Run {
  std::ostringstream out;
  std::ostringstream err;
  Output output{out, err};
};

}  // namespace

TEST_CASE("status, drain and explain commands") {
  FakeAdmin first(R"({"config_version": 3, "open_requests": 12})");
  FakeAdmin second(R"({"config_version": 3, "draining": true})");
  std::vector<ListedInstance> listed = {Node("n2", second.port),
                                        Node("n1", first.port)};
  ListedInstance engine;
  engine.id = "e1";
  engine.role = "engine";
  listed.push_back(engine);
  const InstanceListHook instances = [&] { return listed; };
  const AdminClient admin("t");
  Run run;

  SECTION("status is a table") {
    CHECK(Status(instances, admin, run.output) == ExitCode::kOk);
    CHECK(run.out.str() ==
          "INSTANCE  FAILURE DOMAIN  STATE     CONFIG  OPEN\n"
          "n1        a               live      3       12\n"
          "n2        a               draining  3       0\n"
          "2 nodes in 1 failure domains, 2 answer\n"
          "configuration 3 is in force on 2\n");
  }
  SECTION("a node that does not answer or refuses fails the status") {
    listed.push_back(Node("n3", 1));
    CHECK(Status(instances, admin, run.output) == ExitCode::kFailed);
    CHECK(run.out.str().find("no answer") != std::string::npos);
    CHECK(Status(instances, AdminClient("wrong"), run.output) ==
          ExitCode::kFailed);
    CHECK(run.out.str().find("answers 401") != std::string::npos);
  }
  SECTION("drain reaches the node that is named") {
    CHECK(Drain("n2", instances, admin, run.output) == ExitCode::kOk);
    CHECK(second.drains == 1);
    CHECK(first.drains == 0);
    CHECK(Drain("e1", instances, admin, run.output) == ExitCode::kFailed);
    CHECK(run.err.str() == "e1: not listed; nodes are: n1 n2\n");
  }
  SECTION("explain finds the nodes that know the request") {
    CHECK(Explain("r1", instances, admin, run.output) == ExitCode::kOk);
    CHECK(run.out.str().starts_with("n1:\n{\n  \"state\": \"running\"\n}\n"));
    CHECK(Explain("r2", instances, admin, run.output) == ExitCode::kFailed);
  }
  SECTION("without the list there is no answer") {
    const InstanceListHook down = [] {
      return Error(ErrorKind::kStoreUnavailable, "down");
    };
    CHECK(Status(down, admin, run.output) == ExitCode::kFailed);
    CHECK(run.err.str() == "down\n");
  }
}

}  // namespace qh::cli
