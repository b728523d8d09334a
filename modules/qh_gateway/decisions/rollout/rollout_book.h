// The rollouts of all services as one node sees them: orders from the store and
// from peers, the servers that a request may go to, and the responses of both
// versions. Load pattern: new versions of several services, while the orders,
// the servers and the reports reach the nodes in any order.
// The implementation is in rollout_book.cpp and rollout_book_servers.cpp.

#ifndef QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_BOOK_H_
#define QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "qh_gateway/decisions/placement/outlier_detector.h"
#include "qh_gateway/decisions/rollout/response_times.h"
#include "qh_gateway/decisions/rollout/service_rollout.h"
#include "qh_gateway/decisions/servers/server_directory.h"

namespace qh {

// Whether a server may take a request; empty if every one may.
using ServerFilter = std::function<bool(const ServerRecord&)>;

// A rollout order in the store, with its status.
struct StoredRollout {
  std::string name;
  uint64_t revision = 0;
  RolloutOrder order;
  std::optional<RolloutStatus> status;
  // Why the order can't be followed; empty if it can.
  std::string mistake;
};

// A status to write, conditional on the object's revision.
struct RolloutWrite {
  std::string name;
  uint64_t revision = 0;
  RolloutStatus status;
};

// An attempt of a request at a server. Made by TakeSend, ends with OnEnded.
struct RolloutAttempt {
  std::string service;
  std::string route;
  // Version of the server.
  std::string version;
  // The order under which the attempt was sent; nullopt without one.
  std::optional<RolloutOrder> order;
  // The new version's servers are still cold, so that a slow response says
  // nothing.
  bool cold = false;
  // The response has been counted, and counted as slow.
  bool counted = false;
  bool slow = false;
};

class RolloutBook {
 public:
  // A version that appears beside others without an order gets no requests for
  // this time, in which the order should arrive.
  static constexpr Duration kOrderDelay = std::chrono::seconds(3);

  // Without `bounds` there are no rollouts, and every server is eligible.
  // `directory` must outlive the book.
  RolloutBook(std::optional<RolloutBounds> bounds,
              const ServerDirectory& directory,
              uint64_t seed);

  bool enabled() const { return bounds_.has_value(); }

  // All objects of the kind in the store, or one of them.
  void OnList(const std::vector<StoredRollout>& objects, TimePoint now);
  void OnObject(const StoredRollout& object, TimePoint now);
  void OnRemoved(const std::string& name, TimePoint now);
  // The reports of a peer. `source` is empty if another peer reports the same
  // counts, which are then left out. The other parameters are those of
  // ServiceRollout::PeerReport.
  void OnPeer(const std::string& source,
              bool covers_all,
              const std::string& incarnation,
              const RolloutReports& reports,
              TimePoint now);
  // A peer that takes requests was heard, so that its reports name all orders.
  void OnReadyPeer() { knows_orders_ = enabled(); }
  // A server became known; `listed` tells whether a list of all servers was
  // complete before.
  void OnServer(const ServerRecord& server, bool listed, TimePoint now);
  // Evaluates all rollouts, see ServiceRollout::OnTick. `uptime` is the time
  // since the process started.
  void OnTick(size_t known_nodes,
              bool may_decide,
              Duration uptime,
              TimePoint now);

  // Returns the next status that the lease holder has to write.
  std::optional<RolloutWrite> NextWrite(TimePoint now) const;
  // Returns this node's reports on all rollouts, for its peers.
  RolloutReports Report(TimePoint now) const;
  // Whether the service's rollout is under way, so that its servers are not to
  // be ordered or ended by others.
  bool IsUnderWay(const std::string& service) const;
  const std::map<std::string, ServiceRollout>& rollouts() const {
    return rollouts_;
  }
  // Returns the steps of all rollouts since the last call.
  std::vector<RolloutStep> TakeSteps();

  // A new request is about to be sent.
  void OnRequest(const std::string& service,
                 const std::string& route,
                 TimePoint now);
  // Returns which servers the request may go to, the preferred ones first; none
  // if it can't be sent. `last` is the request's last attempt, if any, and
  // `answering` tells whether its response has reached the caller in part.
  std::vector<ServerFilter> Eligible(const std::string& service,
                                     const std::string& route,
                                     const std::optional<RolloutAttempt>& last,
                                     bool answering,
                                     TimePoint now) const;
  // An attempt is to be sent to a server of `version`; `first` for a request's
  // first one. Returns nullopt if it must not be.
  std::optional<RolloutAttempt> TakeSend(const std::string& service,
                                         const std::string& version,
                                         const std::string& route,
                                         bool first,
                                         TimePoint now);
  // The response began.
  void OnStarted(RolloutAttempt& attempt, const ResponseTime& time);
  // The attempt ended.
  void OnEnded(RolloutAttempt& attempt,
               AttemptOutcome outcome,
               const ResponseTime& time);

 private:
  struct Versions {
    // Those that take requests without an order, and when the others appeared.
    std::set<std::string> in_use;
    std::map<std::string, TimePoint> appeared;
  };

  // Returns the rollout under which the attempt was sent, or null.
  ServiceRollout* Find(const RolloutAttempt& attempt);
  bool IsSlow(const RolloutAttempt& attempt,
              const ServiceRollout& rollout,
              const ResponseTime& time) const;
  // Tells the service's rollout which attempts are open.
  void UpdateOpen(const std::string& service);
  // Returns a filter for the servers that run neither the version ordered nor
  // one of the abandoned ones.
  ServerFilter OldServers(const RolloutOrder& order) const;
  // Replaces the service's rollout if `order` is newer.
  ServiceRollout& Adopt(const RolloutOrder& order,
                        bool from_start,
                        TimePoint now);
  // Without an order: leaves out versions that appeared just now. While the
  // orders aren't known, the version is used whose servers are oldest.
  ServerFilter WithoutOrder(const std::string& service, TimePoint now) const;
  ServerFilter OldestVersion(const std::string& service) const;
  // Tells a rollout how many servers of each version take requests.
  void UpdateServers(ServiceRollout& rollout);
  // Returns a filter for the new servers that get the canary requests.
  ServerFilter CanaryFilter(const ServiceRollout& rollout) const;
  // Returns the servers of the order's version that take requests, in order of
  // their ids.
  std::vector<const ServerRecord*> NewServers(const RolloutOrder& order) const;

  std::optional<RolloutBounds> bounds_;
  const ServerDirectory& directory_;
  Rng rng_;
  // By service.
  std::map<std::string, ServiceRollout> rollouts_;
  // The store's objects, by name.
  std::map<std::string, StoredRollout> objects_;
  // Whether the store has listed its orders, and whether the store or a peer
  // has told them.
  bool listed_ = false;
  bool knows_orders_ = false;
  Duration uptime_ = Duration::zero();
  std::map<std::string, Versions> versions_;
  // Versions whose rollout was replaced before it was completed, by service.
  std::map<std::string, std::set<std::string>> abandoned_;
  // Attempts of this node that are open, by service and version.
  std::map<std::string, std::map<std::string, uint64_t>> open_;
  ResponseTimes response_times_;
  // Steps of rollouts that were replaced.
  std::vector<RolloutStep> steps_;
};

}  // namespace qh

#endif  // QH_GATEWAY_DECISIONS_ROLLOUT_ROLLOUT_BOOK_H_
