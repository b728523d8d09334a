// Fetches state that peers have newer: the configuration, the list of servers
// and that of nodes. One call of each kind is open at a time. A peer that does
// not answer, or has nothing newer after all, is asked last for a while, so
// that it can't keep the node from asking the others.

#ifndef QH_GATEWAY_CONTROL_PEER_STATE_FETCHER_H_
#define QH_GATEWAY_CONTROL_PEER_STATE_FETCHER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "qh_core/address/address.h"
#include "qh_core/text/enum_table.h"
#include "qh_core/time/time.h"
#include "qh_gateway/control/event_log.h"
#include "qh_gateway/model/stored_object.h"
#include "qh_net/http_client.h"

namespace qh {

// The kinds of state that can be fetched from a peer.
enum class PeerState { kConfig, kServers, kNodes };

// The names are the paths of the calls.
template <>
inline constexpr EnumName<PeerState> kEnumNames<PeerState>[] = {
    {PeerState::kConfig, "/config"},
    {PeerState::kServers, "/servers"},
    {PeerState::kNodes, "/nodes"},
};

// Returns the target of a call for the changes of a list since `version`, or
// for the configuration if it is newer than the revision there.
std::string ListTarget(PeerState list, const StoreVersion& version);

// Returns the version in the target of a call for `list`; version zero, which
// asks for all objects, if it has none. Returns nullopt for another path.
std::optional<StoreVersion> ParseListTarget(PeerState list,
                                            std::string_view target);

class PeerStateFetcher {
 public:
  // Timeout of the first call to a peer; it doubles with each one to that peer
  // that fails in a row, up to the longest one.
  static constexpr Duration kFirstTimeout = std::chrono::milliseconds(400);
  static constexpr Duration kMaxTimeout = std::chrono::milliseconds(1'600);
  // How long a peer is asked last after it was of no use.
  static constexpr Duration kAvoidTime = std::chrono::seconds(5);

  // Takes the body of an answer; returns whether it was newer than what the
  // node has. If not, the peer counts as of no use.
  using OnBody = std::function<bool(const std::string& body)>;

  // `log` has to outlive the fetcher. Answers are counted in `budget`, see
  // HttpClient::Create.
  PeerStateFetcher(boost::asio::io_context& io,
                   EventLog& log,
                   std::shared_ptr<ByteBudget> budget = nullptr);
  ~PeerStateFetcher();
  PeerStateFetcher(const PeerStateFetcher&) = delete;
  PeerStateFetcher& operator=(const PeerStateFetcher&) = delete;

  // Calls one of `peers`, which must not be empty, for `target`. Does nothing
  // while a call for this state is open.
  void Fetch(PeerState state,
             const std::vector<Address>& peers,
             const std::string& target,
             OnBody on_body);
  // Whether a call for this state is open.
  bool IsFetching(PeerState state) const {
    return calls_.at(static_cast<size_t>(state)).open;
  }
  // Whether the last call to the peer failed, and that was lately.
  bool HasFailed(const Address& peer, TimePoint now) const;

 private:
  struct Call {
    std::shared_ptr<HttpClient> client;
    Address peer;
    bool open = false;
  };
  struct PeerRecord {
    std::optional<TimePoint> useless_at;
    // Calls that failed in a row.
    uint32_t failures = 0;
  };

  // Whether the peer was of no use lately.
  bool WasUseless(const Address& peer, TimePoint now) const;
  // Returns the peer to ask: one of those that were not of no use lately, or
  // the one for which that is longest ago.
  const Address& Choose(const std::vector<Address>& peers, TimePoint now) const;
  // Returns the timeout of the next call to `peer`.
  Duration TimeoutOf(const Address& peer) const;
  void OnReply(PeerState state,
               const std::string& target,
               const CallReply& reply,
               const OnBody& on_body);

  boost::asio::io_context& io_;
  EventLog& log_;
  std::shared_ptr<ByteBudget> budget_;
  // By PeerState.
  std::array<Call, std::size(kEnumNames<PeerState>)> calls_;
  // By address.
  std::map<std::string, PeerRecord> records_;
};

}  // namespace qh

#endif  // QH_GATEWAY_CONTROL_PEER_STATE_FETCHER_H_
