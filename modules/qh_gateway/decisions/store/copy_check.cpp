#include "qh_gateway/decisions/store/copy_check.h"

#include <algorithm>

namespace qh {

void CopyCheck::OnPeer(const std::string& peer,
                       const MirrorState& told,
                       const MirrorState& own,
                       TimePoint now) {
  if (!told.digest || told.version.revision == 0 || own.version.revision == 0) {
    return;
  }
  const bool agrees = *told.digest == *own.digest;
  if (!agrees && told.version != own.version) {
    // The difference may be what happened between the versions.
    return;
  }
  peers_[peer] = {.differs = !agrees, .heard_at = now};
}

bool CopyCheck::AnyPeer(bool differs, TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.differs == differs && now - peer.heard_at < kPeerLifetime;
  });
}

bool CopyCheck::TakeDue(bool follows_store, TimePoint now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard_at >= kPeerLifetime;
  });
  if (!AnyPeer(true, now)) {
    differs_since_.reset();
    // Only a pause without a difference shows that the last reading has helped.
    if (now >= no_reading_before_) {
      pause_ = kFirstPause;
    }
    return false;
  }
  if (!differs_since_) {
    differs_since_ = now;
    jitter_ = rng_.Between(Duration::zero(), kMaxJitter);
  }
  Duration delay = AnyPeer(false, now) ? kSupportedDelay : kAloneDelay;
  if (!follows_store) {
    delay = kCopyingDelay;
  }
  if (now < *differs_since_ + delay + jitter_ || now < no_reading_before_) {
    return false;
  }
  no_reading_before_ = now + pause_;
  pause_ = std::min<Duration>(2 * pause_, kMaxPause);
  differs_since_.reset();
  peers_.clear();
  return true;
}

}  // namespace qh
