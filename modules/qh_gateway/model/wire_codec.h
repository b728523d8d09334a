// Hooks that translate between the gateway's types and what callers, servers,
// operators and the cloud speak. The gateway knows no name of theirs.

#ifndef QH_GATEWAY_MODEL_WIRE_CODEC_H_
#define QH_GATEWAY_MODEL_WIRE_CODEC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "qh_core/errors/result.h"
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

// Requests of each team that began to run in one window of the wall clock.
struct UsageReport {
  int64_t window = 0;
  std::map<TeamId, uint64_t> requests;
};

// How many servers of one kind to run in one failure domain.
struct CapacityOrder {
  std::string service;
  FailureDomainId failure_domain;
  bool spot = false;
  uint32_t desired = 0;

  friend bool operator==(const CapacityOrder&, const CapacityOrder&) = default;
};

// Where a caller stands that asks which nodes to use.
struct LocateQuery {
  std::string host;
  std::string region;
  FailureDomainId failure_domain;
};

struct WireCodec {
  // Decodes a request's head; the body is filled in later. Fails with
  // kMalformedRequest.
  std::function<Result<CallerRequest>(const HttpHead&)> read_request;
  // Returns the head and the body to send to a server.
  std::function<std::string(const CallerRequest&, const ServerDispatch&)>
      write_dispatch;
  std::function<AnswerTraits(const HttpHead&)> read_answer;
  // Fields of the gateway's own answers to `request_id`.
  std::function<std::vector<HttpField>(const std::string& request_id)>
      own_answer_fields;

  // Asks a server to stop the run of `request_id` and copy its memory to `to`.
  std::function<HttpCall(const std::string& request_id, const Address& to)>
      write_migration;
  // Returns what names the memory that a move left behind, for
  // ServerDispatch::migration_handle; `source` was asked to move. Fails when
  // there is none.
  std::function<Result<std::string>(const Address& source,
                                    const std::string& body)>
      read_migration_handle;

  // Fails with kConfigInvalid.
  std::function<Result<ServiceConfigPtr>(const std::string& content)>
      read_config;
  // Fails with kPeerMalformed when the object names no server.
  std::function<Result<ServerRecord>(const StoredObject&)> read_server;
  StoreProtocol store;

  std::function<HttpCall(const UsageReport&, const FencingToken&)> write_usage;
  std::function<HttpCall(const CapacityOrder&, const FencingToken&)>
      write_order;

  // Nothing when the request asks for something else.
  std::function<std::optional<LocateQuery>(const HttpHead&)> read_locate;
  std::function<std::string(const std::vector<Address>& nodes, Duration ttl)>
      write_locate;
  // Whether the request asks if the node is ready.
  std::function<bool(const HttpHead&)> is_ready_check;

  // Kinds of the store's objects.
  std::string config_kind;
  std::string config_name;
  std::string server_kind;
};

}  // namespace qh

#endif  // QH_GATEWAY_MODEL_WIRE_CODEC_H_
