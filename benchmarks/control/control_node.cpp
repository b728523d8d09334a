#include "benchmarks/control/control_node.h"

#include <ctime>

#include "qh_core/hash/hash.h"

namespace qh::control {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr uint64_t kLoadTicks = 10;
constexpr uint64_t kMaxOpenRequests = 400;

// Processor time of this thread.
std::chrono::nanoseconds ThreadCpu() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// Adds the processor time of its own life to a counter.
class CpuTimer {
 public:
  explicit CpuTimer(std::chrono::nanoseconds& total)
      : total_(total), start_(ThreadCpu()) {}
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;
  ~CpuTimer() { total_ += ThreadCpu() - start_; }

 private:
  std::chrono::nanoseconds& total_;
  const std::chrono::nanoseconds start_;
};

}  // namespace

ControlNode::ControlNode(const Member& self,
                         const ControlNodeOptions& options,
                         FakeNetwork& network,
                         ControlStore& store,
                         ControlHooks hooks,
                         uint64_t seed)
    : network_(network),
      store_(store),
      hooks_(std::move(hooks)),
      membership_(std::move(
          Membership::Create(self, options.membership, seed).value())),
      tracker_(self.id, self.failure_domain, options.config, HashPair(seed, 1)),
      rng_(seed, 2),
      started_(network.now()) {}

void ControlNode::Start() {
  const std::weak_ptr<ControlNode> weak = weak_from_this();
  network_.Attach(id(), self().failure_domain,
                  [weak](const std::string& kind, const std::string& body) {
                    const auto node = weak.lock();
                    return node ? node->Handle(kind, body) : std::string();
                  });
  network_.AtInstance(id(), network_.now() + rng_.Between(Duration(0), kTick),
                      [weak] {
                        if (const auto node = weak.lock()) {
                          node->Tick();
                        }
                      });
}

void ControlNode::Post(MembershipEvent event) {
  network_.AtInstance(id(), network_.now(),
                      [weak = weak_from_this(), event = std::move(event)] {
                        if (const auto node = weak.lock()) {
                          node->Feed(event);
                        }
                      });
}

void ControlNode::Tick() {
  if (++ticks_ % kLoadTicks == 0) {
    open_requests_ = static_cast<uint32_t>(rng_.Below(kMaxOpenRequests));
  }
  Feed(MembershipEvent{});
  ConfigEvent tick;
  {
    const CpuTimer timer(cpu_);
    tick.peers = Peers();
  }
  Feed(tick);
  UpdateStatus();
  network_.AtInstance(id(), network_.now() + kTick, [weak = weak_from_this()] {
    if (const auto node = weak.lock()) {
      node->Tick();
    }
  });
}

void ControlNode::UpdateStatus() {
  if (!is_ready_ && tracker_.is_ready() && membership_.has_joined()) {
    is_ready_ = true;
    hooks_.on_ready(*this);
  }
  const Member& shown = self();
  if (shown.config_version == tracker_.version() && shown.ready == is_ready_ &&
      shown.open_requests == open_requests_) {
    return;
  }
  MembershipEvent event;
  event.kind = MembershipEventKind::kStatusChanged;
  event.status = {tracker_.version(), open_requests_, is_ready_, {}};
  Feed(event);
}

void ControlNode::Feed(const MembershipEvent& event) {
  MembershipActions actions;
  {
    const CpuTimer timer(cpu_);
    actions = membership_.Advance(event, network_.now());
  }
  for (const MembershipAction& action : actions) {
    Run(action);
  }
}

void ControlNode::Feed(const ConfigEvent& event) {
  const uint64_t before = tracker_.version();
  ConfigActions actions;
  {
    const CpuTimer timer(cpu_);
    actions = tracker_.Advance(event, network_.now());
  }
  for (const ConfigAction& action : actions) {
    Run(action);
  }
  if (tracker_.version() != before) {
    hooks_.on_in_force(*this, before, tracker_.version());
    UpdateStatus();
  }
}

void ControlNode::Run(const MembershipAction& action) {
  switch (action.kind) {
    case MembershipActionKind::kCall:
      CallPeer(action);
      break;
    case MembershipActionKind::kReply:
      reply_ = action.message;
      break;
    case MembershipActionKind::kMemberChanged:
      hooks_.on_member(*this, action.member);
      break;
    case MembershipActionKind::kServerChanged:
      break;
    case MembershipActionKind::kNewerConfig: {
      ConfigEvent event;
      event.kind = ConfigEventKind::kVersionReported;
      event.peer = action.peer;
      event.version = action.config_version;
      Feed(event);
      break;
    }
  }
}

void ControlNode::Run(const ConfigAction& action) {
  switch (action.kind) {
    case ConfigActionKind::kWatchManifest:
      ReadManifest(true, action.revision, action.wait);
      break;
    case ConfigActionKind::kReadManifest:
      ReadManifest(false, 0, Duration::zero());
      break;
    case ConfigActionKind::kReadObject:
      ReadObject(action.key);
      break;
    case ConfigActionKind::kRequestFromPeer:
      PullFrom(action);
      break;
    case ConfigActionKind::kInForce:
    case ConfigActionKind::kReady:
      break;
  }
}

std::string ControlNode::Handle(const std::string& kind,
                                const std::string& body) {
  if (kind == kConfigPullCall) {
    const CpuTimer timer(cpu_);
    const auto request = ConfigPullRequest::Decode(body);
    return request ? tracker_.Answer(request.value()).Encode() : "";
  }
  MembershipEvent event;
  event.kind = MembershipEventKind::kRequest;
  {
    const CpuTimer timer(cpu_);
    auto message = GossipMessage::Decode(body);
    if (!message) {
      return "";
    }
    event.message = std::move(message.value());
  }
  Feed(event);
  const CpuTimer timer(cpu_);
  return reply_.Encode();
}

void ControlNode::CallPeer(const MembershipAction& action) {
  std::string body;
  {
    const CpuTimer timer(cpu_);
    body = action.message.Encode();
  }
  const auto done = [weak = weak_from_this(), peer = action.peer,
                     sequence =
                         action.message.sequence](const std::string* answer) {
    const auto node = weak.lock();
    if (!node) {
      return;
    }
    MembershipEvent event;
    event.kind = MembershipEventKind::kCallFailed;
    event.peer = peer;
    event.sequence = sequence;
    if (answer != nullptr) {
      const CpuTimer timer(node->cpu_);
      auto message = GossipMessage::Decode(*answer);
      if (message) {
        event.kind = MembershipEventKind::kReply;
        event.message = std::move(message.value());
      }
    }
    node->Feed(event);
  };
  network_.Call(id(), action.peer, kMembershipCall, body, done);
}

void ControlNode::PullFrom(const ConfigAction& action) {
  const auto done = [weak = weak_from_this(),
                     peer = action.peer](const std::string* answer) {
    const auto node = weak.lock();
    if (!node) {
      return;
    }
    ConfigEvent event;
    event.kind = ConfigEventKind::kPeerFailed;
    event.peer = peer;
    if (answer != nullptr) {
      const CpuTimer timer(node->cpu_);
      auto reply = ConfigPullReply::Decode(*answer);
      if (reply) {
        event.kind = ConfigEventKind::kPeerReplied;
        event.reply = std::move(reply.value());
      }
    }
    node->Feed(event);
  };
  network_.Call(id(), action.peer, kConfigPullCall, action.request.Encode(),
                done);
}

void ControlNode::CallStore(const StoreRequest& request,
                            std::function<void(const StoreReply&)> done) {
  if (!hooks_.reaches_store(*this)) {
    done({});
    return;
  }
  store_.Call(request, [this, weak = weak_from_this(),
                        done = std::move(done)](const StoreReply& reply) {
    const auto node = weak.lock();
    if (!node || !network_.IsAttached(node->id())) {
      return;
    }
    network_.AtInstance(node->id(), network_.now(), [weak, done, reply] {
      if (weak.lock()) {
        done(reply);
      }
    });
  });
}

void ControlNode::ReadManifest(bool watched, uint64_t since, Duration wait) {
  const StoreRequest request{.op = watched ? StoreOp::kWatch : StoreOp::kGet,
                             .key = kManifestKey,
                             .since = since,
                             .wait = wait};
  CallStore(request, [this, watched](const StoreReply& reply) {
    ConfigEvent event;
    event.watched = watched;
    event.kind = reply.status == StoreStatus::kOk ||
                         reply.status == StoreStatus::kNotFound
                     ? ConfigEventKind::kManifestRead
                     : ConfigEventKind::kManifestFailed;
    event.revision = watched ? reply.revision : 0;
    const std::string& body =
        reply.objects.empty() ? reply.object.body : reply.objects[0].body;
    if (!body.empty()) {
      const CpuTimer timer(cpu_);
      event.manifest = Manifest::Decode(body).value();
    }
    Feed(event);
  });
}

void ControlNode::ReadObject(const std::string& key) {
  CallStore({.op = StoreOp::kGet, .key = key},
            [this, key](const StoreReply& reply) {
              ConfigEvent event;
              event.kind = reply.status == StoreStatus::kOk
                               ? ConfigEventKind::kObjectRead
                               : ConfigEventKind::kObjectFailed;
              event.object = {key, reply.object.body};
              Feed(event);
            });
}

std::vector<ConfigPeer> ControlNode::Peers() const {
  std::vector<ConfigPeer> peers;
  for (const Member& member : membership_.members()) {
    const bool serves = member.state == MemberState::kLive ||
                        member.state == MemberState::kSuspect;
    if (serves && member.id != id()) {
      peers.push_back({member.id, member.failure_domain, member.config_version,
                       member.ready});
    }
  }
  return peers;
}

}  // namespace qh::control
