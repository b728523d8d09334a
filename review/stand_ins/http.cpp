#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr int kIdleTimeoutMs = 60'000;
constexpr int kPollMs = 100;
constexpr int kFirstPort = 18'000;
constexpr int kPorts = 14'000;
// More ports than one case takes.
constexpr int kNodePorts = 40;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in Loopback(const std::string& host, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  bool first = true;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (std::exchange(first, false)) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  return message;
}

std::string Word(const std::string& line, int index) {
  std::istringstream words(line);
  std::string word;
  for (int i = 0; i <= index; ++i) {
    word.clear();
    words >> word;
  }
  return word;
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string Message::Method() const {
  return Word(start_line, 0);
}

std::string Message::Target() const {
  return Word(start_line, 1);
}

int Message::Status() const {
  return static_cast<int>(
      std::strtol(Word(start_line, 1).c_str(), nullptr, 10));
}

bool Connection::Fill(int timeout_ms) {
  pollfd in{.fd = socket_, .events = POLLIN, .revents = 0};
  if (poll(&in, 1, timeout_ms) <= 0) {
    return false;
  }
  std::array<char, 16'384> bytes{};
  const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  input_.append(bytes.data(), static_cast<size_t>(size));
  return true;
}

std::optional<Message> Connection::Read(int timeout_ms) {
  size_t end = input_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(timeout_ms)) {
      return std::nullopt;
    }
    end = input_.find("\r\n\r\n");
  }
  Message message = ParseHead(input_.substr(0, end));
  input_.erase(0, end + 4);
  const size_t length =
      std::strtoull(message.Field("content-length").c_str(), nullptr, 10);
  while (input_.size() < length) {
    if (!Fill(timeout_ms)) {
      return std::nullopt;
    }
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  return message;
}

std::string Connection::ReadToEnd(int timeout_ms) {
  while (Fill(timeout_ms)) {
  }
  return std::exchange(input_, {});
}

bool Connection::Write(const std::string& bytes) const {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t size = send(socket_, bytes.data() + written,
                              bytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<size_t>(size);
  }
  return true;
}

void Connection::Reset() const {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

std::string Answer(int status,
                   const std::map<std::string, std::string>& fields,
                   const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Server::Server(Serve serve) : serve_(std::move(serve)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback("127.0.0.1", 0);
  socklen_t size = sizeof(address);
  const bool listens =
      bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(listener_, kBacklog) == 0 &&
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listens) {
    std::abort();
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopped_ = true;
  acceptor_.join();
  while (handlers_ > 0) {
    ResetAll();
    SleepMs(1);
  }
  close(listener_);
}

std::string Server::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void Server::ResetAll() {
  const std::lock_guard lock(mutex_);
  for (const int socket : open_) {
    Connection(socket).Reset();
    shutdown(socket, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!stopped_) {
    pollfd in{.fd = listener_, .events = POLLIN, .revents = 0};
    if (poll(&in, 1, kPollMs) <= 0) {
      continue;
    }
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      open_.insert(socket);
    }
    ++handlers_;
    std::thread([this, socket] { Handle(socket); }).detach();
  }
}

void Server::Handle(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Connection connection(socket);
  bool open = true;
  while (open && !stopped_) {
    const auto request = connection.Read(kIdleTimeoutMs);
    open = request && serve_(*request, connection);
  }
  {
    const std::lock_guard lock(mutex_);
    open_.erase(socket);
    close(socket);
  }
  --handlers_;
}

int Connect(const std::string& address) {
  const size_t colon = address.find(':');
  const auto port = static_cast<uint16_t>(
      std::strtoul(address.c_str() + colon + 1, nullptr, 10));
  const sockaddr_in to = Loopback(address.substr(0, colon), port);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    close(socket);
    return -1;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

std::optional<Message> Call(const std::string& address,
                            const std::string& request,
                            int timeout_ms) {
  const int socket = Connect(address);
  if (socket < 0) {
    return std::nullopt;
  }
  Connection connection(socket);
  std::optional<Message> answer;
  if (connection.Write(request)) {
    answer = connection.Read(timeout_ms);
  }
  close(socket);
  return answer;
}

uint16_t FreePort() {
  // Below the ports that outgoing connections get, so that a process that
  // starts again finds its own ones free.
  static std::atomic<int> next =
      kFirstPort + static_cast<int>(getpid()) * kNodePorts % kPorts;
  while (true) {
    const int offset = (next++ - kFirstPort) % kPorts;
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto port = static_cast<uint16_t>(kFirstPort + offset);
    const sockaddr_in address = Loopback("127.0.0.1", port);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    const bool free = bind(tcp, raw, sizeof(address)) == 0 &&
                      bind(udp, raw, sizeof(address)) == 0;
    close(tcp);
    close(udp);
    if (free) {
      return port;
    }
  }
}

int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace review
