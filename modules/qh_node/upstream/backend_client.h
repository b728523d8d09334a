// HTTP client for calls to backend servers, with a pool of idle connections per
// server. A connection carries one request at a time. After a request that was
// cancelled, timed out or failed, its connection is closed and not reused, so
// that a late answer can't reach another request.

#ifndef QH_NODE_UPSTREAM_BACKEND_CLIENT_H_
#define QH_NODE_UPSTREAM_BACKEND_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "qh_config/configuration.h"
#include "qh_core/time/time.h"

namespace qh {

struct HeaderField {
  std::string name;
  std::string value;
};

struct BackendCall {
  Address address;
  std::string method;
  // Path with query.
  std::string path;
  std::string body;
  std::string content_type;
  std::vector<HeaderField> headers;
  // Maximum time between two reads from the server.
  Duration read_timeout = std::chrono::seconds(30);
  // Opens a new connection instead of using an idle one, so that the call can't
  // fail because the server has closed an idle connection.
  bool fresh_connection = false;
  // Receives the body in chunks as they arrive; returns false to cancel the
  // call. Called only for status 200. If null, or for any other status, the
  // body is collected in BackendReply::body.
  std::function<bool(std::string_view)> on_body_chunk;
};

// How a call to a backend server ended.
enum class BackendCallOutcome {
  kCompleted,
  // No connection could be made; no byte reached the server.
  kNotConnected,
  // The connection failed before the answer was complete, what came is no
  // answer, or the server died as it ended an answer without a length.
  kLost,
  kTimeout,
  // BackendCall::on_body_chunk returned false.
  kCancelled,
};

struct BackendReply {
  BackendCallOutcome outcome = BackendCallOutcome::kNotConnected;
  int status = 0;
  std::string body;
  std::string content_type;
  // X-Request-Id header of the answer; empty if the server did not send one.
  std::string echoed_request_id;
};

// Thread safe.
class BackendClient {
 public:
  BackendClient();
  ~BackendClient();

  // Makes one call. Blocks until it has ended.
  BackendReply Call(const BackendCall& call);

 private:
  class Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace qh

#endif  // QH_NODE_UPSTREAM_BACKEND_CLIENT_H_
