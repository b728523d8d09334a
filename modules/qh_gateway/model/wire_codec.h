// Hooks that translate between the gateway's types and the wire formats of
// callers, backend servers, operators and the cloud. The gateway itself uses no
// names of those formats.

#ifndef QH_GATEWAY_MODEL_WIRE_CODEC_H_
#define QH_GATEWAY_MODEL_WIRE_CODEC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
#include "qh_gateway/decisions/rollout/rollout_types.h"
#include "qh_gateway/model/caller_request.h"
#include "qh_gateway/model/server_record.h"
#include "qh_gateway/model/service_config.h"
#include "qh_gateway/model/stored_object.h"

namespace qh {

// Proves to the cloud that a call comes from the current holder of a lease. The
// cloud refuses calls with an older number.
struct FencingToken {
  // Id of the node that holds the lease.
  std::string holder;
  // Rises each time that the lease changes its holder.
  uint64_t fencing = 0;
};

// How many requests of each team began to run in one window of wall-clock time.
struct UsageReport {
  // Number of the window; see UsageLedger::WindowOf.
  int64_t window = 0;
  std::map<TeamId, uint64_t> requests;
};

// How many servers of a service, either reclaimable or on-demand, the cloud is
// to run in one failure domain.
struct CapacityOrder {
  std::string service;
  FailureDomainId failure_domain;
  // Whether reclaimable servers are meant.
  bool spot = false;
  uint32_t desired = 0;

  friend bool operator==(const CapacityOrder&, const CapacityOrder&) = default;
};

// A caller's question which gateway nodes to use, with the caller's location.
struct LocateQuery {
  std::string host;
  std::string region;
  FailureDomainId failure_domain;
};

struct WireCodec {
  // Decodes the head of a caller's request; the body is filled in later. Fails
  // with kMalformedRequest.
  std::function<Result<CallerRequest>(const HttpHead&)> read_request;
  // Encodes the head and the body of a request to a server.
  std::function<std::string(const CallerRequest&, const ServerDispatch&)>
      write_dispatch;
  // Decodes the head of a server's answer.
  std::function<AnswerTraits(const HttpHead&)> read_answer;
  // Returns the header fields of an answer to `request_id` that the gateway
  // itself produces, e.g. an error.
  std::function<std::vector<HttpField>(const std::string& request_id)>
      own_answer_fields;

  // Asks an engine to stop the run of `request_id` and to copy its KV cache to
  // the engine at `to`.
  std::function<HttpCall(const std::string& request_id, const Address& to)>
      write_migration;
  // Decodes the reply of the engine at `source` to write_migration. Returns the
  // handle of the stopped run's KV cache, for ServerDispatch::migration_handle.
  // Fails when the reply has none.
  std::function<Result<std::string>(const Address& source,
                                    const std::string& body)>
      read_migration_handle;

  // Decodes the operator's configuration. Fails with kConfigInvalid.
  std::function<Result<ServiceConfigPtr>(const std::string& content)>
      read_config;
  // Decodes a server's registration. Fails with kPeerMalformed when the object
  // is not one.
  std::function<Result<ServerRecord>(const StoredObject&)> read_server;
  // Decode the order of a rollout and its status; the order's version is that
  // of the object. Fail with kPeerMalformed.
  std::function<Result<RolloutOrder>(const StoredObject&)> read_rollout;
  std::function<Result<std::optional<RolloutStatus>>(const StoredObject&)>
      read_rollout_status;
  // Encodes a status for StoredObject::status.
  std::function<std::string(const RolloutStatus&)> write_rollout_status;
  StoreProtocol store;

  // Calls to the cloud, which refuses them when the token is out of date.
  std::function<HttpCall(const UsageReport&, const FencingToken&)> write_usage;
  std::function<HttpCall(const CapacityOrder&, const FencingToken&)>
      write_order;

  // Returns nullopt when the request is no locate query.
  std::function<std::optional<LocateQuery>(const HttpHead&)> read_locate;
  // Encodes the answer to a locate query: the nodes to use, for at
  // most `ttl`.
  std::function<std::string(const std::vector<Address>& nodes, Duration ttl)>
      write_locate;
  // Whether the request is a readiness check of the node.
  std::function<bool(const HttpHead&)> is_ready_check;

  // Kind and name of the configuration object, and kind of the servers'
  // registrations, in the store.
  std::string config_kind;
  std::string config_name;
  std::string server_kind;
  // Kind of the orders of rollouts.
  std::string rollout_kind;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_WIRE_CODEC_H_
