// Several copies of the store's objects that take lists, changes and
// confirmations of the store and of each other, in any order and batches: each
// one always holds the state of the store at the version that it claims.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "qh_core/random/rng.h"
#include "qh_gateway/decisions/store/store_mirror.h"

namespace qh {
namespace {

constexpr uint64_t kEpoch = 1;
// Few, so that objects often come and go or change back.
constexpr size_t kNames = 4;
constexpr size_t kContents = 2;
constexpr size_t kMirrors = 4;
constexpr int kSteps = 3'000;
// Revisions of a batch at most, and updates on their way to a mirror.
constexpr uint64_t kMaxBatch = 8;
constexpr size_t kMaxInFlight = 6;

// The store's state at each of its revisions.
class History {
 public:
  explicit History(Rng& rng) : rng_(rng) {}

  // Adds a revision. In a third of them an object of another kind changed.
  void Change() {
    std::map<std::string, std::string> state = states_.back();
    std::optional<StoredObject> change;
    if (rng_.Below(3) > 0) {
      change = {.name = "o" + std::to_string(rng_.Below(kNames)),
                .content = std::to_string(rng_.Below(kContents))};
      change->removed = state.contains(change->name) && rng_.Below(2) == 0;
      state.erase(change->name);
    }
    if (change && !change->removed) {
      state[change->name] = change->content;
    }
    states_.push_back(std::move(state));
    changes_.push_back(std::move(change));
    digests_.push_back(DigestOfLast());
  }

  uint64_t revision() const { return states_.size() - 1; }
  StoreVersion version(uint64_t revision) const { return {kEpoch, revision}; }

  StoreUpdate List(uint64_t revision) const {
    StoreUpdate list{.version = version(revision)};
    for (const auto& [name, content] : states_.at(revision)) {
      list.objects.push_back({.name = name, .content = content});
    }
    return list;
  }
  StoreUpdate Changes(uint64_t since, uint64_t revision) const {
    StoreUpdate update{.version = version(revision), .since = version(since)};
    for (uint64_t at = since + 1; at <= revision; ++at) {
      if (changes_.at(at)) {
        update.objects.push_back(*changes_.at(at));
      }
    }
    return update;
  }
  uint64_t DigestAt(uint64_t revision) const { return digests_.at(revision); }

 private:
  uint64_t DigestOfLast() const {
    StoreMirror mirror;
    REQUIRE(mirror.Take(List(revision())));
    return *mirror.state().digest;
  }

  Rng& rng_;
  std::vector<std::map<std::string, std::string>> states_{{}, {}};
  std::vector<std::optional<StoredObject>> changes_{std::nullopt, std::nullopt};
  std::vector<uint64_t> digests_{0, 0};
};

class Search {
 public:
  explicit Search(uint64_t seed) : rng_(seed), store_(rng_) {}

  // Does one thing, drawn at random; the store changes twice as often as any
  // other thing happens.
  void Step() {
    StoreMirror& mirror = mirrors_[rng_.Below(kMirrors)];
    const StoreMirror& peer = mirrors_[rng_.Below(kMirrors)];
    switch (rng_.Below(7)) {
      case 0:
      case 1:
        store_.Change();
        break;
      case 2:
        Send(store_.List(store_.revision()));
        break;
      case 3:
        SendChanges(mirror);
        break;
      case 4:
        SendFromPeer(mirror, peer);
        break;
      case 5:
        if (&mirror != &peer) {
          mirror.ConfirmBy(peer.state());
        }
        break;
      default:
        Arrive(mirror);
    }
    CheckAll();
  }

 private:
  // What mirrors are sent arrives later, in any order.
  void Send(StoreUpdate update) {
    if (in_flight_.size() < kMaxInFlight) {
      in_flight_.push_back(std::move(update));
    }
  }
  // The store's changes since what some mirror knows, up to some revision.
  void SendChanges(const StoreMirror& mirror) {
    const uint64_t since = mirror.base().revision;
    if (since > 0) {
      const uint64_t later = store_.revision() - since;
      Send(store_.Changes(since,
                          since + rng_.Below(std::min(later, kMaxBatch) + 1)));
    }
  }
  void SendFromPeer(const StoreMirror& mirror, const StoreMirror& peer) {
    if (peer.version().revision == 0) {
      return;
    }
    const StoreVersion since = mirror.base();
    const auto update = StoreMirror::Decode(peer.EncodeSince(since), since);
    REQUIRE(update);
    Send(update.value());
  }
  // An answer reaches the node that asked, or one that is as far.
  void Arrive(StoreMirror& mirror) {
    if (in_flight_.empty()) {
      return;
    }
    const size_t which = rng_.Below(in_flight_.size());
    const StoreUpdate update = in_flight_[which];
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(which));
    taken_ += mirror.Take(update) ? 1 : 0;
  }
  void CheckAll() const {
    for (const StoreMirror& mirror : mirrors_) {
      const uint64_t revision = mirror.version().revision;
      const bool holds =
          revision == 0 || *mirror.state().digest == store_.DigestAt(revision);
      if (!holds) {
        FAIL("a copy differs from the store's state at revision "
             << revision << ", after " << taken_ << " updates");
      }
    }
  }

  Rng rng_;
  History store_;
  std::vector<StoreMirror> mirrors_{kMirrors};
  std::vector<StoreUpdate> in_flight_;
  size_t taken_ = 0;
};

}  // namespace

// Guards against copies whose contents and version part (DRAIN): a peer's
// changes that were not all, or were meant for another version.
TEST_CASE("copies hold the store's state at their version, whoever told them") {
  const uint64_t seed = GENERATE(range(1, 101));
  CAPTURE(seed);
  Search search(seed);
  for (int step = 0; step < kSteps; ++step) {
    search.Step();
  }
}

}  // namespace qh
