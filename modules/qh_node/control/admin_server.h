// HTTP server for operators: health, readiness, metrics, status, explanations
// of single requests, and drain.

#ifndef QH_NODE_CONTROL_ADMIN_SERVER_H_
#define QH_NODE_CONTROL_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "qh_config/configuration.h"
#include "qh_core/errors/result.h"

namespace qh {

// Calls from the admin server to the rest of the node. All are thread safe.
struct AdminHooks {
  // Whether the node accepts new requests.
  std::function<bool()> ready;
  // JSON for `quetzalhall status`.
  std::function<std::string()> status;
  // JSON that explains one request. Fails with kUnknownRequest.
  std::function<Result<std::string>(const RequestId&)> explain;
  // Metrics in the Prometheus text format.
  std::function<std::string()> metrics;
  // Starts the drain and returns at once.
  std::function<void()> drain;
};

class AdminServer {
 public:
  // Binds `address` and serves until destroyed. All paths except /healthz and
  // /readyz require `token` as a bearer token. Fails with kInternal if the
  // address can't be bound.
  static Result<std::unique_ptr<AdminServer>> Start(const Address& address,
                                                    const std::string& token,
                                                    AdminHooks hooks);
  ~AdminServer();

 private:
  class Impl;
  explicit AdminServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_ADMIN_SERVER_H_
