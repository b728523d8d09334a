// One node of the control search: the product's Membership and ConfigTracker
// with their calls carried by the fake network and the search's store.

#ifndef BENCHMARKS_CONTROL_CONTROL_NODE_H_
#define BENCHMARKS_CONTROL_CONTROL_NODE_H_

#include <chrono>
#include <functional>
#include <memory>

#include "benchmarks/control/control_store.h"
#include "qh_config/distribution/config_tracker.h"
#include "qh_membership/membership.h"
#include "tests/fakes/fake_network.h"

namespace qh::control {

struct ControlNodeOptions {
  MembershipOptions membership;
  ConfigTrackerOptions config;
};

class ControlNode;

// What the search hears of a node.
struct ControlHooks {
  std::function<void(ControlNode&, uint64_t before, uint64_t after)>
      on_in_force;
  std::function<void(ControlNode&)> on_ready;
  std::function<void(ControlNode&, const Member&)> on_member;
  // Whether the node can reach the store now.
  std::function<bool(const ControlNode&)> reaches_store;
};

class ControlNode : public std::enable_shared_from_this<ControlNode> {
 public:
  ControlNode(const Member& self,
              const ControlNodeOptions& options,
              FakeNetwork& network,
              ControlStore& store,
              ControlHooks hooks,
              uint64_t seed);

  // Attaches to the network and starts its ticks.
  void Start();
  // Gives the node an event of the platform, on its own thread.
  void Post(MembershipEvent event);

  const InstanceId& id() const { return membership_.self().id; }
  const Member& self() const { return membership_.self(); }
  const Membership& membership() const { return membership_; }
  const ConfigTracker& tracker() const { return tracker_; }
  // Whether callers would be served: configuration sure and cell joined.
  bool is_ready() const { return is_ready_; }
  TimePoint started() const { return started_; }
  // Processor time of the control objects and codecs.
  std::chrono::nanoseconds cpu() const { return cpu_; }
  void ResetCpu() { cpu_ = {}; }
  size_t state_bytes() const {
    return membership_.state_bytes() + tracker_.state_bytes();
  }

 private:
  void Tick();
  void UpdateStatus();
  void Feed(const MembershipEvent& event);
  void Feed(const ConfigEvent& event);
  void Run(const MembershipAction& action);
  void Run(const ConfigAction& action);
  std::string Handle(const std::string& kind, const std::string& body);
  void CallPeer(const MembershipAction& action);
  void PullFrom(const ConfigAction& action);
  void CallStore(const StoreRequest& request,
                 std::function<void(const StoreReply&)> done);
  void ReadManifest(bool watched, uint64_t since, Duration wait);
  void ReadObject(const std::string& key);
  std::vector<ConfigPeer> Peers() const;

  FakeNetwork& network_;
  ControlStore& store_;
  const ControlHooks hooks_;
  Membership membership_;
  ConfigTracker tracker_;
  Rng rng_;
  TimePoint started_;
  uint32_t open_requests_ = 0;
  uint64_t ticks_ = 0;
  bool is_ready_ = false;
  std::chrono::nanoseconds cpu_{};
  // Reply of the request in hand.
  GossipMessage reply_;
};

}  // namespace qh::control

#endif  // BENCHMARKS_CONTROL_CONTROL_NODE_H_
