#include "health/health_status_sync.h"

namespace boragebridge {

auto HealthStatusSync::next(TimePoint now, const std::vector<Endpoint> &peers,
                            RandomSource &random)
    -> std::optional<SyncRequest> {
  if (Done)
    return std::nullopt;
  if (!StartedAt)
    StartedAt = now;
  if (AskedPeer && HasPage) {
    HasPage = false;
    AskedAt = now;
    return SyncRequest{*AskedPeer, After};
  }
  if (AskedPeer && now - AskedAt < PageTimeout)
    return std::nullopt;
  if (peers.empty()) {
    Done = now - *StartedAt >= FirstPeerTimeout;
    return std::nullopt;
  }
  if (Attempts >= AttemptLimit) {
    Done = true;
    return std::nullopt;
  }
  ++Attempts;
  AskedPeer = peers[random.below(peers.size())];
  AskedAt = now;
  return SyncRequest{*AskedPeer, After};
}

auto HealthStatusSync::onPage(const Endpoint &peer, std::size_t count,
                              UpstreamId last, TimePoint now) -> void {
  if (Done || !AskedPeer || *AskedPeer != peer)
    return;
  if (count == 0) {
    Done = true;
    return;
  }
  After = last;
  HasPage = true;
  AskedAt = now;
}

} // namespace boragebridge
