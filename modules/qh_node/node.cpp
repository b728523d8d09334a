#include "qh_node/node.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "qh_core/hash/hash.h"
#include "qh_core/log/log_line.h"
#include "qh_http_platform/http_platform.h"
#include "qh_node/callers/caller_server.h"
#include "qh_node/control/admin_server.h"
#include "qh_node/control/claim_conversion.h"
#include "qh_node/control/claim_driver.h"
#include "qh_node/control/config_driver.h"
#include "qh_node/control/demand_driver.h"
#include "qh_node/control/instance_watcher.h"
#include "qh_node/control/membership_driver.h"
#include "qh_node/control/node_report.h"
#include "qh_node/handover/request_handover.h"
#include "qh_peer/peer_server.h"

namespace qh {
namespace {

constexpr size_t kMaxEndedRequests = 4'096;
constexpr Duration kRoutingTickInterval = std::chrono::milliseconds(50);
// During this time after its start a node is not ready: its shares of the team
// limits are zero, its quarantine may lack suspicion records and its arbiter
// grants nothing.
constexpr Duration kStartupGracePeriod = std::chrono::seconds(3);
constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);
// Fraction of the time of a reclaim notice during which requests may still end
// on this node before they are handed over.
constexpr double kFinishFractionOfNotice = 0.15;
constexpr Duration kMaxFinishTime = std::chrono::seconds(10);

Member MakeSelfMember(const NodeSettings& settings) {
  Member self;
  self.id = settings.instance;
  self.failure_domain = settings.failure_domain;
  self.callers = settings.callers;
  self.peers = settings.peers;
  self.admin = settings.admin;
  return self;
}

// Returns an id that differs between runs of the same instance.
std::string MakeRunId(const NodeSettings& settings) {
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  return HashHex128(settings.instance.value() + std::to_string(started.count()))
      .substr(0, 8);
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(const NodeSettings& settings)
      : settings_(settings),
        run_id_(MakeRunId(settings)),
        seed_(Hash64(run_id_)),
        platform_(HttpPlatform::Create(settings.platform.host,
                                       settings.platform.port)),
        table_(kMaxEndedRequests),
        dispatcher_(settings.instance, seed_, metrics_),
        peer_client_(settings.peer_secret),
        quarantine_(settings.instance, peer_client_, MakeMembersHook()),
        runner_({dispatcher_, quarantine_, backends_, MakeRunnerHooks()}),
        handover_(peer_client_, table_, MakeHandoverHooks()),
        config_driver_(settings.instance,
                       settings.failure_domain,
                       seed_,
                       peer_client_,
                       {MakeStoreHook(), MakeMembersHook(),
                        [this](const ConfigurationPtr& config) {
                          SetConfiguration(config);
                        }}),
        claims_(settings.instance, seed_, peer_client_, MakeClaimHooks()),
        instance_watcher_(settings.instance, peer_client_, MakeInstanceHooks()),
        demand_(settings.instance,
                peer_client_,
                MakeMembersHook(),
                dispatcher_) {}

  ~Impl() {
    // The caller server is stopped first and the peer server last, because open
    // requests use everything else.
    callers_.reset();
    handover_.Shutdown();
    ticker_.reset();
    demand_.Stop();
    instance_watcher_.Stop();
    config_driver_.Stop();
    claims_.Stop();
    if (membership_) {
      membership_->Stop();
    }
    quarantine_.Shutdown();
    admin_.reset();
    peers_.reset();
  }

  Result<void> Start() {
    BOOST_OUTCOME_TRY(membership, MembershipDriver::Create(
                                      MakeSelfMember(settings_), seed_,
                                      peer_client_, MakeMembershipHooks()));
    membership_ = std::move(membership);
    BOOST_OUTCOME_TRY(
        peers, PeerServer::Start(
                   settings_.peers, settings_.peer_secret,
                   [this](const PeerCall& call) { return HandlePeer(call); }));
    peers_ = std::move(peers);
    BOOST_OUTCOME_TRY(admin,
                      AdminServer::Start(settings_.admin, settings_.admin_token,
                                         MakeAdminHooks()));
    admin_ = std::move(admin);
    BOOST_OUTCOME_TRY(
        callers,
        CallerServer::Start(settings_.callers, NodeLimits(), MakeCallerHooks(),
                            table_, runner_, metrics_));
    callers_ = std::move(callers);
    membership_->Start();
    config_driver_.Start();
    claims_.Start();
    instance_watcher_.Start();
    demand_.Start();
    ticker_ = std::make_unique<Ticker>(kRoutingTickInterval, [this] {
      dispatcher_.Tick();
      quarantine_.Tick();
    });
    LogLine("node_started")
        .With("instance", settings_.instance.value())
        .With("callers", settings_.callers.ToString())
        .Info();
    return Ok();
  }

  void Drain() {
    if (!draining_.exchange(true)) {
      LogLine("drain_started").With("open", table_.open_count()).Info();
      membership_->HandleEvent({.kind = MembershipEventKind::kReclaimNotice});
    }
  }

  bool is_draining() const { return draining_; }

  void WaitDrained(Duration handover_delay, Duration timeout) {
    const TimePoint start = MonotonicNow();
    while (table_.open_count() > 0 && MonotonicNow() < start + timeout) {
      const Duration wait =
          std::min<Duration>(handover_delay, notice_handover_delay_);
      if (MonotonicNow() >= start + wait) {
        HandOverOpenRequests();
      }
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    callers_->Stop();
    LogLine("drain_ended").With("open", table_.open_count()).Info();
  }

 private:
  ClaimDriverHooks MakeClaimHooks() {
    ClaimDriverHooks hooks;
    hooks.store = MakeStoreHook();
    hooks.members = MakeMembersHook();
    return hooks;
  }

  MembersHook MakeMembersHook() {
    return [this] { return members(); };
  }

  StoreHook MakeStoreHook() {
    return [this](const StoreRequest& request) {
      return platform_->Call(request);
    };
  }

  // --------------------------------------------------------------------------
  // Handover

  // Hands all open requests over in parallel, since each call to an
  // unresponsive peer lasts until its timeout.
  void HandOverOpenRequests() {
    std::vector<std::thread> handovers;
    for (const RequestRecordPtr& record : table_.OpenRecords()) {
      if (record->state() == RecordState::kRunning) {
        handovers.emplace_back([this, record] {
          const auto result = handover_.HandOver(*record);
          if (!result) {
            LogLine("handover_failed").With(result.error()).Warning();
          }
        });
      }
    }
    for (std::thread& handover : handovers) {
      handover.join();
    }
  }

  HandoverHooks MakeHandoverHooks() {
    return {[this](const RequestRecord& record) { return PeersFor(record); },
            [this] { return IsServing(); },
            [this](RequestRecord& record) { runner_.Run(record); }};
  }

  // Returns live peers, those in other failure domains first, so that the
  // request survives a reclaim of this node's whole failure domain.
  std::vector<Member> PeersFor(const RequestRecord& record) const {
    EntryQuery query;
    query.affinity_key = Hash64(record.spec().id.value());
    std::vector<Member> peers = LocateEntries(query, members());
    std::erase_if(peers, [this](const Member& member) {
      return member.id == settings_.instance;
    });
    std::stable_partition(
        peers.begin(), peers.end(), [this](const Member& member) {
          return member.failure_domain != settings_.failure_domain;
        });
    return peers;
  }

  // The platform reclaims this instance in `notice_s` seconds.
  void OnReclaimNotice(double notice_s) {
    if (!draining_) {
      LogLine("reclaim_notice").With("notice_s", notice_s).Warning();
      notice_handover_delay_ = std::min(
          FromSeconds(notice_s * kFinishFractionOfNotice), kMaxFinishTime);
      Drain();
    }
  }

  // --------------------------------------------------------------------------
  // Peers

  Result<std::string> HandlePeer(const PeerCall& call) {
    switch (call.kind) {
      case PeerCallKind::kMembership:
        return membership_->OnCall(call.body);
      case PeerCallKind::kConfig:
        return config_driver_.OnCall(call.body);
      case PeerCallKind::kReclaimNotice:
        OnReclaimNotice(std::strtod(call.body.c_str(), nullptr));
        return std::string();
      case PeerCallKind::kClaim:
        return claims_.OnClaimCall(call.body);
      case PeerCallKind::kOutcome:
        return claims_.OnOutcomeCall(call.body);
      case PeerCallKind::kGrant:
        return quarantine_.OnGrantCall(call.body);
      case PeerCallKind::kGrantEnd:
        return quarantine_.OnGrantEndCall(call.body);
      case PeerCallKind::kGrantedRun:
        return quarantine_.OnGrantedRunCall(call.body);
      case PeerCallKind::kSuspicion:
        return quarantine_.OnSuspicionCall(call.body);
      case PeerCallKind::kDemand:
        return demand_.OnCall(call.body);
      case PeerCallKind::kHandover: {
        BOOST_OUTCOME_TRY(handover_.Accept(call.body));
        return std::string();
      }
      case PeerCallKind::kHandoverResult: {
        BOOST_OUTCOME_TRY(handover_.ReceiveResult(call.body));
        return std::string();
      }
    }
    return Error(ErrorKind::kPeerMalformed, "kind is not served");
  }

  MembershipDriverHooks MakeMembershipHooks() {
    return {[this] { return MakeStatus(); },
            [this](const std::set<ServerId>& leaving) {
              SetLeavingServers(leaving);
            },
            [this](const InstanceId& peer, uint64_t version) {
              config_driver_.OnVersionReported(peer, version);
            }};
  }

  LocalStatus MakeStatus() const {
    const ConfigurationPtr config = configuration();
    LocalStatus status;
    status.config_version = config ? config->version : 0;
    status.open_requests = static_cast<uint32_t>(table_.open_count());
    status.ready = IsServing();
    return status;
  }

  InstanceWatcherHooks MakeInstanceHooks() {
    return {[this] { return platform_->Instances(); },
            [this] { return config_driver_.is_watcher(); },
            [this] { return membership_->has_joined(); },
            [this](const MembershipEvent& event) {
              membership_->HandleEvent(event);
            },
            [this](double notice_s) { OnReclaimNotice(notice_s); }};
  }

  // --------------------------------------------------------------------------
  // Serving

  RunnerHooks MakeRunnerHooks() {
    return {[this] { return configuration(); },
            [this](const RequestSpec& spec) {
              return ToClaimReply(claims_.Claim(spec));
            },
            [this](const RequestSpec& spec, OutcomeKind kind,
                   const CompleteAnswer& answer) {
              claims_.ReportOutcome(spec, kind, ToStoredAnswer(answer));
            },
            [this](const RequestRecord& record,
                   const Result<CompleteAnswer>& result) {
              handover_.ReportResult(record, result);
            },
            [this](const ServerId& server) { return IsLeaving(server); }};
  }

  void SetLeavingServers(const std::set<ServerId>& leaving) {
    dispatcher_.SetLeavingServers(leaving);
    const std::lock_guard lock(mutex_);
    leaving_servers_ = leaving;
  }

  bool IsLeaving(const ServerId& server) const {
    const std::lock_guard lock(mutex_);
    return leaving_servers_.contains(server);
  }

  // Succeeds if new requests are accepted. Fails with kNotReady or kDraining.
  Result<void> CheckAccepting() const {
    if (draining_) {
      return Error(ErrorKind::kDraining, "");
    }
    if (MonotonicNow() < started_ + kStartupGracePeriod || !configuration() ||
        !config_driver_.is_ready() || !membership_->has_joined()) {
      return Error(ErrorKind::kNotReady, "still learning what is in force");
    }
    return Ok();
  }

  bool IsServing() const { return CheckAccepting().has_value(); }

  CallerHooks MakeCallerHooks() {
    return {[this] { return configuration(); }, MakeMembersHook(),
            [this] { return CheckAccepting(); },
            [this] {
              return RequestId(settings_.instance.value() + "-" + run_id_ +
                               "-" + std::to_string(++next_request_));
            }};
  }

  AdminHooks MakeAdminHooks() {
    return {[this] { return IsServing(); }, [this] { return StatusJson(); },
            [this](const RequestId& id) { return Explain(id); },
            [this] { return metrics_.Exposition(); }, [this] { Drain(); }};
  }

  ConfigurationPtr configuration() const {
    const std::lock_guard lock(mutex_);
    return config_;
  }

  std::vector<Member> members() const {
    return membership_ ? membership_->members() : std::vector<Member>();
  }

  void SetConfiguration(const ConfigurationPtr& config) {
    dispatcher_.SetConfiguration(config);
    const std::lock_guard lock(mutex_);
    config_ = config;
  }

  std::string StatusJson() const {
    return NodeStatusJson(settings_, MakeStatus(), draining_, members());
  }

  Result<std::string> Explain(const RequestId& id) const {
    const RequestRecordPtr record = table_.Find(id);
    if (!record) {
      return Error(ErrorKind::kUnknownRequest, id.value());
    }
    return RequestReportJson(*record, dispatcher_.Explain(id).value_or(""));
  }

  const NodeSettings settings_;
  const std::string run_id_;
  const uint64_t seed_;
  const TimePoint started_ = MonotonicNow();
  const std::shared_ptr<HttpPlatform> platform_;
  MetricsRegistry metrics_;
  RequestTable table_;
  BackendClient backends_;
  Dispatcher dispatcher_;
  PeerClient peer_client_;
  QuarantineDriver quarantine_;
  RequestRunner runner_;
  RequestHandover handover_;
  ConfigDriver config_driver_;
  ClaimDriver claims_;
  InstanceWatcher instance_watcher_;
  DemandDriver demand_;
  // Upper bound of WaitDrained's `handover_delay`. Set by a reclaim notice.
  std::atomic<Duration> notice_handover_delay_ = Duration::max();
  std::atomic<uint64_t> next_request_ = 0;
  std::atomic<bool> draining_ = false;

  mutable std::mutex mutex_;
  // All below are guarded by mutex_.
  // Null until the first configuration.
  ConfigurationPtr config_;
  std::set<ServerId> leaving_servers_;

  // Set by Start, before the threads that use them are started.
  std::unique_ptr<MembershipDriver> membership_;
  std::unique_ptr<Ticker> ticker_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<CallerServer> callers_;
};

Result<std::unique_ptr<Node>> Node::Start(const NodeSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_OUTCOME_TRY(impl->Start());
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Node::~Node() = default;

void Node::Drain() {
  impl_->Drain();
}

bool Node::is_draining() const {
  return impl_->is_draining();
}

void Node::WaitDrained(Duration handover_delay, Duration timeout) {
  impl_->WaitDrained(handover_delay, timeout);
}

}  // namespace qh
