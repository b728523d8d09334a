// A small deployment for the review's scripts: gateway processes on loopback
// addresses, and in this process the platform's store and cloud API, backend
// servers and callers, as the users' pages describe them. One thread for each
// connection; all times are real.

#ifndef REVIEW_WORLD_3_WORLD_H_
#define REVIEW_WORLD_3_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Exit codes of a trial.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

// Seconds since the trial began.
double Now();
void SleepFor(double seconds);
// Whether the trial brings its disruption about: TROUBLE is not "0".
bool HasTrouble();

// Writes what was sent, answered and run to the file named by RECORD, or
// "record.txt".
void Note(const std::string& text);

// An HTTP request or answer as it arrived.
struct Message {
  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  std::string method() const;
  std::string target() const;
  // Status of an answer.
  int status() const;
};

// Returns the bytes of an answer with `body`.
std::string AnswerText(int status,
                       const std::string& body,
                       const std::vector<std::string>& fields = {});

// Reads messages from a socket and writes to it. Closes a socket
// that it owns.
class Stream {
 public:
  enum class Owns { kNo, kYes };

  explicit Stream(int socket, Owns owns = Owns::kYes)
      : socket_(socket), owns_(owns == Owns::kYes) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int socket() const { return socket_; }
  // Returns nothing if the peer closed or `seconds` are over.
  std::optional<Message> Read(double seconds);
  bool Write(const std::string& bytes) const;
  // Whether the peer has closed its side.
  bool PeerClosed() const;
  // Returns once there are bytes or the peer has closed; false after `seconds`.
  bool WaitReadable(double seconds) const;

 private:
  int socket_;
  bool owns_;
  std::string received_;
};

// Connects to HOST:PORT; -1 if that fails within `seconds`.
int ConnectTo(const std::string& address, double seconds);

// Serves HTTP at a loopback address of its own, which stands for one machine's
// path to a service. The path can be cut: new connections are then not
// established, requests not read and answers not sent until it is whole again.
class Path {
 public:
  using Handler = std::function<std::string(const Message&)>;

  Path(std::string name, const std::string& host, Handler handler);
  ~Path();
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;

  const std::string& address() const { return address_; }
  int port() const { return port_; }
  void Cut();
  void Heal();
  // The process behind the path exits: open connections end without an answer,
  // and new ones are refused.
  void End();

 private:
  void Accept();
  void Serve(int socket);
  void WaitUntilWhole() const;

  std::string name_;
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::string address_;
  std::atomic<bool> cut_ = false;
  std::atomic<bool> stopped_ = false;
  // Fills the queue of new connections while the path is cut.
  std::vector<int> fillers_;
  std::vector<std::thread> threads_;
  std::set<int> sockets_;
  std::mutex mutex_;
};

// The platform's store.
class ObjectStore {
 public:
  // A call, before its answer is sent.
  struct Call {
    std::string machine;
    std::string method;
    std::string kind;
    std::string name;
    bool is_watch = false;
  };

  // Answers a call of `machine`.
  std::string Answer(const std::string& machine, const Message& request);
  // Writes of the operator and of the servers.
  void Put(const std::string& kind, const std::string& name, const Json& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Told of each call when its answer is decided and not sent yet.
  std::function<void(const Call&)> on_call;
  void Stop();

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    Json spec;
    Json status;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    Json event;
  };

  Json ToJson(const std::string& name, const Object& object) const;
  void Record(const std::string& kind, const std::string& name, bool removed);
  std::string Decide(const Call& call, const Message& request);
  std::string List(const Call& call, const std::string& target) const;
  std::string Watch(const Call& call, const std::string& target);
  std::string Write(const Call& call, const Message& request, bool is_status);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
};

// Settings of one node beside its addresses.
struct NodePlan {
  std::string name;
  std::string zone;
  bool first_start = true;
};

// One gateway process.
class Gateway {
 public:
  // `store` and `cloud` are the machine's addresses of these services; an empty
  // one leaves the cloud out.
  Gateway(NodePlan plan,
          const std::string& host,
          const std::string& store,
          const std::string& cloud);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  // Sends a signal to the process.
  void Signal(int signal) const;
  bool WaitUntilReady(double seconds) const;
  const std::string& callers() const { return callers_; }
  const std::string& name() const { return plan_.name; }

 private:
  std::string SettingsText() const;

  NodePlan plan_;
  std::string host_;
  std::string store_;
  std::string cloud_;
  std::string callers_;
  std::string folder_;
  pid_t pid_ = -1;
};

// Returns a loopback host of this process's own; `number` is 1 to 250.
std::string HostOf(int number);

// The answer of a caller's request; status 0 without a whole one.
struct Reply {
  int status = 0;
  std::string body;
};

// Sends one request on a connection of its own.
Reply Ask(const std::string& address,
          const std::string& request,
          double seconds);

// Returns a new request id.
std::string NewId();

}  // namespace review

#endif  // REVIEW_WORLD_3_WORLD_H_
