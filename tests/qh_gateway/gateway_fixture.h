// The data path on loopback: scripted backend servers, a gateway's state and
// callers, all on one io_context, so that a test sees every byte in order.

#ifndef TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_

#include <utility>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_codec.h"
#include "qh_gateway/forwarding/caller_connection.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// What a scripted server does about one request.
struct ScriptedReply {
  // Bytes to send; %ID% stands for the request's id.
  std::string bytes;
  enum class Then {
    kKeepOpen,
    kHalfClose,
    kReset,
    kStall
  } then = Then::kKeepOpen;
  // Sent a little later, whatever `then` says.
  std::string later;
};

class ScriptedServer {
 public:
  using Script = std::function<ScriptedReply(size_t request, const HttpHead&)>;

  ScriptedServer(boost::asio::io_context& io, Script script);

  Address address() const;
  // Heads of the requests that came whole, in order.
  const std::vector<HttpHead>& requests() const { return requests_; }
  size_t connections() const { return connections_; }
  // Connections that the other side has ended.
  size_t closed() const { return closed_; }
  // Ends every connection that a stalled move left open.
  void EndStalled();
  // Nobody listens any more; open connections are reset.
  void Crash();

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Act(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  TcpAcceptor acceptor_;
  Script script_;
  std::vector<HttpHead> requests_;
  std::vector<std::weak_ptr<Connection>> open_;
  size_t connections_ = 0;
  size_t closed_ = 0;
};

// A caller's connection.
class ScriptedCaller {
 public:
  ScriptedCaller(boost::asio::io_context& io, const Address& gateway);

  void Send(const std::string& bytes);
  void Disconnect();
  // All that came so far.
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }

 private:
  void Read();

  TcpSocket socket_;
  std::string received_;
  std::array<char, 4'096> in_{};
  bool closed_ = false;
};

class GatewayFixture {
 public:
  GatewayFixture();

  // Starts a server of `service` called `id`.
  ScriptedServer& AddServer(const std::string& id,
                            const std::string& service,
                            ScriptedServer::Script script);
  ScriptedCaller& AddCaller();
  // Sends one request on a connection of its own; returns the caller.
  ScriptedCaller& SendRequest(const std::string& method,
                              const std::string& path,
                              const std::string& id = "r1",
                              const std::string& more = "");

  // Runs until `done`, two seconds at most; returns whether it was.
  bool RunUntil(const std::function<bool()>& done);
  void RunFor(Duration duration);

  boost::asio::io_context io;
  WireCodec codec = platform::MakeCodec();
  GatewayState state;

 private:
  void Accept();

  TcpAcceptor acceptor_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::vector<std::unique_ptr<ScriptedCaller>> callers_;
};

// Returns the text of an answer with a stamp and this body.
std::string StampedAnswer(int status, const std::string& body);
// Returns the head of a stream's answer.
std::string StreamHead();
// Returns events from `first` to `last` as one chunk.
std::string Events(int first, int last);

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_
