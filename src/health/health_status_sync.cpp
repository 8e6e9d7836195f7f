#include "health/health_status_sync.h"

namespace boragebridge {

auto OpinionSync::next(TimePoint now, const std::vector<Endpoint> &peers,
                       RandomSource &random) -> std::optional<SyncRequest> {
  if (Done)
    return std::nullopt;
  if (!Started)
    Started = now;
  if (Asked && HasPage) {
    HasPage = false;
    AskedAt = now;
    return SyncRequest{*Asked, After};
  }
  if (Asked && now - AskedAt < PageTimeout)
    return std::nullopt;
  if (peers.empty()) {
    Done = now - *Started >= PeerWait;
    return std::nullopt;
  }
  if (Attempts >= AttemptLimit) {
    Done = true;
    return std::nullopt;
  }
  ++Attempts;
  Asked = peers[random.below(peers.size())];
  AskedAt = now;
  return SyncRequest{*Asked, After};
}

auto OpinionSync::onPage(const Endpoint &peer, std::size_t count,
                         UpstreamId last, TimePoint now) -> void {
  if (Done || !Asked || *Asked != peer)
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
