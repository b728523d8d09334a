#include "apps/quetzalhall/admin_client.h"

#include <httplib.h>

#include <cstdlib>
#include <fstream>

namespace qh::cli {
namespace {

constexpr auto kTimeout = std::chrono::seconds(2);
constexpr const char* kTokenVariable = "QUETZALHALL_TOKEN";

httplib::Client Connect(const ListedInstance& node, const std::string& token) {
  httplib::Client client(node.host, node.admin_port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  client.set_bearer_token_auth(token);
  return client;
}

AdminReply ReplyOf(const httplib::Result& result) {
  if (!result) {
    return {};
  }
  return {result->status, result->body};
}

}  // namespace

AdminClient::AdminClient(std::string token) : token_(std::move(token)) {}

AdminReply AdminClient::Get(const ListedInstance& node,
                            const std::string& path) const {
  return ReplyOf(Connect(node, token_).Get(path));
}

AdminReply AdminClient::Post(const ListedInstance& node,
                             const std::string& path) const {
  return ReplyOf(Connect(node, token_).Post(path));
}

std::optional<std::string> ReadToken(const std::string& token_file) {
  std::string token;
  if (!token_file.empty()) {
    std::ifstream stream(token_file);
    std::getline(stream, token);
  } else if (const char* variable = std::getenv(kTokenVariable)) {
    token = variable;
  }
  if (token.empty()) {
    return std::nullopt;
  }
  return token;
}

}  // namespace qh::cli
