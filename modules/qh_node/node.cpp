#include "qh_node/node.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "qh_core/hash/hash.h"
#include "qh_core/log/log_line.h"
#include "qh_http_platform/http_platform.h"
#include "qh_node/callers/caller_server.h"
#include "qh_node/control/admin_server.h"
#include "qh_node/control/claim_driver.h"
#include "qh_node/control/config_driver.h"
#include "qh_node/control/demand_driver.h"
#include "qh_node/control/instance_watch.h"
#include "qh_node/control/membership_driver.h"
#include "qh_node/handover/request_mover.h"
#include "qh_peer/peer_server.h"

namespace qh {
namespace {

using nlohmann::json;

constexpr size_t kMaxEndedRequests = 4'096;
constexpr Duration kRoutingTick = std::chrono::milliseconds(50);
// After its start a node's shares of the team limits are zero, its quarantine
// may have missed suspicions and its arbiter grants nothing; it is not ready
// before.
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr auto kDrainPoll = std::chrono::milliseconds(20);
// Share of a reclaim notice in which short requests may still end here.
constexpr double kFinishShareOfNotice = 0.15;
constexpr Duration kMaxFinishTime = std::chrono::seconds(10);

Member SelfOf(const NodeSettings& settings) {
  Member self;
  self.id = settings.instance;
  self.failure_domain = settings.failure_domain;
  self.callers = settings.callers;
  self.peers = settings.peers;
  self.admin = settings.admin;
  return self;
}

// Distinguishes this run of an instance from earlier ones.
std::string RunId(const NodeSettings& settings) {
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  return HashHex128(settings.instance.value() + std::to_string(started.count()))
      .substr(0, 8);
}

StoredAnswer StoredAnswerFrom(const WholeAnswer& answer) {
  return {static_cast<uint32_t>(answer.status), answer.content_type,
          answer.body};
}

ClaimReply ReplyOf(const ClaimAnswer& answer) {
  switch (answer.decision) {
    case ClaimDecision::kWon:
      return {ClaimVerdict::kWon, {}, {}};
    case ClaimDecision::kReplayed:
      return {ClaimVerdict::kReplayed,
              {static_cast<int>(answer.answer.status),
               answer.answer.content_type, answer.answer.body},
              {}};
    case ClaimDecision::kRefused:
      break;
  }
  return {ClaimVerdict::kRefused, {}, Error(answer.error, "idempotency claim")};
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(const NodeSettings& settings)
      : settings_(settings),
        run_(RunId(settings)),
        seed_(Hash64(run_)),
        platform_(HttpPlatform::Create(settings.platform.host,
                                       settings.platform.port)),
        table_(kMaxEndedRequests),
        dispatcher_(settings.instance, seed_, metrics_),
        peer_client_(settings.peer_secret),
        quarantine_(settings.instance, peer_client_, MembersCalls()),
        runner_({dispatcher_, quarantine_, backends_, MakeRunnerHooks()}),
        mover_(peer_client_, table_, MakeMoverHooks()),
        config_driver_(settings.instance,
                       settings.failure_domain,
                       seed_,
                       peer_client_,
                       {StoreCalls(), MembersCalls(),
                        [this](const ConfigurationPtr& config) {
                          SetConfiguration(config);
                        }}),
        claims_(settings.instance, seed_, peer_client_, MakeClaimHooks()),
        instances_(settings.instance, peer_client_, MakeInstanceHooks()),
        demand_(settings.instance, peer_client_, MembersCalls(), dispatcher_) {}

  ~Impl() {
    // Callers first, the peer link last: what is open still needs the rest.
    callers_.reset();
    mover_.Shutdown();
    ticker_.reset();
    demand_.Stop();
    instances_.Stop();
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
                                      SelfOf(settings_), seed_, peer_client_,
                                      MakeMembershipHooks()));
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
    instances_.Start();
    demand_.Start();
    ticker_ = std::make_unique<Ticker>(kRoutingTick, [this] {
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
      membership_->Tell({.kind = MembershipEventKind::kReclaimNotice});
    }
  }

  bool is_draining() const { return draining_; }

  void WaitDrained(Duration move_after, Duration limit) {
    const TimePoint start = MonotonicNow();
    while (table_.open_count() > 0 && MonotonicNow() < start + limit) {
      const Duration wait = std::min<Duration>(move_after, move_after_);
      if (MonotonicNow() >= start + wait) {
        MoveOpenRequests();
      }
      std::this_thread::sleep_for(kDrainPoll);
    }
    callers_->Stop();
    LogLine("drain_ended").With("open", table_.open_count()).Info();
  }

 private:
  ClaimDriverHooks MakeClaimHooks() {
    ClaimDriverHooks hooks;
    hooks.store = StoreCalls();
    hooks.members = MembersCalls();
    return hooks;
  }

  MembersHook MembersCalls() {
    return [this] { return members(); };
  }

  StoreHook StoreCalls() {
    return [this](const StoreRequest& request) {
      return platform_->Call(request);
    };
  }

  // --------------------------------------------------------------------------
  // Hand-over

  // Moves all open requests at the same time; each call may take as long as a
  // peer that doesn't answer.
  void MoveOpenRequests() {
    std::vector<std::thread> moves;
    for (const RequestRecordPtr& record : table_.Open()) {
      if (record->state() == RecordState::kRunning) {
        moves.emplace_back([this, record] {
          const auto moved = mover_.Move(*record);
          if (!moved) {
            LogLine("handover_failed").With(moved.error()).Warning();
          }
        });
      }
    }
    for (std::thread& move : moves) {
      move.join();
    }
  }

  MoverHooks MakeMoverHooks() {
    return {[this](const RequestRecord& record) { return PeersFor(record); },
            [this] { return IsServing(); },
            [this](RequestRecord& record) { runner_.Run(record); }};
  }

  // Live peers, those in other failure domains first, so that a domain's
  // reclaim does not take the request with it.
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
  void OnOwnNotice(double notice_s) {
    if (!draining_) {
      LogLine("reclaim_notice").With("notice_s", notice_s).Warning();
      move_after_ = std::min(FromSeconds(notice_s * kFinishShareOfNotice),
                             kMaxFinishTime);
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
        OnOwnNotice(std::strtod(call.body.c_str(), nullptr));
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
        BOOST_OUTCOME_TRY(mover_.Adopt(call.body));
        return std::string();
      }
      case PeerCallKind::kHandoverResult: {
        BOOST_OUTCOME_TRY(mover_.TakeResult(call.body));
        return std::string();
      }
    }
    return Error(ErrorKind::kPeerMalformed, "kind is not served");
  }

  MembershipDriverHooks MakeMembershipHooks() {
    return {[this] { return Status(); },
            [this](const std::set<ServerId>& leaving) {
              SetLeavingServers(leaving);
            },
            [this](const InstanceId& peer, uint64_t version) {
              config_driver_.OnVersionHeard(peer, version);
            }};
  }

  LocalStatus Status() const {
    const ConfigurationPtr config = configuration();
    LocalStatus status;
    status.config_version = config ? config->version : 0;
    status.open_requests = static_cast<uint32_t>(table_.open_count());
    status.ready = IsServing();
    return status;
  }

  InstanceWatchHooks MakeInstanceHooks() {
    return {[this] { return platform_->Instances(); },
            [this] { return config_driver_.is_watcher(); },
            [this] { return membership_->has_joined(); },
            [this](const MembershipEvent& event) { membership_->Tell(event); },
            [this](double notice_s) { OnOwnNotice(notice_s); }};
  }

  // --------------------------------------------------------------------------
  // Serving

  RunnerHooks MakeRunnerHooks() {
    return {
        [this] { return configuration(); },
        [this](const RequestSpec& spec) {
          return ReplyOf(claims_.Claim(spec));
        },
        [this](const RequestSpec& spec, OutcomeKind kind,
               const WholeAnswer& answer) {
          claims_.Report(spec, kind, StoredAnswerFrom(answer));
        },
        [this](const RequestRecord& record, const Result<WholeAnswer>& result) {
          mover_.ReportResult(record, result);
        },
        [this](const ServerId& server) { return IsLeaving(server); }};
  }

  void SetLeavingServers(const std::set<ServerId>& leaving) {
    dispatcher_.SetLeaving(leaving);
    const std::lock_guard lock(mutex_);
    leaving_servers_ = leaving;
  }

  bool IsLeaving(const ServerId& server) const {
    const std::lock_guard lock(mutex_);
    return leaving_servers_.contains(server);
  }

  // Whether new requests are taken.
  Result<void> Accepting() const {
    if (draining_) {
      return Error(ErrorKind::kDraining, "");
    }
    if (MonotonicNow() < started_ + kSettleTime || !configuration() ||
        !config_driver_.is_ready() || !membership_->has_joined()) {
      return Error(ErrorKind::kNotReady, "still learning what is in force");
    }
    return Ok();
  }

  bool IsServing() const { return Accepting().has_value(); }

  CallerHooks MakeCallerHooks() {
    return {[this] { return configuration(); }, MembersCalls(),
            [this] { return Accepting(); },
            [this] {
              return RequestId(settings_.instance.value() + "-" + run_ + "-" +
                               std::to_string(++next_request_));
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
    const LocalStatus status = Status();
    json members_json = json::array();
    for (const Member& member : members()) {
      members_json.push_back({{"instance", member.id.value()},
                              {"failure_domain", member.failure_domain.value()},
                              {"state", ToName(member.state)},
                              {"ready", member.ready},
                              {"config_version", member.config_version},
                              {"open_requests", member.open_requests}});
    }
    return json{{"instance", settings_.instance.value()},
                {"failure_domain", settings_.failure_domain.value()},
                {"draining", draining_.load()},
                {"ready", status.ready},
                {"config_version", status.config_version},
                {"open_requests", status.open_requests},
                {"members", members_json}}
        .dump();
  }

  Result<std::string> Explain(const RequestId& id) const {
    const RequestRecordPtr record = table_.Find(id);
    if (!record) {
      return Error(ErrorKind::kUnknownRequest, id.value());
    }
    return json{{"request", id.value()},
                {"state", ToName(record->state())},
                {"tokens", record->tokens().size()},
                {"decision", dispatcher_.Explain(id).value_or("")}}
        .dump();
  }

  const NodeSettings settings_;
  const std::string run_;
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
  RequestMover mover_;
  ConfigDriver config_driver_;
  ClaimDriver claims_;
  InstanceWatch instances_;
  DemandDriver demand_;
  // When open requests move to peers, from the begin of the drain.
  std::atomic<Duration> move_after_ = Duration::max();
  std::atomic<uint64_t> next_request_ = 0;
  std::atomic<bool> draining_ = false;

  mutable std::mutex mutex_;
  // Guarded by mutex_. Null until the first configuration.
  ConfigurationPtr config_;
  std::set<ServerId> leaving_servers_;

  // Set by Start, before any thread that uses it.
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

void Node::WaitDrained(Duration move_after, Duration limit) {
  impl_->WaitDrained(move_after, limit);
}

}  // namespace qh
