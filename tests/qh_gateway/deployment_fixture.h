// A small deployment: gateway nodes with their heartbeats and calls between
// them, and a fake store, all on one io_context and loopback addresses.

#ifndef TESTS_QH_GATEWAY_DEPLOYMENT_FIXTURE_H_
#define TESTS_QH_GATEWAY_DEPLOYMENT_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_codec.h"
#include "qh_gateway/control/gateway_node.h"
#include "tests/qh_gateway/fake_object_store.h"

namespace qh {

class DeploymentFixture {
 public:
  // Starts `nodes` nodes, spread over `domains` failure domains in turn, with
  // configuration 1 and `servers` ready servers, and waits until every node is
  // ready and only those follow the store that have to. Throws if that takes
  // too long.
  void StartNodes(size_t nodes, size_t domains, size_t servers);

  // Starts one more node.
  void AddNode();

  // Changes the settings of the nodes that are started from now on; may be
  // empty.
  std::function<void(GatewaySettings&)> adjust_settings;

  // Writes configuration `version` to the store.
  void PutConfig(uint64_t version);
  // Writes a server's registration to the store.
  void PutServer(size_t server, bool draining);
  void RemoveServer(size_t server);

  // Sends `node` a heartbeat with a verdict, from a peer that does not exist.
  void TellVerdict(size_t node, const CrashVerdict& verdict);
  // Sends `node` a heartbeat with a server's rate limit, from the same peer.
  void TellRateLimit(size_t node, const ServerRateLimit& limit);

  const GatewayState& StateOf(size_t node) const {
    return nodes_[node]->state();
  }
  // The failure domain of `node` as a number.
  size_t DomainOf(size_t node) const { return node % domains_; }
  // Whether `node` knows that `server` takes no requests any more.
  bool KnowsGone(size_t node, size_t server) const;
  // Whether `node` knows that none of the first `servers` servers takes
  // requests any more.
  bool KnowsDrained(size_t node, size_t servers) const;
  // Returns the nodes of `domain` whose watch of `kind` is open.
  std::set<size_t> FollowersOf(size_t domain, const std::string& kind) const;
  // Whether `holds` is true of every node.
  bool AllOf(const std::function<bool(size_t node)>& holds) const;
  // Runs until `done` returns true, for at most `limit`. Returns how long it
  // took, or nullopt.
  std::optional<Duration> TimeUntil(const std::function<bool()>& done,
                                    Duration limit);

  boost::asio::io_context io;
  WireCodec codec = platform::MakeCodec();
  FakeObjectStore store{io};

 private:
  // Sends `node` a heartbeat of a peer that does not exist.
  void Tell(size_t node, PeerHeartbeat heartbeat);
  // Whether only the nodes follow the store that have to.
  bool RolesAreSettled() const;
  // Settings of the node with this number.
  GatewaySettings SettingsOf(size_t node);

  std::vector<std::unique_ptr<GatewayNode>> nodes_;
  size_t domains_ = 1;
  // Heartbeats of TellVerdict so far.
  uint64_t told_ = 0;
};

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_DEPLOYMENT_FIXTURE_H_
