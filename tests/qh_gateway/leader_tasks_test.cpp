// The leader's usage reports while the store is restored from an older copy: a
// window is never reported with two different counts.

#include "qh_gateway/control/leader_tasks.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/qh_gateway/gateway_fixture.h"

namespace qh {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TeamId kTeam("team");
constexpr Duration kWindow = milliseconds(400);

std::string Reply(int status, const Json& body, uint64_t epoch) {
  const std::string text = body.dump();
  return "HTTP/1.1 " + std::to_string(status) +
         " Said\r\nStore-Era: " + std::to_string(epoch) +
         "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
         text;
}

// A store of objects that can be restored from a copy.
class StoreStandin {
 public:
  explicit StoreStandin(boost::asio::io_context& io)
      : server_(io, [this](size_t, const HttpHead& head) {
          return ScriptedReply{.bytes = Answer(head)};
        }) {}

  Address address() const { return server_.address(); }
  // Goes back to a state without any object.
  void RestoreEmpty() {
    objects_.clear();
    revision_ = 0;
    ++epoch_;
  }

 private:
  // Objects by their path.
  using Objects = std::map<std::string, Json>;

  std::string Answer(const HttpHead& head) {
    if (head.method == "GET") {
      const auto found = objects_.find(head.target);
      return found == objects_.end() ? Reply(404, Json::object(), epoch_)
                                     : Reply(200, found->second, epoch_);
    }
    Json object = Json::parse(server_.last_body());
    Json& metadata = object["metadata"];
    const bool creates = head.method == "POST";
    const std::string path =
        creates ? head.target + "/" + metadata["name"].get<std::string>()
                : head.target;
    const auto known = objects_.find(path);
    const bool exists = known != objects_.end();
    const bool conflict =
        creates ? exists
                : !exists || known->second["metadata"]["revision"] !=
                                 metadata.value("revision", Json());
    if (conflict) {
      return Reply(409, exists ? known->second : Json::object(), epoch_);
    }
    metadata["revision"] = ++revision_;
    objects_[path] = object;
    return Reply(200, object, epoch_);
  }

  ScriptedServer server_;
  Objects objects_;
  uint64_t revision_ = 0;
  uint64_t epoch_ = 1;
};

GatewaySettings LeaderSettings() {
  GatewaySettings settings = GatewayFixture::DefaultSettings();
  settings.lease = seconds(1);
  settings.usage_window = kWindow;
  settings.usage_due = seconds(12);
  settings.first_start = true;
  return settings;
}

struct LeaderFixture : GatewayFixture {
  LeaderFixture() : GatewayFixture(LeaderSettings()), store(io) {
    cloud = std::make_unique<ScriptedServer>(
        io, [this](size_t, const HttpHead& head) {
          OnCloudCall(head);
          return ScriptedReply{.bytes = Reply(200, Json::object(), 0)};
        });
    state.settings.store_address = store.address();
    state.settings.cloud_address = cloud->address();
    state.on_store_epoch = [this](uint64_t epoch, bool restored) {
      for (const auto& leader : leaders) {
        leader->OnStoreEpoch(epoch, restored);
      }
    };
  }

  void OnCloudCall(const HttpHead& head) {
    if (head.target != "/usage") {
      return;
    }
    const Json report = Json::parse(cloud->last_body());
    reports[report["windowId"]].insert(report["counts"].dump());
    busy_windows += report["counts"].empty() ? 0 : 1;
    fencing.push_back(head.NumberOr("Fence-Token", 0));
  }
  LeaderTasks& AddLeader(const std::string& incarnation) {
    leaders.push_back(
        std::make_unique<LeaderTasks>(state, incarnation, leaders.size() + 1));
    return *leaders.back();
  }
  // Ticks the leaders and counts a request in each step until `done`.
  bool TickUntil(const std::function<bool()>& done) {
    const TimePoint end = MonotonicNow() + seconds(20);
    while (!done() && MonotonicNow() < end) {
      const TimePoint now = MonotonicNow();
      state.wall_clock.OnLocalTime(WallNow(), now);
      state.usage.Count(kTeam, WallNow());
      for (const auto& leader : leaders) {
        leader->OnTick(now, BootNow(), 0, true);
      }
      RunFor(milliseconds(25));
    }
    return done();
  }

  StoreStandin store;
  std::unique_ptr<ScriptedServer> cloud;
  std::vector<std::unique_ptr<LeaderTasks>> leaders;
  // Counts reported for each window.
  std::map<int64_t, std::set<std::string>> reports;
  size_t busy_windows = 0;
  std::vector<uint64_t> fencing;
};

}  // namespace

TEST_CASE_METHOD(
    LeaderFixture,
    "no window is reported twice after the store lost its records") {
  LeaderTasks& first = AddLeader("first");
  LeaderTasks& second = AddLeader("second");
  // The leader begins with windows in which nothing was counted.
  REQUIRE(TickUntil([&] { return busy_windows >= 3; }));
  LeaderTasks& leading = first.is_leader() ? first : second;
  const int64_t last_before = reports.rbegin()->first;
  const bool leader_dies = GENERATE(false, true);
  if (leader_dies) {
    // The next leader was not told which windows are reported.
    leading.Stop();
  }
  store.RestoreEmpty();
  // Late counts: a new record would hold more than what was reported.
  for (int64_t window = last_before - 5; window <= last_before; ++window) {
    state.usage.Count(kTeam, window * kWindow + milliseconds(1));
  }
  REQUIRE(TickUntil([&] { return reports.rbegin()->first > last_before + 4; }));
  for (const auto& [window, counts] : reports) {
    CAPTURE(window, last_before);
    CHECK(counts.size() == 1);
  }
  CHECK(std::is_sorted(fencing.begin(), fencing.end()));
  CHECK(fencing.back() > Lease::kFencingPerEpoch * 2);
}

}  // namespace qh
