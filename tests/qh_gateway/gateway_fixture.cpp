#include "tests/qh_gateway/gateway_fixture.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <system_error>

#include "qh_gateway/forwarding/answer_serialization.h"
#include "tests/fakes/endless_framing.h"

namespace qh {
namespace {

// Delay of ScriptedReply::later and of a reset.
constexpr auto kReplyDelay = std::chrono::milliseconds(30);
// Size of one write of a flood.
constexpr size_t kFloodBytes = size_t{64} << 10U;
constexpr auto kMaxRunTime = std::chrono::seconds(2);

constexpr const char* kConfig = R"({"version":3,"routes":[
  {"name":"safe","host":"h","pathPrefix":"/safe/","routeKind":"safe",
   "service":"plain","timeoutMs":600,"targetLatencyMs":100,"maxAttempts":2,
   "anonymous":true},
  {"name":"unsafe","host":"h","pathPrefix":"/unsafe/","routeKind":"unsafe",
   "service":"plain","timeoutMs":600,"targetLatencyMs":100,"anonymous":true},
  {"name":"stream","host":"h","pathPrefix":"/stream/","routeKind":"stream",
   "service":"chat","timeoutMs":900,"targetLatencyMs":100,"anonymous":true,
   "gapTargetMs":100},
  {"name":"resume","host":"h","pathPrefix":"/resume/","routeKind":"stream",
   "service":"chat","timeoutMs":900,"targetLatencyMs":100,"maxAttempts":2,
   "resumable":true,"anonymous":true,"gapTargetMs":100},
  {"name":"keyed","host":"h","pathPrefix":"/keyed/","routeKind":"safe",
   "service":"plain","timeoutMs":600,"targetLatencyMs":100}],
  "services":[{"name":"plain"},{"name":"chat","engine":{"slots":4,"moves":true}}],
  "tenants":[{"name":"team","apiKeys":["key"],"unit":"token_count",
   "plainTokens":10,"ratePerS":10,"burst":40}]})";

// Replaces %ID% in `text` by the id of the request `head`.
std::string WithId(std::string text, const HttpHead& head) {
  constexpr std::string_view kPlaceholder = "%ID%";
  const std::string* id = head.Find("Request-Id");
  for (size_t at = text.find(kPlaceholder); at != std::string::npos;
       at = text.find(kPlaceholder)) {
    text.replace(at, kPlaceholder.size(), id == nullptr ? "none" : *id);
  }
  return text;
}

// Returns what a server that is to flood sends in one write.
std::string FloodOf(const ScriptedReply& reply) {
  if (reply.flood.empty()) {
    const std::string plain(kFloodBytes, 'x');
    const bool chunked = reply.bytes.find("chunked") != std::string::npos;
    return chunked ? EncodeChunk(plain, 1) : plain;
  }
  return Repeated(reply.flood, kFloodBytes);
}

// Attaches a packet filter that drops every segment received by the socket, or
// detaches it. Sockets accepted later inherit the filter of their listener.
void SetDropping(int socket, bool dropping) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &drop};
  const int option = dropping ? SO_ATTACH_FILTER : SO_DETACH_FILTER;
  if (setsockopt(socket, SOL_SOCKET, option, &program, sizeof(program)) != 0) {
    throw std::system_error(errno, std::generic_category(), "packet filter");
  }
}

}  // namespace

struct ScriptedServer::Connection {
  explicit Connection(TcpSocket accepted)
      : socket(std::move(accepted)), delay_timer(socket.get_executor()) {}
  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }
  void Reset() {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  TcpSocket socket;
  boost::asio::steady_timer delay_timer;
  // As large as any test's limit on callers' heads, and what a node adds.
  HttpParser parser{MessageKind::kRequest,
                    {.header_bytes = 128U << 10U, .body_bytes = 8U << 20U}};
  bool stalled = false;
  // What a flood sends in one write.
  std::string flood;
  std::array<char, 4'096> in{};
};

ScriptedServer::ScriptedServer(boost::asio::io_context& io, Script script)
    : io_(io),
      acceptor_(std::move(Listen(io, {"127.0.0.1", 0}).value())),
      exit_timer_(io),
      script_(std::move(script)) {
  Accept();
}

Address ScriptedServer::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void ScriptedServer::Crash() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : open_) {
    if (const auto connection = weak.lock()) {
      connection->Reset();
    }
  }
}

void ScriptedServer::Exit(Duration later) {
  boost::system::error_code ignored;
  if (later > Duration::zero()) {
    exit_timer_.expires_after(later);
    exit_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        acceptor_.close();
      }
    });
  } else {
    acceptor_.close(ignored);
  }
  for (const auto& weak : open_) {
    if (const auto connection = weak.lock()) {
      connection->socket.shutdown(TcpSocket::shutdown_send, ignored);
    }
  }
}

void ScriptedServer::EndStalled() {
  boost::system::error_code ignored;
  for (const auto& weak : open_) {
    const auto connection = weak.lock();
    if (connection != nullptr && connection->stalled) {
      connection->socket.shutdown(TcpSocket::shutdown_send, ignored);
    }
  }
}

void ScriptedServer::SendStalled(const std::string& bytes) {
  for (const auto& weak : open_) {
    const auto connection = weak.lock();
    if (connection != nullptr && connection->stalled) {
      connection->Write(bytes);
    }
  }
}

void ScriptedServer::SetSilent(bool silent) {
  SetDropping(acceptor_.native_handle(), silent);
  for (const auto& weak : open_) {
    const auto connection = weak.lock();
    if (connection != nullptr && connection->socket.is_open()) {
      SetDropping(connection->socket.native_handle(), silent);
    }
  }
}

void ScriptedServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, TcpSocket socket) {
        if (error) {
          return;
        }
        ++connections_;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        open_.push_back(connection);
        Read(connection);
        Accept();
      });
}

void ScriptedServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->in),
      [this, connection](const boost::system::error_code& error, size_t size) {
        if (error) {
          ++closed_;
          return;
        }
        if (!connection->parser.Feed({connection->in.data(), size})) {
          connection->Reset();
          return;
        }
        if (connection->parser.done()) {
          Reply(connection);
        }
        if (connection->socket.is_open()) {
          Read(connection);
        }
      });
}

void ScriptedServer::Reply(const std::shared_ptr<Connection>& connection) {
  const HttpHead head = connection->parser.head();
  last_body_ = connection->parser.TakeBody();
  requests_.push_back(head);
  const ScriptedReply reply = script_(requests_.size() - 1, head);
  connection->Write(WithId(reply.bytes, head));
  if (!reply.later.empty()) {
    connection->delay_timer.expires_after(kReplyDelay);
    connection->delay_timer.async_wait(
        [connection, text = WithId(reply.later, head)](
            const boost::system::error_code&) { connection->Write(text); });
  }
  boost::system::error_code ignored;
  switch (reply.then) {
    case ScriptedReply::Then::kKeepOpen:
      if (!connection->parser.Next()) {
        connection->Reset();
      }
      break;
    case ScriptedReply::Then::kHalfClose:
      connection->socket.shutdown(TcpSocket::shutdown_send, ignored);
      break;
    case ScriptedReply::Then::kReset:
      // Delayed, because a reset discards written bytes that the peer has not
      // read.
      connection->delay_timer.expires_after(kReplyDelay);
      connection->delay_timer.async_wait(
          [connection](const boost::system::error_code&) {
            connection->Reset();
          });
      break;
    case ScriptedReply::Then::kStall:
      connection->stalled = true;
      break;
    case ScriptedReply::Then::kExit:
      Exit();
      break;
    case ScriptedReply::Then::kFlood:
      ++flooding_;
      connection->flood = FloodOf(reply);
      Flood(connection);
      break;
  }
}

void ScriptedServer::Flood(const std::shared_ptr<Connection>& connection) {
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(connection->flood),
      [this, connection](const boost::system::error_code& error, size_t size) {
        flooded_bytes_ += size;
        if (error) {
          --flooding_;
          return;
        }
        Flood(connection);
      });
}

ScriptedCaller::ScriptedCaller(boost::asio::io_context& io,
                               const Address& gateway)
    : socket_(io) {
  socket_.connect(ToEndpoint(gateway).value());
  Read();
}

void ScriptedCaller::Send(const std::string& bytes) {
  boost::asio::write(socket_, boost::asio::buffer(bytes));
}

void ScriptedCaller::SendInBackground(std::string bytes) {
  const auto held = std::make_shared<std::string>(std::move(bytes));
  boost::asio::async_write(
      socket_, boost::asio::buffer(*held),
      [held](const boost::system::error_code& /*error*/, size_t /*size*/) {});
}

void ScriptedCaller::Disconnect() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void ScriptedCaller::Read() {
  socket_.async_read_some(
      boost::asio::buffer(in_),
      [this](const boost::system::error_code& error, size_t size) {
        if (error) {
          closed_ = true;
          was_reset_ = error == boost::asio::error::connection_reset;
          return;
        }
        received_.append(in_.data(), size);
        Read();
      });
}

GatewaySettings GatewayFixture::DefaultSettings() {
  GatewaySettings settings;
  settings.node = InstanceId("n1");
  settings.failure_domain = FailureDomainId("z");
  return settings;
}

GatewayFixture::GatewayFixture(const GatewaySettings& settings)
    : state(io, codec, settings, MonotonicNow(), 1),
      acceptor_(std::move(Listen(io, {"127.0.0.1", 0}).value())) {
  state.ApplyConfig(codec.read_config(kConfig).value(), MonotonicNow());
  Accept();
}

void GatewayFixture::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, TcpSocket socket) {
        if (!error) {
          CallerConnection::Serve(state, std::move(socket));
          Accept();
        }
      });
}

ScriptedServer& GatewayFixture::AddServer(const std::string& id,
                                          const std::string& service,
                                          ScriptedServer::Script script) {
  servers_.push_back(std::make_unique<ScriptedServer>(io, std::move(script)));
  Register(id, service, servers_.back()->address());
  return *servers_.back();
}

void GatewayFixture::Register(const std::string& id,
                              const std::string& service,
                              const Address& address) {
  ServerRecord record;
  record.id = ServerId(id);
  record.service = service;
  record.address = address;
  record.slots = 4;
  state.directory.OnServer(record, MonotonicNow());
}

ScriptedCaller& GatewayFixture::AddCaller() {
  callers_.push_back(std::make_unique<ScriptedCaller>(
      io, Address{"127.0.0.1", acceptor_.local_endpoint().port()}));
  return *callers_.back();
}

ScriptedCaller& GatewayFixture::SendRequest(const std::string& method,
                                            const std::string& path,
                                            const std::string& id,
                                            const std::string& more) {
  ScriptedCaller& caller = AddCaller();
  caller.Send(method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " +
              id + "\r\n" + more + "\r\n");
  return caller;
}

bool GatewayFixture::RunUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kMaxRunTime;
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(5));
  }
  return done();
}

void GatewayFixture::RunFor(Duration duration) {
  io.restart();
  io.run_for(duration);
}

std::string StampedAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Said\r\nRequest-Id: %ID%\r\nServer-Stamp: "
         "stamp\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: stamp\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return EncodeChunk(text, 1);
}

}  // namespace qh
