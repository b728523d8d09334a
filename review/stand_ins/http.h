// Blocking HTTP/1.1 over loopback for the stand-ins: a server with one thread a
// connection, and a client.

#ifndef REVIEW_STAND_INS_HTTP_H_
#define REVIEW_STAND_INS_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

// A request or an answer. Field names are in lower case.
struct Message {
  // The request line or the status line.
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  // Parts of a request line.
  std::string Method() const;
  std::string Target() const;
  // Status of an answer, 0 if there is none.
  int Status() const;
};

// One connection. Not copied; closed by its owner.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}

  // Reads the next message; nothing if the peer closed or `timeout_ms` passed
  // without bytes.
  std::optional<Message> Read(int timeout_ms);
  // Reads until the peer closes or `timeout_ms` passes without bytes.
  std::string ReadToEnd(int timeout_ms);
  // Returns whether all bytes were taken.
  bool Write(const std::string& bytes) const;
  // Ends the connection with a reset.
  void Reset() const;
  int socket() const { return socket_; }

 private:
  // Reads more bytes into `input_`; false at the end or the timeout.
  bool Fill(int timeout_ms);

  int socket_;
  std::string input_;
};

// Serializes an answer with a length.
std::string Answer(int status,
                   const std::map<std::string, std::string>& fields,
                   const std::string& body);

// Accepts connections on a free port of 127.0.0.1. `serve` handles one request
// and returns whether the connection stays open.
class Server {
 public:
  using Serve = std::function<bool(const Message&, Connection&)>;

  explicit Server(Serve serve);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  std::string address() const;
  // Resets all open connections.
  void ResetAll();

 private:
  void Accept();
  void Handle(int socket);

  Serve serve_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> handlers_ = 0;
  std::thread acceptor_;
};

// Opens a connection to "IP:PORT"; -1 on failure.
int Connect(const std::string& address);
// Sends one request on a new connection and returns the answer.
std::optional<Message> Call(const std::string& address,
                            const std::string& request,
                            int timeout_ms);
// Returns a port of 127.0.0.1 that is free now.
uint16_t FreePort();
// Milliseconds since 1970.
int64_t WallMs();
void SleepMs(int64_t ms);

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_H_
