// HTTP client for the admin ports of nodes.

#ifndef APPS_QUETZALHALL_ADMIN_CLIENT_H_
#define APPS_QUETZALHALL_ADMIN_CLIENT_H_

#include <optional>
#include <string>

#include "qh_platform/cloud/instance_list.h"

namespace qh::cli {

struct AdminReply {
  // HTTP status; zero if the node did not answer.
  int status = 0;
  std::string body;
};

// Authenticates with the operators' token. Thread safe.
class AdminClient {
 public:
  explicit AdminClient(std::string token);

  // Send a request for `path` to the admin port of `node`. Wait at most 2 s to
  // connect and 2 s for each read.
  AdminReply Get(const ListedInstance& node, const std::string& path) const;
  AdminReply Post(const ListedInstance& node, const std::string& path) const;

 private:
  const std::string token_;
};

// Returns the operators' token: the first line of `token_file` if one is named,
// else the environment variable QUETZALHALL_TOKEN. Returns nullopt if there is
// none or it is empty.
std::optional<std::string> ReadToken(const std::string& token_file);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_ADMIN_CLIENT_H_
