// A caller's request and a server's answer, decoded.

#ifndef QH_GATEWAY_MODEL_CALLER_REQUEST_H_
#define QH_GATEWAY_MODEL_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_net/http_head.h"

namespace qh {

// A part of a prompt that requests may share.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct CallerRequest {
  // Chosen by the caller, one for each attempt of its own.
  std::string id;
  std::string method;
  // Path and query as they came.
  std::string target;
  std::string host;
  std::string key;
  // How long the caller waits; nothing when it does not say.
  std::optional<Duration> deadline;
  // Engines only.
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  bool has_token_count = false;
  // The caller's guess of the output; zero when it has none.
  uint32_t expected_output_tokens = 0;
  // In the order of the prompt; the last belongs to the request's session.
  std::vector<PromptPart> prompt_parts;
  // The caller goes on with a broken stream after this event.
  std::string last_event_id;
  // Fields that the server gets unchanged.
  std::vector<HttpField> forwarded_fields;
  std::string body;
  bool keep_alive = true;
  int minor_version = 1;

  std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

// What the gateway adds when it sends a request to a server.
struct ServerDispatch {
  // Id of the server that is meant; another one refuses.
  std::string server_id;
  std::string team;
  std::optional<Duration> time_left;
  // 0 is the most urgent, 9 the least; nothing leaves it to the server.
  std::optional<int> priority;
  // Where a resumed stream goes on; empty for a run from the start.
  std::string last_event_id;
  // Names the memory of the run that goes on here; empty for none.
  std::string migration_handle;
};

// What a server's answer says beyond its status.
struct AnswerTraits {
  int status = 0;
  // Empty when the answer bears none.
  std::string request_id;
  // The server says that it did not run the request.
  bool not_executed = false;
  // Another server has the address now.
  bool wrong_server = false;
  // How long the connection may stay idle; nothing when not said.
  std::optional<Duration> idle_limit;
  // The body is encoded by something between the server and here.
  bool encoded = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_CALLER_REQUEST_H_
