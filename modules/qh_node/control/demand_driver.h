// Sends the demand of each team on this node to the peers and receives theirs.
// The team limits are shared among nodes in proportion to demand.

#ifndef QH_NODE_CONTROL_DEMAND_DRIVER_H_
#define QH_NODE_CONTROL_DEMAND_DRIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "qh_http/elastic_pool.h"
#include "qh_node/control/ticker.h"
#include "qh_node/serving/dispatcher.h"
#include "qh_node/serving/quarantine_driver.h"
#include "qh_peer/peer_client.h"

namespace qh {

class DemandDriver {
 public:
  DemandDriver(const InstanceId& self,
               PeerClient& client,
               MembersHook members,
               Dispatcher& dispatcher);
  ~DemandDriver();

  // Starts sending the demand every 500 ms.
  void Start();
  // Stops sending and waits for running calls.
  void Stop();

  // Receives a peer's demand. Fails with kPeerMalformed.
  Result<std::string> OnCall(const std::string& body);

 private:
  void Tick();

  const InstanceId self_;
  PeerClient& client_;
  const MembersHook members_;
  Dispatcher& dispatcher_;
  ElasticPool calls_;
  std::unique_ptr<Ticker> ticker_;
};

// Serializes `digest`.
std::string EncodeDemand(const DemandDigest& digest);

// Parses the output of EncodeDemand. Fails with kPeerMalformed.
Result<DemandDigest> DecodeDemand(const std::string& bytes);

}  // namespace qh

#endif  // QH_NODE_CONTROL_DEMAND_DRIVER_H_
