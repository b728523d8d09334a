// A test fixture that runs the gateway's data path over loopback sockets:
// scripted backend servers, a GatewayState, and scripted callers. All run on
// one io_context, so that tests see every byte in order.

#ifndef TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform_codec.h"
#include "qh_gateway/forwarding/caller_connection.h"
#include "qh_gateway/forwarding/gateway_state.h"

namespace qh {

// How a scripted server reacts to one request.
struct ScriptedReply {
  // Sent at once; %ID% is replaced by the request's id.
  std::string bytes;
  // What follows `bytes`.
  enum class Then {
    // Waits for the next request.
    kKeepOpen,
    // Closes the sending side.
    kHalfClose,
    // Resets the connection after 30 ms.
    kReset,
    // Sends nothing more and leaves the connection open.
    kStall,
    // The server's process ends: it stops listening, and all its connections
    // are closed in order.
    kExit,
    // Sends bytes without end until the peer closes: `flood`, or if that is
    // empty letters, as chunks if `bytes` says so.
    kFlood
  } then = Then::kKeepOpen;
  std::string flood;
  // Sent after 30 ms, if not empty.
  std::string later;
};

// A backend server on a free port that answers by a script.
class ScriptedServer {
 public:
  // Returns the reply to a request; `request` counts the server's requests from
  // 0.
  using Script = std::function<ScriptedReply(size_t request, const HttpHead&)>;

  ScriptedServer(boost::asio::io_context& io, Script script);

  Address address() const;
  // Heads of the complete requests received, in order.
  const std::vector<HttpHead>& requests() const { return requests_; }
  // Connections accepted so far.
  size_t connections() const { return connections_; }
  // Connections that the peer closed.
  size_t closed() const { return closed_; }
  // Connections that are being flooded (kFlood), and the bytes sent there.
  size_t flooding() const { return flooding_; }
  size_t flooded_bytes() const { return flooded_bytes_; }
  // Body of the request that was received last.
  const std::string& last_body() const { return last_body_; }
  // Closes the sending side of every connection that is stalled (kStall).
  void EndStalled();
  // Sends `bytes` on every connection that is stalled (kStall).
  void SendStalled(const std::string& bytes);
  // While `silent`, every TCP segment sent to the server is dropped, so that it
  // neither accepts connections nor receives or acknowledges anything. What it
  // sends itself still arrives.
  void SetSilent(bool silent);
  // Stops listening and resets all connections.
  void Crash();
  // Closes all connections in order, and stops listening `later`.
  void Exit(Duration later = Duration::zero());

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void Reply(const std::shared_ptr<Connection>& connection);
  void Flood(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  TcpAcceptor acceptor_;
  boost::asio::steady_timer exit_timer_;
  Script script_;
  std::vector<HttpHead> requests_;
  std::vector<std::weak_ptr<Connection>> open_;
  size_t connections_ = 0;
  size_t closed_ = 0;
  size_t flooding_ = 0;
  size_t flooded_bytes_ = 0;
  std::string last_body_;
};

// A caller with one connection to the gateway.
class ScriptedCaller {
 public:
  ScriptedCaller(boost::asio::io_context& io, const Address& gateway);

  void Send(const std::string& bytes);
  // Sends more than the peer's buffers may take, while the io_context runs.
  void SendInBackground(std::string bytes);
  // Closes the connection.
  void Disconnect();
  // All bytes received so far.
  const std::string& received() const { return received_; }
  // Whether the connection has ended.
  bool closed() const { return closed_; }
  // Whether it was reset.
  bool was_reset() const { return was_reset_; }

 private:
  void Read();

  TcpSocket socket_;
  std::string received_;
  std::array<char, 4'096> in_{};
  bool closed_ = false;
  bool was_reset_ = false;
};

class GatewayFixture {
 public:
  // Settings of a node without store and cloud.
  static GatewaySettings DefaultSettings();

  explicit GatewayFixture(const GatewaySettings& settings = DefaultSettings());

  // Starts a server of `service` and registers it under `id`.
  ScriptedServer& AddServer(const std::string& id,
                            const std::string& service,
                            ScriptedServer::Script script);
  // Registers a server that listens at `address`.
  void Register(const std::string& id,
                const std::string& service,
                const Address& address);
  ScriptedCaller& AddCaller();
  // Sends a request on a new connection and returns its caller. `id` is the
  // request's id; `more` holds further header lines and the body.
  ScriptedCaller& SendRequest(const std::string& method,
                              const std::string& path,
                              const std::string& id = "r1",
                              const std::string& more = "");

  // Runs the io_context until `done` returns true, for at most two seconds.
  // Returns the last result of `done`.
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

// Returns an answer with the field "Server-Stamp: stamp", which only servers
// set.
std::string StampedAnswer(int status, const std::string& body);
// Returns the head of an event stream's answer.
std::string StreamHead();
// Returns the events with the ids `first` to `last` as one chunk.
std::string Events(int first, int last);

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_GATEWAY_FIXTURE_H_
