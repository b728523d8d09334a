// A small cluster in one process, connected over loopback: nodes, up to four of
// them in separate failure domains, and stand-ins for the platform, the engines
// and a service.

#ifndef TESTS_QH_NODE_CLUSTER_FIXTURE_H_
#define TESTS_QH_NODE_CLUSTER_FIXTURE_H_

#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "qh_node/node.h"
#include "standins/engine/engine_standin.h"
#include "standins/platform/platform_standin.h"
#include "standins/service/service_standin.h"

namespace qh {

struct ClusterOptions {
  int nodes = 1;
  int engines = 2;
  Duration token_interval = std::chrono::milliseconds(1);
  Duration service_work = std::chrono::milliseconds(1);
};

class Cluster {
 public:
  // Starts everything. Blocks until every node reports all nodes as ready.
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();

  // Returns a client for node `index` with a valid team key.
  httplib::Client ClientFor(size_t index) const;
  // Returns a client with a valid team key for the node that serves `url`.
  httplib::Client ClientForUrl(const std::string& url) const;
  // Returns the path of `url`.
  static std::string PathOf(const std::string& url);

  Node& node(size_t index) { return *nodes_[index].node; }
  standins::ServiceStandin& service() { return *service_; }

  // Drains node `index`, handing its open requests over at once. Returns when
  // it has no open requests or after 30 s.
  void DrainNode(size_t index);

  // Waits until node `index` has at least `count` open requests. Fails the test
  // on a timeout.
  void WaitOpenRequests(size_t index, int count) const;
  // Waits until the service has executed the idempotency key `key` at least
  // `count` times. Fails the test on a timeout.
  void WaitExecutions(const std::string& key, uint32_t count) const;

 private:
  struct RunningNode {
    NodeSettings settings;
    std::unique_ptr<Node> node;
  };

  // Stores the configuration for all nodes.
  void ApplyConfig() const;
  void StartNode(int index);
  // Adds the node to the platform's instance list.
  void Register(const NodeSettings& settings) const;
  // Returns the node's status as JSON, or an empty string if it doesn't answer.
  std::string StatusOf(size_t index) const;

  std::unique_ptr<standins::PlatformStandin> platform_;
  std::vector<std::unique_ptr<standins::EngineStandin>> engines_;
  std::unique_ptr<standins::ServiceStandin> service_;
  std::vector<RunningNode> nodes_;
};

}  // namespace qh

#endif  // TESTS_QH_NODE_CLUSTER_FIXTURE_H_
