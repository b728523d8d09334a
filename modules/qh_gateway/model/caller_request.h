// Decoded forms of a caller's request, of the request that the gateway sends to
// a backend server, and of the server's answer.

#ifndef QH_GATEWAY_MODEL_CALLER_REQUEST_H_
#define QH_GATEWAY_MODEL_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_net/http_head.h"

namespace qh {

// One part of a prompt. Requests whose prompts begin with the same parts can
// share the cached prefix on an engine.
struct PromptPart {
  // Identifies the part's content.
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct CallerRequest {
  // Request id, chosen by the caller: a new one each time that it tries again.
  std::string id;
  std::string method;
  // Path and query as received.
  std::string target;
  std::string host;
  // The caller's API key; empty without one.
  std::string key;
  // How long the caller still waits when the request is complete; nullopt when
  // the caller gave no deadline.
  std::optional<Duration> deadline;
  // Token counts; used for model engines only.
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  // Whether the caller stated its token count.
  bool has_token_count = false;
  // The caller's estimate of the output tokens; zero when it gave none.
  uint32_t expected_output_tokens = 0;
  // In prompt order. The last part belongs to the request's own session.
  std::vector<PromptPart> prompt_parts;
  // Id of the last event that the caller received, when it resumes a broken
  // stream; empty otherwise.
  std::string last_event_id;
  // Header fields that are forwarded to the server unchanged.
  std::vector<HttpField> forwarded_fields;
  std::string body;
  // Minor version of HTTP/1.
  int minor_version = 1;

  // The target without its query.
  std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

// What the gateway adds to a request when it sends it to a server.
struct ServerDispatch {
  // Id of the intended server. Another server that has taken over the address
  // refuses the request.
  std::string server_id;
  std::string team;
  // Time until the request's deadline.
  std::optional<Duration> time_left;
  // 0 is the most urgent, 9 the least; nullopt leaves the priority to the
  // server.
  std::optional<int> priority;
  // A resumed stream continues after this event; empty to run from the start.
  std::string last_event_id;
  // Identifies the KV cache of a migrated run that continues on this server;
  // empty otherwise. See WireCodec::read_migration_handle.
  std::string migration_handle;
};

// What the gateway reads from the head of a server's answer.
struct AnswerTraits {
  int status = 0;
  // Empty when the answer carries none.
  std::string request_id;
  // The server states that it did not run the request.
  bool not_executed = false;
  // The answer came from another server than the intended one, which has taken
  // over the address.
  bool wrong_server = false;
  // How long the server keeps the connection open while it is idle; nullopt
  // when not stated.
  std::optional<Duration> idle_limit;
  // The server announces that it leaves.
  bool leaving = false;
  // The server refused the request for lack of capacity and asks the gateway to
  // send it nothing for this time.
  std::optional<Duration> pause;
  // Requests per second that the server takes from all nodes together; nullopt
  // when the answer names none.
  std::optional<double> rate_limit;
  // The answer names a rate limit that can't be read. It says nothing about the
  // limit in force.
  bool has_unreadable_rate_limit = false;
  // The body has a content encoding, which an intermediary between the server
  // and the gateway must have applied.
  bool encoded = false;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_CALLER_REQUEST_H_
