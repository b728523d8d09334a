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
  // Creates an object, whose path begins with that of its kind.
  void Put(const std::string& kind_path,
           const std::string& name,
           const std::string& content) {
    objects_[kind_path + "/" + name] = {
        {"metadata", {{"name", name}, {"revision", ++revision_}}},
        {"spec", Json::parse(content)}};
  }
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

// A process that starts later than the fixture's: it has counted nothing and
// knows nothing of the store.
struct LaterProcess {
  LaterProcess(boost::asio::io_context& io,
               const WireCodec& codec,
               GatewaySettings settings,
               const std::string& incarnation)
      : state(io, codec, Later(std::move(settings)), MonotonicNow(), 7),
        leader(state, incarnation, 7) {
    state.on_store_epoch = [this](uint64_t epoch, bool restored) {
      leader.OnStoreEpoch(epoch, restored);
    };
  }

  static GatewaySettings Later(GatewaySettings settings) {
    settings.first_start = false;
    return settings;
  }
  void Tick() {
    const TimePoint now = MonotonicNow();
    state.wall_clock.OnLocalTime(WallNow(), now);
    leader.OnTick(now, BootNow(), 0, true);
  }

  GatewayState state;
  LeaderTasks leader;
};

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

  // Ends all processes and starts another one.
  void RestartAll(const std::string& incarnation) {
    for (const auto& leader : leaders) {
      leader->Stop();
    }
    leaders.clear();
    if (later != nullptr) {
      later->leader.Stop();
    }
    later =
        std::make_unique<LaterProcess>(io, codec, state.settings, incarnation);
  }
  // Ticks the later process until a window after `window` is reported.
  bool TickLaterUntilAfter(int64_t window) {
    const TimePoint end = MonotonicNow() + seconds(20);
    while (reports.rbegin()->first <= window && MonotonicNow() < end) {
      later->Tick();
      RunFor(milliseconds(25));
    }
    return reports.rbegin()->first > window;
  }
  void CheckNoWindowHasTwoCounts() const {
    for (const auto& [window, counts] : reports) {
      CAPTURE(window);
      CHECK(counts.size() == 1);
    }
    CHECK(std::is_sorted(fencing.begin(), fencing.end()));
  }

  StoreStandin store;
  std::unique_ptr<ScriptedServer> cloud;
  std::unique_ptr<LaterProcess> later;
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

// Guards against review/2: a process that started after the restore took the
// lost records for ones that were never written.
TEST_CASE_METHOD(
    LeaderFixture,
    "a process that starts after a restore reports no window twice") {
  AddLeader("first");
  REQUIRE(TickUntil([&] { return busy_windows >= 3; }));
  const int64_t last_before = reports.rbegin()->first;
  store.RestoreEmpty();
  RestartAll("second");
  REQUIRE(TickLaterUntilAfter(last_before + 4));
  CheckNoWindowHasTwoCounts();
  // One more process, which finds what the second has written down.
  const int64_t last_of_second = reports.rbegin()->first;
  RestartAll("third");
  REQUIRE(TickLaterUntilAfter(last_of_second + 2));
  CheckNoWindowHasTwoCounts();
  CHECK(reports.contains(last_of_second + 1));
}

TEST_CASE_METHOD(LeaderFixture,
                 "without a restore the next process goes on where the last "
                 "one ended") {
  AddLeader("first");
  REQUIRE(TickUntil([&] { return busy_windows >= 3; }));
  const int64_t last_before = reports.rbegin()->first;
  RestartAll("second");
  REQUIRE(TickLaterUntilAfter(last_before + 3));
  CheckNoWindowHasTwoCounts();
  for (int64_t window = last_before; window <= last_before + 3; ++window) {
    CHECK(reports.contains(window));
  }
}

TEST_CASE_METHOD(LeaderFixture,
                 "a record of the epoch that can't be read is doubted") {
  AddLeader("first");
  REQUIRE(TickUntil([&] { return busy_windows >= 3; }));
  const int64_t last_before = reports.rbegin()->first;
  store.RestoreEmpty();
  const auto noticed = GENERATE(R"("soon")", "-1", "9223372036854775807");
  store.Put("/objects/store-epochs", "epoch-2",
            std::string(R"({"noticed_ms":)") + noticed + "}");
  RestartAll("second");
  REQUIRE(TickLaterUntilAfter(last_before + 4));
  CheckNoWindowHasTwoCounts();
}

}  // namespace qh
