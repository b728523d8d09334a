#include "qh_node/control/admin_server.h"

#include <thread>

#include "qh_http/http_listener.h"
#include "qh_node/serving/problem.h"

namespace qh {
namespace {

constexpr const char* kJsonType = "application/json";
constexpr const char* kTextType = "text/plain; version=0.0.4";
constexpr size_t kThreads = 4;

void WriteProblem(httplib::Response& response, const Error& error) {
  response.status = AnswerFor(error.kind()).status;
  response.set_content(ProblemJson(error, RequestId()), kProblemType);
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const std::string& token, AdminHooks hooks)
      : token_sha256_(KeySha256("Bearer " + token)),
        hooks_(std::move(hooks)),
        listener_(kThreads) {
    AddRoutes();
  }

  Result<void> Start(const Address& address) {
    BOOST_OUTCOME_TRY(listener_.Listen(address.host, address.port));
    return Ok();
  }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void AddRoutes() {
    httplib::Server& server = listener_.server();
    server.Get("/healthz", [](const Request&, Response& response) {
      response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const Request&, Response& response) {
      const bool ready = hooks_.ready();
      response.status = ready ? 200 : 503;
      response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics",
               RequireToken([this](const Request&, Response& response) {
                 response.set_content(hooks_.metrics(), kTextType);
               }));
    server.Get("/v1/status",
               RequireToken([this](const Request&, Response& response) {
                 response.set_content(hooks_.status(), kJsonType);
               }));
    server.Get(R"(/v1/explain/([^/]+))",
               RequireToken([this](const Request& request, Response& response) {
                 const auto text =
                     hooks_.explain(RequestId(request.matches[1]));
                 if (!text) {
                   return WriteProblem(response, text.error());
                 }
                 response.set_content(text.value(), kJsonType);
               }));
    server.Post("/v1/drain",
                RequireToken([this](const Request&, Response& response) {
                  hooks_.drain();
                  response.status = 202;
                  response.set_content("{}", kJsonType);
                }));
  }

  // Wraps `handler` so that it is called only with the operator token. Compares
  // hashes, so that the response time does not leak the token.
  httplib::Server::Handler RequireToken(httplib::Server::Handler handler) {
    return [this, handler = std::move(handler)](const Request& request,
                                                Response& response) {
      if (KeySha256(request.get_header_value("Authorization")) !=
          token_sha256_) {
        return WriteProblem(response,
                            Error(ErrorKind::kUnauthorized, "operator token"));
      }
      handler(request, response);
    };
  }

  const std::string token_sha256_;
  AdminHooks hooks_;
  HttpListener listener_;
};

Result<std::unique_ptr<AdminServer>> AdminServer::Start(
    const Address& address,
    const std::string& token,
    AdminHooks hooks) {
  auto impl = std::make_unique<Impl>(token, std::move(hooks));
  BOOST_OUTCOME_TRY(impl->Start(address));
  return std::unique_ptr<AdminServer>(new AdminServer(std::move(impl)));
}

AdminServer::AdminServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

AdminServer::~AdminServer() = default;

}  // namespace qh
