#include "qh_gateway/control/peer_state_fetcher.h"

#include <algorithm>
#include <charconv>

namespace qh {
namespace {

// Follows the path of a list: the version of the list that the caller has.
constexpr std::string_view kSince = "?since=";
constexpr int kOk = 200;

}  // namespace

std::string ListTarget(PeerState list, const StoreVersion& version) {
  return std::string(ToName(list)) + std::string(kSince) +
         std::to_string(version.epoch) + "." + std::to_string(version.revision);
}

std::optional<StoreVersion> ParseListTarget(PeerState list,
                                            std::string_view target) {
  const std::string_view path = ToName(list);
  if (target.substr(0, path.size()) != path) {
    return std::nullopt;
  }
  target.remove_prefix(path.size());
  StoreVersion version;
  if (target.substr(0, kSince.size()) != kSince) {
    return version;
  }
  target.remove_prefix(kSince.size());
  const char* end = target.data() + target.size();
  const auto epoch = std::from_chars(target.data(), end, version.epoch);
  if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '.') {
    return StoreVersion();
  }
  const auto revision = std::from_chars(epoch.ptr + 1, end, version.revision);
  return revision.ec == std::errc() && revision.ptr == end ? version
                                                           : StoreVersion();
}

PeerStateFetcher::PeerStateFetcher(boost::asio::io_context& io,
                                   EventLog& log,
                                   std::shared_ptr<ByteBudget> budget)
    : io_(io), log_(log), budget_(std::move(budget)) {}

PeerStateFetcher::~PeerStateFetcher() {
  for (const Call& call : calls_) {
    if (call.client != nullptr) {
      call.client->Stop();
    }
  }
}

bool PeerStateFetcher::WasUseless(const Address& peer, TimePoint now) const {
  const auto found = records_.find(peer.ToString());
  return found != records_.end() && found->second.useless_at &&
         now - *found->second.useless_at < kAvoidTime;
}

bool PeerStateFetcher::HasFailed(const Address& peer, TimePoint now) const {
  return WasUseless(peer, now) && records_.at(peer.ToString()).failures > 0;
}

const Address& PeerStateFetcher::Choose(const std::vector<Address>& peers,
                                        TimePoint now) const {
  const auto useless_at = [&](const Address& peer) {
    return WasUseless(peer, now) ? *records_.at(peer.ToString()).useless_at
                                 : TimePoint::min();
  };
  return *std::min_element(peers.begin(), peers.end(),
                           [&](const Address& a, const Address& b) {
                             return useless_at(a) < useless_at(b);
                           });
}

Duration PeerStateFetcher::TimeoutOf(const Address& peer) const {
  const auto found = records_.find(peer.ToString());
  const uint32_t failures =
      found == records_.end() ? 0 : found->second.failures;
  Duration timeout = kFirstTimeout;
  for (uint32_t failure = 0; failure < failures && timeout < kMaxTimeout;
       ++failure) {
    timeout *= 2;
  }
  return timeout;
}

void PeerStateFetcher::Fetch(PeerState state,
                             const std::vector<Address>& peers,
                             const std::string& target,
                             OnBody on_body) {
  Call& call = calls_.at(static_cast<size_t>(state));
  if (call.open) {
    return;
  }
  const Address& peer = Choose(peers, MonotonicNow());
  if (call.client == nullptr || call.peer != peer) {
    call.client = HttpClient::Create(io_, peer, budget_);
    call.peer = peer;
  }
  call.open = true;
  call.client->Send(
      {.target = target}, TimeoutOf(peer),
      [this, state, target, on_body = std::move(on_body)](
          const CallReply& reply) { OnReply(state, target, reply, on_body); });
}

void PeerStateFetcher::OnReply(PeerState state,
                               const std::string& target,
                               const CallReply& reply,
                               const OnBody& on_body) {
  Call& call = calls_.at(static_cast<size_t>(state));
  call.open = false;
  const bool answered =
      reply.outcome == HttpCallOutcome::kAnswered && reply.status == kOk;
  log_.Write(LogLine(ToName(GatewayEvent::kPeerChanged))
                 .With("peer", call.peer.ToString())
                 .With("fetched", target)
                 .With("outcome", answered),
             GatewayEvent::kPeerChanged);
  const bool was_useful = answered && on_body(reply.body);
  PeerRecord& record = records_[call.peer.ToString()];
  record.failures = answered ? 0 : record.failures + 1;
  if (!was_useful) {
    record.useless_at = MonotonicNow();
  }
}

}  // namespace qh
