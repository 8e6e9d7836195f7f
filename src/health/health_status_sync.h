/// \file
/// At its start, an instance asks a peer for the opinions that the fleet holds,
/// so that it does not take a warm upstream for a cold one, nor the reverse.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_STATUS_SYNC_H
#define BORAGEBRIDGE_HEALTH_HEALTH_STATUS_SYNC_H

#include "boragebridge/random.h"

#include <optional>

namespace boragebridge {

/// A request to send.
struct SyncRequest {
  Endpoint Peer;
  UpstreamId After{};
};

/// The state of the exchange. Not thread-safe.
class HealthStatusSync {
public:
  /// Wait for a page before another peer is asked.
  static constexpr Duration PageTimeout = std::chrono::milliseconds(250);
  /// Peers that are asked before the instance goes on with what it has.
  static constexpr std::uint32_t AttemptLimit = 4;
  /// Wait for a first peer to become known.
  static constexpr Duration FirstPeerTimeout = std::chrono::seconds(1);

  /// The request that is due at \p now, given the live \p peers.
  auto next(TimePoint now, const std::vector<Endpoint> &peers,
            RandomSource &random) -> std::optional<SyncRequest>;
  /// A page of \p count opinions, the last on \p last, came from \p peer.
  auto onPage(const Endpoint &peer, std::size_t count, UpstreamId last,
              TimePoint now) -> void;
  /// True once a peer has told everything, or none could be reached.
  auto isDone() const -> bool { return Done; }

private:
  bool Done = false;
  bool HasPage = false;
  std::optional<TimePoint> StartedAt;
  std::optional<Endpoint> AskedPeer;
  UpstreamId After{};
  TimePoint AskedAt;
  std::uint32_t Attempts = 0;
};

} // namespace boragebridge

#endif
