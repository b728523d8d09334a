// Orders of one owner: stored intent, takeover, wait for the older owner, lost
// answers, refusals. Logs of whole sessions are compared with golden files.

#include "qh_fleet/order_controller.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "fakes/fake_platform.h"

namespace qh {
namespace {

using fakes::FakePlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
const ServerId kChecking("checking");
const ServerId kNotChecking("trusting");
const ServerState kOld = {.model = "m", .version = "1", .role = "serve"};
const ServerState kNew = {.model = "m", .version = "2", .role = "serve"};

// One owner with servers that answer at once. Logs the actions of the owner.
class Session {
 public:
  Session(FakePlatform& store, uint64_t fencing, TimePoint since)
      : store_(store),
        controller_(OrderController::Create("servers-1", OrderSettings(), 7)) {
    lease_ = {.held = true,
              .fencing = fencing,
              .usable_until = since + std::chrono::hours(1),
              .exclusive_since = since};
  }

  std::map<ServerId, ServerState> servers = {{kChecking, kOld},
                                             {kNotChecking, kOld}};
  // Answers to the next orders; further orders are accepted.
  std::vector<OrderReply> replies;
  // Number of puts that are applied but not answered.
  int lost_writes = 0;

  void SendServers(TimePoint now) {
    std::vector<FleetServer> list;
    for (const auto& [id, state] : servers) {
      list.push_back({id, id == kChecking});
    }
    Send({.kind = OrderEventKind::kServers, .servers = list}, now);
  }
  void Run(TimePoint from, TimePoint end) {
    for (TimePoint now = from; now < end; now += milliseconds(500)) {
      Send({}, now);
    }
  }
  void LoseLease(TimePoint now) {
    lease_.held = false;
    Send({}, now);
  }

  OrderController& controller() { return controller_; }
  std::string text() const { return text_.str(); }
  // Returns how often `word` occurs in the log.
  int Count(const std::string& word) const {
    int count = 0;
    const std::string text = text_.str();
    for (size_t at = text.find(word); at != std::string::npos;
         at = text.find(word, at + 1)) {
      ++count;
    }
    return count;
  }

 private:
  void Send(const OrderEvent& event, TimePoint now) {
    for (const OrderAction& action : controller_.Advance(event, lease_, now)) {
      Execute(action, now);
    }
  }

  std::ostream& LogAction(TimePoint now, const OrderAction& action) {
    return text_ << ToSeconds(now - kStart) << " " << ToName(action.kind);
  }

  void Execute(const OrderAction& action, TimePoint now) {
    OrderEvent reply{.token = action.token};
    switch (action.kind) {
      case OrderActionKind::kStore: {
        const bool put = action.request.op == StoreOp::kPut;
        reply.kind = OrderEventKind::kStoreReply;
        reply.store = store_.Apply(action.request);
        if (put && lost_writes > 0) {
          --lost_writes;
          reply.store = {.status = StoreStatus::kAmbiguous};
        }
        LogAction(now, action)
            << " " << ToName(action.request.op) << " " << action.request.key
            << " -> " << ToName(reply.store.status) << "\n";
        break;
      }
      case OrderActionKind::kSendOrder:
        reply.kind = OrderEventKind::kOrderReply;
        reply.order = {OrderOutcome::kAccepted};
        if (!replies.empty()) {
          reply.order = replies.front();
          replies.erase(replies.begin());
        }
        if (reply.order.outcome == OrderOutcome::kAccepted) {
          servers[action.order.server] = action.order.target;
        }
        LogAction(now, action)
            << " " << action.order.id << " fencing " << action.order.fencing
            << " -> " << ToName(reply.order.outcome) << "\n";
        break;
      case OrderActionKind::kReadServer: {
        const auto server = servers.find(action.order.server);
        reply.kind = OrderEventKind::kStateReply;
        reply.state.answered = server != servers.end();
        if (reply.state.answered) {
          reply.state.state = server->second;
        }
        LogAction(now, action)
            << " " << action.order.server.value() << " -> version "
            << reply.state.state.version << "\n";
        break;
      }
      case OrderActionKind::kStepDown:
        LogAction(now, action) << " floor " << action.fencing_floor << "\n";
        return;
      case OrderActionKind::kUpgradeStarted:
      case OrderActionKind::kUpgradeCompleted:
        LogAction(now, action) << " " << action.generation << "\n";
        return;
    }
    Send(reply, now);
  }

  FakePlatform& store_;
  OrderController controller_;
  LeaseView lease_;
  std::ostringstream text_;
};

// Stores a desired state in which both servers run `state`.
void StoreDesired(FakePlatform& store, uint64_t generation, ServerState state) {
  const DesiredState desired = {
      .generation = generation,
      .targets = {{kChecking, state}, {kNotChecking, state}}};
  store.Apply({.op = StoreOp::kPut,
               .key = DesiredKey("servers-1"),
               .body = desired.Encode()});
}

// Compares `text` with tests/golden/`name`.txt. Writes the file first if
// QH_REGENERATE_GOLDEN is set.
void CheckGolden(const std::string& name, const std::string& text) {
  const std::string path =
      std::string(QH_TEST_DATA) + "/golden/" + name + ".txt";
  if (std::getenv("QH_REGENERATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
  }
  std::ifstream file(path);
  std::ostringstream golden;
  golden << file.rdbuf();
  CHECK(golden.str() == text);
}

UpgradeIntent StoredIntent(const FakePlatform& store) {
  const StoreObject* object = store.Find(IntentKey("servers-1"));
  REQUIRE(object != nullptr);
  return UpgradeIntent::Decode(object->body).value();
}

}  // namespace

TEST_CASE("an upgrade runs from the intent to its completion") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(20));
  CHECK(owner.servers[kChecking] == kNew);
  CHECK(owner.servers[kNotChecking] == kNew);
  CHECK(StoredIntent(store).completed);
  CheckGolden("order_upgrade", owner.text());
}

TEST_CASE(
    "a server without fencing gets no order until the older ones expire") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 2, kStart);
  owner.SendServers(kStart);
  const OrderSettings settings;
  const TimePoint safe =
      kStart + settings.order_lifetime + settings.clock_margin;
  owner.Run(kStart, safe);
  CHECK(owner.servers[kChecking] == kNew);
  CHECK(owner.servers[kNotChecking] == kOld);
  owner.Run(safe, safe + seconds(1));
  CHECK(owner.servers[kNotChecking] == kNew);
}

TEST_CASE("the next owner continues from the stored intent at any step") {
  // The first owner fails after this many half seconds.
  for (int steps = 0; steps < 30; ++steps) {
    FakePlatform store;
    StoreDesired(store, 1, kNew);
    Session first(store, 1, kStart);
    first.replies = {{OrderOutcome::kNoAnswer}, {OrderOutcome::kFailed}};
    first.SendServers(kStart);
    first.Run(kStart, kStart + steps * milliseconds(500));
    const TimePoint later = kStart + seconds(60);
    Session second(store, 2, later);
    second.servers = first.servers;
    second.SendServers(later);
    second.Run(later, later + seconds(30));
    INFO("steps " << steps);
    CHECK(StoredIntent(store).completed);
    CHECK(StoredIntent(store).fencing == 2);
    CHECK(second.servers[kChecking] == kNew);
    CHECK(second.servers[kNotChecking] == kNew);
  }
}

TEST_CASE("an intent write without an answer is confirmed by a read") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.lost_writes = 1;
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(30));
  CHECK(StoredIntent(store).completed);
  CHECK(owner.Count("upgrade_started") == 1);
  CheckGolden("order_lost_intent_answer", owner.text());
}

TEST_CASE("an order without an answer is sent again with the same id") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.servers.erase(kNotChecking);
  owner.replies = {{OrderOutcome::kNoAnswer}, {OrderOutcome::kNoAnswer}};
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(60));
  CHECK(owner.Count("servers-1/1/checking fencing 1") == 3);
  CHECK(StoredIntent(store).completed);
}

TEST_CASE("a refusal by a newer fencing number makes the owner step down") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 3, kStart);
  owner.replies = {{OrderOutcome::kRefused, 9}};
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(30));
  CHECK(owner.Count("step_down floor 9") == 1);
  CHECK(owner.Count("send_order") == 1);
  CHECK(owner.controller().state() == UpgradeState::kSteppedDown);
  CheckGolden("order_refused", owner.text());
}

TEST_CASE("a server that lost its state is repaired") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(20));
  owner.servers[kChecking] = kOld;
  owner.Run(kStart + seconds(20), kStart + seconds(80));
  CHECK(owner.servers[kChecking] == kNew);
  CheckGolden("order_repair", owner.text());
}

TEST_CASE("a server that leaves gets no orders and does not block others") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.servers.erase(kNotChecking);
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(20));
  CHECK(StoredIntent(store).completed);
  CHECK(owner.Count("trusting") == 0);
  owner.servers[kNotChecking] = kOld;
  owner.SendServers(kStart + seconds(20));
  owner.Run(kStart + seconds(20), kStart + seconds(25));
  CHECK(owner.servers[kNotChecking] == kNew);
}

TEST_CASE("nothing is sent without the lease") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.SendServers(kStart);
  owner.LoseLease(kStart);
  const std::string before = owner.text();
  owner.Run(kStart, kStart + seconds(60));
  CHECK(owner.text() == before);
}

TEST_CASE("an intent of a newer owner makes the owner step down") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session newer(store, 8, kStart);
  newer.SendServers(kStart);
  newer.Run(kStart, kStart + seconds(1));
  Session older(store, 2, kStart);
  older.SendServers(kStart);
  older.Run(kStart, kStart + seconds(5));
  CHECK(older.Count("send_order") == 0);
  CHECK(older.Count("step_down floor 8") == 1);
}

TEST_CASE("a malformed desired state leaves the intent in force") {
  FakePlatform store;
  StoreDesired(store, 1, kNew);
  Session owner(store, 1, kStart);
  owner.SendServers(kStart);
  owner.Run(kStart, kStart + seconds(20));
  store.Apply({.op = StoreOp::kPut,
               .key = DesiredKey("servers-1"),
               .body = R"({"generation":"2","servers":[]})"});
  owner.servers[kNotChecking] = kOld;
  owner.Run(kStart + seconds(20), kStart + seconds(80));
  CHECK(owner.servers[kNotChecking] == kNew);
  CHECK(StoredIntent(store).generation == 1);
}

}  // namespace qh
