#include "qh_peer/peer_client.h"

#include <future>

#include "qh_peer/http2_connection.h"
#include "qh_peer/tcp_socket.h"

namespace qh {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;

Error Unreachable(const Address& peer, const std::string& reason) {
  return {ErrorKind::kPeerUnreachable, peer.ToString() + ": " + reason};
}

}  // namespace

// The connection to one peer and the calls that wait for a reply on it.
class PeerClient::Link {
 public:
  using Reply = std::promise<Http2Message>;
  using ReplyPtr = std::shared_ptr<Reply>;

  explicit Link(int socket)
      : connection_(
            socket,
            Http2Role::kClient,
            [this](Http2Message message) { OnReply(std::move(message)); },
            [this] { OnClosed(); }) {}

  bool is_closed() const { return connection_.is_closed(); }

  // Sends a request and returns its future reply, which has status zero when
  // the connection fails first.
  std::future<Http2Message> Send(const std::string& path,
                                 const std::string& authorization,
                                 const std::string& body) {
    auto reply = std::make_shared<Reply>();
    auto future = reply->get_future();
    const bool posted = connection_.Post([=, this](Http2Session& session) {
      const int32_t stream = session.SubmitRequest(path, authorization, body);
      if (stream < 0) {
        reply->set_value({});
      } else {
        waiting_[stream] = reply;
      }
    });
    if (!posted) {
      reply->set_value({});
    }
    return future;
  }

 private:
  void OnReply(Http2Message message) {
    auto node = waiting_.extract(message.stream);
    if (!node.empty()) {
      node.mapped()->set_value(std::move(message));
    }
  }

  void OnClosed() {
    for (auto& [stream, reply] : waiting_) {
      reply->set_value({});
    }
    waiting_.clear();
  }

  // Calls without a reply yet, by stream id. Used by the connection's thread
  // only.
  std::map<int32_t, ReplyPtr> waiting_;
  // Declared last, since its thread uses the members above.
  Http2Connection connection_;
};

PeerClient::PeerClient(std::string secret)
    : authorization_("Bearer " + std::move(secret)) {}

PeerClient::~PeerClient() = default;

Result<std::shared_ptr<PeerClient::Link>> PeerClient::FindOrConnect(
    const Address& peer,
    Duration timeout) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(peer);
    if (found != links_.end() && !found->second->is_closed()) {
      return found->second;
    }
  }
  BOOST_OUTCOME_TRY(socket, ConnectTcp(peer.host, peer.port,
                                       std::min(timeout, kConnectTimeout)));
  auto link = std::make_shared<Link>(socket);
  const std::lock_guard lock(mutex_);
  links_[peer] = link;
  return link;
}

Result<std::string> PeerClient::Call(const Address& peer,
                                     const PeerCall& message,
                                     Duration timeout) {
  BOOST_OUTCOME_TRY(link, FindOrConnect(peer, timeout));
  const std::string path = "/peer/" + std::string(ToName(message.kind));
  auto future = link->Send(path, authorization_, message.body);
  if (future.wait_for(timeout) != std::future_status::ready) {
    return Unreachable(peer, "no reply in time");
  }
  Http2Message reply = future.get();
  if (reply.status == 0) {
    return Unreachable(peer, "connection closed");
  }
  if (reply.status != kStatusOk) {
    return Error(ErrorKind::kPeerMalformed,
                 peer.ToString() + ": status " + std::to_string(reply.status));
  }
  return std::move(reply.body);
}

}  // namespace qh
