// Polls the platform's instance list. Watchers of a failure domain, and nodes
// that have not joined yet, poll every 500 ms, other nodes every 30 s. A node
// that finds a reclaim notice of another node forwards it to that node.

#ifndef QH_NODE_CONTROL_INSTANCE_WATCHER_H_
#define QH_NODE_CONTROL_INSTANCE_WATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "qh_membership/membership.h"
#include "qh_node/control/ticker.h"
#include "qh_peer/peer_client.h"
#include "qh_platform/cloud/instance_list.h"

namespace qh {

// Calls from the watcher to the rest of the node. All are thread safe.
struct InstanceWatcherHooks {
  InstanceListHook list;
  // Whether this node watches on behalf of its failure domain.
  std::function<bool()> is_watcher;
  // Whether this node has joined the cell.
  std::function<bool()> has_joined;
  // Receives the listed nodes and changes of backend servers.
  std::function<void(const MembershipEvent&)> on_membership_event;
  // The platform reclaims this instance in `notice_s` seconds.
  std::function<void(double notice_s)> on_reclaim_notice;
};

class InstanceWatcher {
 public:
  InstanceWatcher(const InstanceId& self,
                  PeerClient& client,
                  InstanceWatcherHooks hooks);

  void Start();
  void Stop() { ticker_.reset(); }

 private:
  void Tick();
  void ReportNodes(const std::vector<ListedInstance>& list);
  void ReportServer(const ListedInstance& instance);
  void ForwardNotice(const ListedInstance& instance);

  const InstanceId self_;
  PeerClient& client_;
  const InstanceWatcherHooks hooks_;
  // All below are used by the ticker's thread only.
  TimePoint next_read_;
  // Last reported state of each backend server.
  std::map<ServerId, InstanceState> servers_;
  std::unique_ptr<Ticker> ticker_;
};

}  // namespace qh

#endif  // QH_NODE_CONTROL_INSTANCE_WATCHER_H_
