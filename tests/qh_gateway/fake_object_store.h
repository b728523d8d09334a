// The platform's object store over loopback sockets: lists, watches and writes,
// with faults for single clients. Runs on the test's io_context.

#ifndef TESTS_QH_GATEWAY_FAKE_OBJECT_STORE_H_
#define TESTS_QH_GATEWAY_FAKE_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "qh_core/time/time.h"
#include "qh_net/http_head.h"
#include "qh_net/socket_options.h"

namespace qh {

// A call of a client.
struct ObjectStoreCall {
  // The client's number, in the order of AddClient.
  size_t client = 0;
  std::string method;
  std::string kind;
  // Empty for lists and watches.
  std::string name;
  bool is_watch = false;
  // Whether the call concerns the object's status alone.
  bool is_status = false;
  TimePoint received;
};

// What the store does with a call.
enum class ObjectStoreFault {
  kNone,
  // Accepts the call and never answers it.
  kHang,
  // Answers 429.
  kRefuse,
  // Answers 410: the changes asked for are no longer known.
  kExpire,
  // Answers a list without its first object.
  kOmitFirst,
  // Answers with the state at the call's arrival, but only after SendDelayed.
  kDelay,
};

class FakeObjectStore {
 public:
  using Fault = std::function<ObjectStoreFault(const ObjectStoreCall&)>;

  explicit FakeObjectStore(boost::asio::io_context& io);
  ~FakeObjectStore();

  // Returns the address at which one more client calls the store.
  Address AddClient();
  // Creates or replaces an object; `content` is JSON.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& content);
  void Remove(const std::string& kind, const std::string& name);
  // Decides about each call, and again about an open watch when it would be
  // answered.
  void SetFault(Fault fault) { fault_ = std::move(fault); }

  // Sends the answers that kDelay held back.
  void SendDelayed();
  // Whether an answer is held back.
  bool has_delayed() const { return !delayed_.empty(); }

  // Returns the status of an object as JSON; "null" without one.
  std::string StatusOf(const std::string& kind, const std::string& name) const;
  // Returns the contents of all objects of `kind`, by name.
  std::map<std::string, std::string> Contents(const std::string& kind) const;
  // Whether `client` has an open watch of `kind`.
  bool HasOpenWatch(size_t client, const std::string& kind) const;
  // Calls received so far.
  size_t calls() const { return calls_; }

 private:
  class Connection;
  struct Object {
    uint64_t revision = 0;
    std::string content;
    std::string status = "null";
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string name;
    std::string content;
    std::string status = "null";
    bool removed = false;
  };
  struct Reply {
    int status = 200;
    nlohmann::json body;
  };

  void Accept(size_t client);
  ObjectStoreFault FaultOf(const ObjectStoreCall& call) const;
  Reply List(const std::string& kind, bool omit_first) const;
  Reply Get(const std::string& kind, const std::string& name) const;
  // Returns the changes of `kind` after `revision`.
  nlohmann::json ChangesAfter(const std::string& kind, uint64_t revision) const;
  Reply Write(const ObjectStoreCall& call, const std::string& body);
  void AddChange(Change change);
  // Answers the open watches of `kind`.
  void AnswerWatches(const std::string& kind);

  boost::asio::io_context& io_;
  Fault fault_;
  std::vector<std::unique_ptr<TcpAcceptor>> acceptors_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  std::vector<std::function<void()>> delayed_;
  uint64_t revision_ = 1;
  size_t calls_ = 0;
};

}  // namespace qh

#endif  // TESTS_QH_GATEWAY_FAKE_OBJECT_STORE_H_
