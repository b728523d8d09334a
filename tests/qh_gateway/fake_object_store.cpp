#include "tests/qh_gateway/fake_object_store.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <sstream>

#include "qh_net/http_parser.h"

namespace qh {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kExpired = 410;
constexpr int kTooManyRequests = 429;

// Returns the number after "`name`=" in a target, or zero.
uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(target.c_str() + at + name.size() + 1, nullptr,
                             10);
}

// Reads the kind and the name of "/objects/KIND/NAME?query".
ObjectStoreCall ReadCall(size_t client, const HttpHead& head) {
  ObjectStoreCall call{.client = client, .method = head.method};
  std::istringstream path(head.target.substr(0, head.target.find('?')));
  std::string skipped;
  std::getline(path, skipped, '/');
  std::getline(path, skipped, '/');
  std::getline(path, call.kind, '/');
  std::getline(path, call.name, '/');
  std::string part;
  call.is_status = std::getline(path, part, '/') && part == "status";
  call.is_watch = head.target.find("watch=") != std::string::npos;
  call.received = MonotonicNow();
  return call;
}

Json ObjectJson(const std::string& name,
                uint64_t revision,
                const std::string& content,
                const std::string& status = "null") {
  return {{"metadata", {{"name", name}, {"revision", revision}}},
          {"spec", Json::parse(content)},
          {"status", Json::parse(status)}};
}

}  // namespace

// One connection of a client. Calls are answered one after the other.
class FakeObjectStore::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FakeObjectStore& store, size_t client, TcpSocket socket)
      : store_(store),
        client_(client),
        socket_(std::move(socket)),
        wait_timer_(store.io_) {}

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(in_),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    size_t size) {
          if (error || !self->parser_.Feed({self->in_.data(), size})) {
            self->Close();
            return;
          }
          if (self->parser_.done()) {
            self->Serve();
          }
          if (self->socket_.is_open()) {
            self->Read();
          }
        });
  }

  bool IsWatching(size_t client, const std::string& kind) const {
    return client == client_ && watching_ && call_.kind == kind;
  }

  // Answers the open watch if there is a change of `kind`.
  void OnChange(const std::string& kind) {
    if (!watching_ || call_.kind != kind) {
      return;
    }
    const Json events = store_.ChangesAfter(kind, watched_revision_);
    if (!events.empty() && store_.FaultOf(call_) != ObjectStoreFault::kHang) {
      AnswerWatch(events);
    }
  }

  void Close() {
    watching_ = false;
    wait_timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Serve() {
    const HttpHead head = parser_.head();
    const std::string body = parser_.TakeBody();
    call_ = ReadCall(client_, head);
    ++store_.calls_;
    const ObjectStoreFault fault = store_.FaultOf(call_);
    if (fault == ObjectStoreFault::kHang) {
      return;
    }
    delays_answer_ = fault == ObjectStoreFault::kDelay;
    if (fault == ObjectStoreFault::kRefuse) {
      Answer({.status = kTooManyRequests});
    } else if (fault == ObjectStoreFault::kExpire) {
      Answer({.status = kExpired});
    } else if (call_.method != "GET") {
      Answer(store_.Write(call_, body));
    } else if (call_.is_watch) {
      StartWatch(head.target);
    } else if (!call_.name.empty()) {
      Answer(store_.Get(call_.kind, call_.name));
    } else {
      Answer(store_.List(call_.kind, fault == ObjectStoreFault::kOmitFirst));
    }
  }

  void StartWatch(const std::string& target) {
    watching_ = true;
    watched_revision_ = QueryNumber(target, "watch");
    wait_timer_.expires_after(
        std::chrono::milliseconds(QueryNumber(target, "waitMs")));
    wait_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          const bool answers =
              self->store_.FaultOf(self->call_) != ObjectStoreFault::kHang;
          if (!error && self->watching_ && answers) {
            self->AnswerWatch(Json::array());
          }
        });
    OnChange(call_.kind);
  }

  void AnswerWatch(const Json& events) {
    watching_ = false;
    wait_timer_.cancel();
    Answer({.body = {{"events", events}, {"asOf", store_.revision_}}});
  }

  void Answer(const Reply& reply) {
    const std::string body = reply.body.dump();
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.status) +
        " Said\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    if (std::exchange(delays_answer_, false)) {
      store_.delayed_.emplace_back(
          [self = shared_from_this(), text] { self->Send(text); });
      return;
    }
    Send(text);
  }

  void Send(const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(text), ignored);
    if (!parser_.Next()) {
      Close();
    }
  }

  FakeObjectStore& store_;
  size_t client_;
  TcpSocket socket_;
  boost::asio::steady_timer wait_timer_;
  HttpParser parser_{MessageKind::kRequest, {}};
  std::array<char, 16U << 10U> in_{};
  // The call in progress.
  ObjectStoreCall call_;
  bool watching_ = false;
  uint64_t watched_revision_ = 0;
  // Whether the answer to call_ is to be held back.
  bool delays_answer_ = false;
};

FakeObjectStore::FakeObjectStore(boost::asio::io_context& io) : io_(io) {}

FakeObjectStore::~FakeObjectStore() {
  for (const auto& connection : connections_) {
    if (const auto open = connection.lock()) {
      open->Close();
    }
  }
}

Address FakeObjectStore::AddClient() {
  acceptors_.push_back(std::make_unique<TcpAcceptor>(
      std::move(Listen(io_, {"127.0.0.1", 0}).value())));
  Accept(acceptors_.size() - 1);
  return {"127.0.0.1", acceptors_.back()->local_endpoint().port()};
}

void FakeObjectStore::Accept(size_t client) {
  acceptors_[client]->async_accept(
      [this, client](const boost::system::error_code& error, TcpSocket socket) {
        if (error) {
          return;
        }
        const auto connection =
            std::make_shared<Connection>(*this, client, std::move(socket));
        connections_.push_back(connection);
        connection->Read();
        Accept(client);
      });
}

ObjectStoreFault FakeObjectStore::FaultOf(const ObjectStoreCall& call) const {
  return fault_ ? fault_(call) : ObjectStoreFault::kNone;
}

void FakeObjectStore::Put(const std::string& kind,
                          const std::string& name,
                          const std::string& content) {
  AddChange({.kind = kind, .name = name, .content = content});
}

void FakeObjectStore::Remove(const std::string& kind, const std::string& name) {
  AddChange({.kind = kind, .name = name, .content = "null", .removed = true});
}

void FakeObjectStore::AddChange(Change change) {
  change.revision = ++revision_;
  if (change.removed) {
    objects_[change.kind].erase(change.name);
  } else {
    objects_[change.kind][change.name] = {change.revision, change.content,
                                          change.status};
  }
  changes_.push_back(change);
  AnswerWatches(change.kind);
}

void FakeObjectStore::SendDelayed() {
  for (const auto& send : std::exchange(delayed_, {})) {
    send();
  }
}

void FakeObjectStore::AnswerWatches(const std::string& kind) {
  for (const auto& connection : std::vector(connections_)) {
    if (const auto open = connection.lock()) {
      open->OnChange(kind);
    }
  }
}

std::map<std::string, std::string> FakeObjectStore::Contents(
    const std::string& kind) const {
  std::map<std::string, std::string> contents;
  if (const auto found = objects_.find(kind); found != objects_.end()) {
    for (const auto& [name, object] : found->second) {
      contents[name] = object.content;
    }
  }
  return contents;
}

bool FakeObjectStore::HasOpenWatch(size_t client,
                                   const std::string& kind) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [&](const auto& connection) {
                       const auto open = connection.lock();
                       return open && open->IsWatching(client, kind);
                     });
}

std::string FakeObjectStore::StatusOf(const std::string& kind,
                                      const std::string& name) const {
  const Reply reply = Get(kind, name);
  return reply.status == kOk ? reply.body["status"].dump() : "null";
}

FakeObjectStore::Reply FakeObjectStore::Get(const std::string& kind,
                                            const std::string& name) const {
  const auto objects = objects_.find(kind);
  if (objects == objects_.end() || !objects->second.contains(name)) {
    return {.status = kNotFound};
  }
  const Object& object = objects->second.at(name);
  return {
      .status = kOk,
      .body = ObjectJson(name, object.revision, object.content, object.status)};
}

FakeObjectStore::Reply FakeObjectStore::List(const std::string& kind,
                                             bool omit_first) const {
  Json items = Json::array();
  if (const auto found = objects_.find(kind); found != objects_.end()) {
    for (const auto& [name, object] : found->second) {
      items.push_back(
          ObjectJson(name, object.revision, object.content, object.status));
    }
  }
  if (omit_first && !items.empty()) {
    items.erase(0);
  }
  return {.status = kOk,
          .body = {{"items", items}, {"hasMore", false}, {"asOf", revision_}}};
}

Json FakeObjectStore::ChangesAfter(const std::string& kind,
                                   uint64_t revision) const {
  Json events = Json::array();
  for (const Change& change : changes_) {
    if (change.kind == kind && change.revision > revision) {
      events.push_back({{"object", ObjectJson(change.name, change.revision,
                                              change.content, change.status)},
                        {"removed", change.removed}});
    }
  }
  return events;
}

FakeObjectStore::Reply FakeObjectStore::Write(const ObjectStoreCall& call,
                                              const std::string& body) {
  if (call.method == "DELETE") {
    if (!objects_[call.kind].contains(call.name)) {
      return {.status = kNotFound};
    }
    Remove(call.kind, call.name);
    return {.status = kOk};
  }
  const Json object = Json::parse(body, nullptr, false);
  if (!object.contains("metadata")) {
    return {.status = kNotFound};
  }
  const std::string name = object["metadata"].value("name", "");
  if (call.method == "POST" && objects_[call.kind].contains(name)) {
    return {.status = kConflict,
            .body = ObjectJson(name, objects_[call.kind][name].revision,
                               objects_[call.kind][name].content)};
  }
  const uint64_t expected = object["metadata"].value("revision", uint64_t{0});
  const bool exists = objects_[call.kind].contains(name);
  if (call.is_status && !exists) {
    return {.status = kNotFound};
  }
  if (expected != 0 &&
      (!exists || objects_[call.kind][name].revision != expected)) {
    return {.status = kConflict};
  }
  if (call.is_status) {
    AddChange({.kind = call.kind,
               .name = name,
               .content = objects_[call.kind][name].content,
               .status = object["status"].dump()});
  } else {
    Put(call.kind, name, object["spec"].dump());
  }
  return Get(call.kind, name);
}

}  // namespace qh
