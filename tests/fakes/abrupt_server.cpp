#include "tests/fakes/abrupt_server.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace qh {
namespace {

constexpr auto kEndDelay = std::chrono::milliseconds(10);
constexpr int kReceiveBufferBytes = 4'096;

// Returns the value of Request-Id in a head.
std::string IdOf(const std::string& head) {
  constexpr std::string_view kName = "Request-Id: ";
  const size_t at = head.find(kName);
  if (at == std::string::npos) {
    return "none";
  }
  const size_t begin = at + kName.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string WithId(std::string text, const std::string& id) {
  constexpr std::string_view kPlaceholder = "%ID%";
  for (size_t at = text.find(kPlaceholder); at != std::string::npos;
       at = text.find(kPlaceholder)) {
    text.replace(at, kPlaceholder.size(), id);
  }
  return text;
}

}  // namespace

struct AbruptServer::Connection {
  explicit Connection(TcpSocket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}
  TcpSocket socket;
  boost::asio::steady_timer timer;
  std::string received;
  std::array<char, 1'024> in{};
};

AbruptServer::AbruptServer(boost::asio::io_context& io, Script script)
    : acceptor_(std::move(Listen(io, {"127.0.0.1", 0}).value())),
      script_(std::move(script)) {
  acceptor_.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  Accept();
}

Address AbruptServer::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void AbruptServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, TcpSocket socket) {
        if (!error) {
          ++connections_;
          Read(std::make_shared<Connection>(std::move(socket)));
          Accept();
        }
      });
}

void AbruptServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->in),
      [this, connection](const boost::system::error_code& error, size_t size) {
        if (error) {
          return;
        }
        connection->received.append(connection->in.data(), size);
        if (connection->received.find("\r\n\r\n") == std::string::npos) {
          Read(connection);
        } else {
          Reply(connection);
        }
      });
}

void AbruptServer::Reply(const std::shared_ptr<Connection>& connection) {
  const Answer answer = script_(requests_++);
  boost::system::error_code ignored;
  boost::asio::write(
      connection->socket,
      boost::asio::buffer(WithId(answer.bytes, IdOf(connection->received))),
      ignored);
  connection->received.clear();
  if (answer.end == End::kKeepOpen) {
    Read(connection);
    return;
  }
  if (answer.end == End::kExit) {
    acceptor_.close(ignored);
  }
  connection->timer.expires_after(kEndDelay);
  connection->timer.async_wait(
      [connection, end = answer.end](const boost::system::error_code&) {
        boost::system::error_code ignored;
        if (end != End::kReset) {
          connection->socket.shutdown(TcpSocket::shutdown_send, ignored);
          // Stays open for reading, and reads nothing.
          connection->timer.expires_after(std::chrono::seconds(1));
          connection->timer.async_wait(
              [connection](const boost::system::error_code&) {});
          return;
        }
        connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                      ignored);
        connection->socket.close(ignored);
      });
}

}  // namespace qh
