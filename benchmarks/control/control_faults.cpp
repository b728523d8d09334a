#include "benchmarks/control/control_faults.h"

namespace qh::control {
namespace {

constexpr double kBurstLoss = 0.15;
constexpr double kAnswerLoss = 0.02;
constexpr double kLateWatches = 0.05;
constexpr size_t kMinNodes = 3;

}  // namespace

ControlFaults::ControlFaults(ControlWorld& world, const FaultRates& rates)
    : world_(world), rates_(rates) {}

void ControlFaults::Start(TimePoint end) {
  end_ = end;
  world_.store().set_answer_loss(kAnswerLoss);
  world_.store().set_late_watches(kLateWatches);
  Repeat(PerNode(rates_.kill), [this] { KillAndReplace(PickNode()); });
  Repeat(PerNode(rates_.restart), [this] { world_.Restart(PickNode()); });
  Repeat(PerNode(rates_.pause), [this] { PauseNode(); });
  Repeat(PerNode(rates_.node_notice), [this] { NoticeNode(); });
  Repeat(PerNode(rates_.server_notice), [this] { NoticeServer(); });
  Repeat(rates_.partition, [this] { Partition(); });
  Repeat(rates_.store_cut, [this] { CutStore(); });
  Repeat(rates_.store_outage, [this] { StoreOutage(); });
  Repeat(rates_.loss_burst, [this] { LossBurst(); });
  Repeat(rates_.domain_reclaim, [this] { ReclaimDomain(); });
  After(end - world_.now(), [this] {
    world_.store().set_answer_loss(0);
    world_.store().set_late_watches(0);
  });
}

Duration ControlFaults::PerNode(Duration mean) const {
  return FromSeconds(ToSeconds(mean) * 25 /
                     static_cast<double>(world_.options().nodes));
}

void ControlFaults::After(Duration wait, std::function<void()> action) {
  world_.network().At(world_.now() + wait, std::move(action));
}

void ControlFaults::Repeat(Duration mean, std::function<void()> fault) {
  const Duration wait = FromSeconds(world_.rng().Exponential(ToSeconds(mean)));
  After(wait, [this, mean, fault = std::move(fault)] {
    if (world_.now() >= end_) {
      return;
    }
    if (world_.live_ids().size() > kMinNodes) {
      fault();
    }
    Repeat(mean, fault);
  });
}

InstanceId ControlFaults::PickNode() {
  const auto ids = world_.live_ids();
  return ids[world_.rng().Below(ids.size())];
}

FailureDomainId ControlFaults::PickDomain() {
  return world_.DomainAt(world_.rng().Below(world_.options().domains));
}

Duration ControlFaults::Between(double low_s, double high_s) {
  return world_.rng().Between(FromSeconds(low_s), FromSeconds(high_s));
}

void ControlFaults::KillAndReplace(const InstanceId& id) {
  const FailureDomainId domain = world_.Find(id)->self().failure_domain;
  world_.Kill(id);
  After(Between(1, 20), [this, domain] { world_.StartNode(domain); });
}

void ControlFaults::PauseNode() {
  world_.Pause(PickNode(), Between(0.5, 30));
}

void ControlFaults::NoticeNode() {
  const InstanceId id = PickNode();
  world_.NoticeNode(id);
  After(Between(3, 20), [this, id] {
    if (world_.Find(id) != nullptr) {
      KillAndReplace(id);
    }
  });
}

void ControlFaults::NoticeServer() {
  const auto cells = world_.cells();
  const uint32_t cell = cells[world_.rng().Below(cells.size())];
  const ServerId server("server-" + std::to_string(next_server_++));
  world_.NoticeServer(cell, server, true);
  if (world_.rng().Chance(0.3)) {
    After(Between(1, 30),
          [this, cell, server] { world_.NoticeServer(cell, server, false); });
  }
}

void ControlFaults::Partition() {
  const FailureDomainId domain = PickDomain();
  world_.IsolateDomain(domain, true);
  const bool from_store = world_.rng().Chance(0.5);
  if (from_store) {
    world_.CutStore(domain, true);
  }
  After(Between(5, 60), [this, domain, from_store] {
    world_.IsolateDomain(domain, false);
    if (from_store) {
      world_.CutStore(domain, false);
    }
  });
}

void ControlFaults::CutStore() {
  const FailureDomainId domain = PickDomain();
  world_.CutStore(domain, true);
  After(Between(5, 40), [this, domain] { world_.CutStore(domain, false); });
}

void ControlFaults::StoreOutage() {
  if (world_.store().is_down()) {
    return;
  }
  world_.SetStoreDown(true);
  After(Between(3, 50), [this] { world_.SetStoreDown(false); });
}

void ControlFaults::LossBurst() {
  world_.network().set_loss(kBurstLoss);
  After(Between(2, 15),
        [this] { world_.network().set_loss(world_.options().loss); });
}

void ControlFaults::ReclaimDomain() {
  const FailureDomainId domain = PickDomain();
  const bool announced = world_.rng().Chance(0.5);
  for (const InstanceId& id : world_.live_ids(domain)) {
    if (announced) {
      world_.NoticeNode(id);
    }
    After(announced ? Between(4, 6) : Duration::zero(), [this, id] {
      if (world_.Find(id) != nullptr && world_.live_ids().size() > kMinNodes) {
        KillAndReplace(id);
      }
    });
  }
}

}  // namespace qh::control
