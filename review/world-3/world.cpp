#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>

namespace review {
namespace {

constexpr int kBacklog = 1'024;
constexpr double kPollSeconds = 0.02;
// Time of the store for a call.
constexpr double kStoreSeconds = 0.004;

const auto kBegan = std::chrono::steady_clock::now();

sockaddr_in ToSocketAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

std::pair<std::string, int> Split(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const size_t at = target.find(mark + name + "=");
    if (at != std::string::npos) {
      const size_t begin = at + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return {};
}

// Sizes of a chunked body. Returns the body and the bytes used, or nothing if
// the body is not complete.
std::optional<std::pair<std::string, size_t>> ReadChunks(
    const std::string& text,
    size_t at) {
  std::string body;
  while (true) {
    const size_t end = text.find("\r\n", at);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const size_t size = std::strtoul(text.c_str() + at, nullptr, 16);
    if (text.size() < end + 2 + size + 2) {
      return std::nullopt;
    }
    body += text.substr(end + 2, size);
    at = end + 2 + size + 2;
    if (size == 0) {
      return std::pair(body, at);
    }
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kBegan)
      .count();
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void Note(const std::string& text) {
  static std::mutex mutex;
  static std::ofstream file = [] {
    const char* name = std::getenv("RECORD");
    return std::ofstream(name == nullptr ? "record.txt" : name);
  }();
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", Now());
  const std::lock_guard lock(mutex);
  file << time.data() << text << std::endl;
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::string Message::method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int Message::status() const {
  return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
}

std::string AnswerText(int status,
                       const std::string& body,
                       const std::vector<std::string>& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Said\r\n";
  for (const std::string& field : fields) {
    text += field + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Stream::~Stream() {
  if (owns_) {
    close(socket_);
  }
}

bool Stream::WaitReadable(double seconds) const {
  pollfd ready{.fd = socket_, .events = POLLIN, .revents = 0};
  return poll(&ready, 1, static_cast<int>(seconds * 1'000)) > 0;
}

bool Stream::PeerClosed() const {
  pollfd ready{.fd = socket_, .events = POLLRDHUP, .revents = 0};
  return poll(&ready, 1, 0) > 0 &&
         (ready.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Stream::Write(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

std::optional<Message> Stream::Read(double seconds) {
  const double end = Now() + seconds;
  while (true) {
    const size_t head_end = received_.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      Message message;
      size_t at = received_.find("\r\n");
      message.first_line = received_.substr(0, at);
      while (at < head_end) {
        const size_t line_end = received_.find("\r\n", at + 2);
        const std::string line = received_.substr(at + 2, line_end - at - 2);
        const size_t colon = line.find(':');
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields[Lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
        at = line_end;
      }
      const size_t body = head_end + 4;
      if (Lower(message.Field("transfer-encoding")) == "chunked") {
        if (const auto chunks = ReadChunks(received_, body)) {
          message.body = chunks->first;
          received_.erase(0, chunks->second);
          return message;
        }
      } else {
        const size_t size =
            std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
        if (received_.size() >= body + size) {
          message.body = received_.substr(body, size);
          received_.erase(0, body + size);
          return message;
        }
      }
    }
    if (Now() >= end || !WaitReadable(std::max(0.0, end - Now()))) {
      return std::nullopt;
    }
    std::array<char, 65'536> bytes{};
    const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return std::nullopt;
    }
    received_.append(bytes.data(), static_cast<size_t>(size));
  }
}

int ConnectTo(const std::string& address, double seconds) {
  const auto [host, port] = Split(address);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSocketAddress(host, port);
  fcntl(socket, F_SETFL, O_NONBLOCK);
  const int result =
      connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  if (result != 0) {
    pollfd ready{.fd = socket, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    const bool done = poll(&ready, 1, static_cast<int>(seconds * 1'000)) > 0;
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!done || error != 0) {
      close(socket);
      return -1;
    }
  }
  fcntl(socket, F_SETFL, 0);
  return socket;
}

Path::Path(std::string name, const std::string& host, Handler handler)
    : name_(std::move(name)), handler_(std::move(handler)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocketAddress(host, 0);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, kBacklog) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    throw std::runtime_error("can't listen on " + host);
  }
  port_ = ntohs(address.sin_port);
  address_ = host + ":" + std::to_string(port_);
  threads_.emplace_back([this] { Accept(); });
}

void Path::End() {
  Note("the process at " + name_ + " exits");
  stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const int socket : sockets_) {
    shutdown(socket, SHUT_RDWR);
  }
}

Path::~Path() {
  Heal();
  stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
  while (true) {
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    if (threads.empty()) {
      break;
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  close(listener_);
}

void Path::Cut() {
  Note("path " + name_ + " is cut");
  cut_ = true;
  // The accepting thread notices within one poll.
  SleepFor(2 * kPollSeconds);
  // With a full queue the system drops the opening packets of new connections.
  listen(listener_, 0);
  for (int i = 0; i < 2; ++i) {
    const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto [host, port] = Split(address_);
    const sockaddr_in to = ToSocketAddress(host, port);
    fcntl(filler, F_SETFL, O_NONBLOCK);
    // It is not waited for: only its place in the queue matters.
    static_cast<void>(
        connect(filler, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
    fillers_.push_back(filler);
  }
}

void Path::Heal() {
  if (!cut_) {
    return;
  }
  for (const int filler : fillers_) {
    close(filler);
  }
  fillers_.clear();
  listen(listener_, kBacklog);
  cut_ = false;
  Note("path " + name_ + " is whole again");
}

void Path::WaitUntilWhole() const {
  while (cut_ && !stopped_) {
    SleepFor(0.002);
  }
}

void Path::Accept() {
  while (!stopped_) {
    pollfd ready{.fd = listener_, .events = POLLIN, .revents = 0};
    if (cut_ || poll(&ready, 1, static_cast<int>(kPollSeconds * 1'000)) <= 0 ||
        cut_) {
      if (cut_) {
        SleepFor(0.002);
      }
      continue;
    }
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] {
      Serve(socket);
      const std::lock_guard forget(mutex_);
      sockets_.erase(socket);
      close(socket);
    });
  }
}

void Path::Serve(int socket) {
  Stream stream(socket, Stream::Owns::kNo);
  while (!stopped_) {
    const bool readable = stream.WaitReadable(kPollSeconds);
    if (cut_) {
      WaitUntilWhole();
      // What a peer sent before it gave up did not get through.
      if (stream.PeerClosed()) {
        return;
      }
      continue;
    }
    if (!readable) {
      continue;
    }
    const auto request = stream.Read(10);
    if (!request) {
      return;
    }
    const std::string answer = handler_(*request);
    WaitUntilWhole();
    if (answer.empty() || !stream.Write(answer)) {
      return;
    }
  }
}

Json ObjectStore::ToJson(const std::string& name, const Object& object) const {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", object.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

void ObjectStore::Record(const std::string& kind,
                         const std::string& name,
                         bool removed) {
  Object& object = objects_[kind][name];
  object.revision = ++revision_;
  object.created = object.created == 0 ? revision_ : object.created;
  changes_.push_back(
      {revision_,
       kind,
       {{"removed", removed}, {"object", ToJson(name, object)}}});
  if (removed) {
    objects_[kind].erase(name);
  }
  changed_.notify_all();
}

void ObjectStore::Put(const std::string& kind,
                      const std::string& name,
                      const Json& spec) {
  const std::lock_guard lock(mutex_);
  objects_[kind][name].spec = spec;
  Record(kind, name, false);
  Note("store acknowledges " + kind + "/" + name + " at revision " +
       std::to_string(revision_));
}

void ObjectStore::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  Record(kind, name, true);
  Note("store acknowledges that " + kind + "/" + name +
       " is gone, at revision " + std::to_string(revision_));
}

void ObjectStore::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

std::string ObjectStore::Answer(const std::string& machine,
                                const Message& request) {
  SleepFor(kStoreSeconds);
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  Call call{.machine = machine, .method = request.method()};
  // "/objects/KIND/NAME"
  const size_t kind = path.find('/', 1) + 1;
  const size_t name = path.find('/', kind);
  call.kind = path.substr(kind, name - kind);
  if (name != std::string::npos) {
    call.name = path.substr(name + 1);
  }
  call.is_watch = !QueryValue(target, "watch").empty();
  const std::string answer = Decide(call, request);
  if (on_call) {
    on_call(call);
  }
  return answer;
}

std::string ObjectStore::Decide(const Call& call, const Message& request) {
  const std::string target = request.target();
  if (call.is_watch) {
    return Watch(call, target);
  }
  const std::lock_guard lock(mutex_);
  if (call.method == "GET" && call.name.empty()) {
    return List(call, target);
  }
  Call one = call;
  const size_t slash = one.name.find('/');
  const bool is_status = slash != std::string::npos;
  one.name = one.name.substr(0, slash);
  if (call.method != "GET") {
    return Write(one, request, is_status);
  }
  const auto& objects = objects_[one.kind];
  const auto found = objects.find(one.name);
  return found == objects.end()
             ? AnswerText(404, "{}", {"Store-Era: 1"})
             : AnswerText(200, ToJson(one.name, found->second).dump(),
                          {"Store-Era: 1"});
}

std::string ObjectStore::List(const Call& call,
                              const std::string& target) const {
  constexpr size_t kPage = 500;
  const std::string after = QueryValue(target, "afterRev");
  Json items = Json::array();
  bool has_more = false;
  if (const auto kind = objects_.find(call.kind); kind != objects_.end()) {
    for (const auto& [name, object] : kind->second) {
      if (!after.empty() && name <= after) {
        continue;
      }
      if (items.size() == kPage) {
        has_more = true;
        break;
      }
      items.push_back(ToJson(name, object));
    }
  }
  return AnswerText(
      200,
      Json{{"items", items}, {"hasMore", has_more}, {"asOf", revision_}}.dump(),
      {"Store-Era: 1"});
}

std::string ObjectStore::Watch(const Call& call, const std::string& target) {
  const uint64_t since =
      std::strtoull(QueryValue(target, "watch").c_str(), nullptr, 10);
  const double end =
      Now() +
      std::strtod(QueryValue(target, "waitMs").c_str(), nullptr) / 1'000;
  std::unique_lock lock(mutex_);
  while (true) {
    Json events = Json::array();
    for (const Change& change : changes_) {
      if (change.kind == call.kind && change.revision > since) {
        events.push_back(change.event);
      }
    }
    const double left = end - Now();
    if (!events.empty() || left <= 0 || stopped_) {
      return AnswerText(200,
                        Json{{"events", events}, {"asOf", revision_}}.dump(),
                        {"Store-Era: 1"});
    }
    changed_.wait_for(lock, std::chrono::duration<double>(left));
  }
}

std::string ObjectStore::Write(const Call& call,
                               const Message& request,
                               bool is_status) {
  auto& objects = objects_[call.kind];
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string name =
      call.method == "POST" ? body["metadata"].value("name", "") : call.name;
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  uint64_t expected = std::strtoull(
      QueryValue(request.target(), "revision").c_str(), nullptr, 10);
  if (body.is_object() && body.contains("metadata")) {
    expected = body["metadata"].value("revision", expected);
  }
  if (call.method != "POST" && !exists) {
    return AnswerText(404, "{}", {"Store-Era: 1"});
  }
  if (exists && (call.method == "POST" ||
                 (expected != 0 && expected != found->second.revision))) {
    return AnswerText(409, ToJson(name, found->second).dump(),
                      {"Store-Era: 1"});
  }
  if (call.method == "DELETE") {
    Record(call.kind, name, true);
    return AnswerText(200, "{}", {"Store-Era: 1"});
  }
  const Json& value = is_status ? body["status"] : body["spec"];
  Object& object = objects[name];
  Json& place = is_status ? object.status : object.spec;
  if (!exists || place != value) {
    place = value;
    Record(call.kind, name, false);
  }
  return AnswerText(200, ToJson(name, objects[name]).dump(), {"Store-Era: 1"});
}

std::string HostOf(int number) {
  return "127." + std::to_string(1 + getpid() % 250) + "." +
         std::to_string(1 + getpid() / 250 % 250) + "." +
         std::to_string(number);
}

Gateway::Gateway(NodePlan plan,
                 const std::string& host,
                 const std::string& store,
                 const std::string& cloud)
    : plan_(std::move(plan)),
      host_(host),
      store_(store),
      cloud_(cloud),
      callers_(host + ":17240") {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "qh-review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no folder for the settings");
  }
  folder_ = pattern;
}

Gateway::~Gateway() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  const char* kept = std::getenv("KEEP_LOGS");
  std::error_code ignored;
  if (kept != nullptr) {
    std::filesystem::copy_file(
        folder_ + "/log", std::string(kept) + "/" + plan_.name + ".log",
        std::filesystem::copy_options::overwrite_existing, ignored);
  }
  std::filesystem::remove_all(folder_, ignored);
}

// What deploy/node.json.template becomes, with the bounds of the small
// deployments.
std::string Gateway::SettingsText() const {
  Json settings{{"node", plan_.name},
                {"failure_domain", plan_.zone},
                {"region", "r"},
                {"callers", callers_},
                {"readiness", host_ + ":17241"},
                {"locate", host_ + ":17242"},
                {"peers", host_ + ":17243"},
                {"metrics", host_ + ":17244"},
                {"store", store_},
                {"store_reads_per_second", 2'000},
                {"link_mbps", 1'500},
                {"memory_mb", 390},
                {"max_open_files", 6'150},
                {"first_start", plan_.first_start},
                {"server_heartbeat_ms", 1'200},
                {"locate_ttl_max_s", 5},
                {"server_drain_ms", 2'000},
                {"config_apply_ms", 2'000},
                {"stop_grace_s", 8},
                {"lease_ms", 3'000},
                {"usage_window_s", 5},
                {"usage_due_s", 10},
                {"repeat_ratio", 0.2},
                {"repeat_extra", 58},
                {"repeat_window_s", 10},
                {"limit_window_s", 8},
                {"limit_overage", 0.1},
                {"limit_tolerance", 140'000}};
  if (!cloud_.empty()) {
    settings["cloud"] = cloud_;
  }
  return settings.dump(1);
}

void Gateway::Start() {
  const std::string file = folder_ + "/node.json";
  std::ofstream(file) << SettingsText();
  const std::string log = folder_ + "/log";
  const char* program = std::getenv("GATEWAY");
  const std::string path =
      program == nullptr ? "target/bin/quetzalhall-gateway" : program;
  pid_ = fork();
  if (pid_ == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(path.c_str(), path.c_str(), "--config", file.c_str(), nullptr);
    _exit(127);
  }
  Note("node " + plan_.name + " starts");
}

void Gateway::Signal(int signal) const {
  kill(pid_, signal);
}

bool Gateway::WaitUntilReady(double seconds) const {
  const double end = Now() + seconds;
  while (Now() < end) {
    const Reply reply =
        Ask(host_ + ":17241", "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n", 1);
    if (reply.status == 200) {
      return true;
    }
    SleepFor(kPollSeconds);
  }
  return false;
}

Reply Ask(const std::string& address,
          const std::string& request,
          double seconds) {
  const int socket = ConnectTo(address, 1);
  if (socket < 0) {
    return {};
  }
  Stream stream(socket);
  if (!stream.Write(request)) {
    return {};
  }
  const auto answer = stream.Read(seconds);
  return answer ? Reply{answer->status(), answer->body} : Reply{};
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(random()));
  return text.data();
}

}  // namespace review
