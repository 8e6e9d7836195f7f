/// \file
/// Requests the health statuses of all upstreams from a peer when an instance
/// starts, so that the instance does not treat a warm upstream as cold, nor a
/// cold one as warm.
#ifndef BORAGEBRIDGE_HEALTH_HEALTH_STATUS_SYNC_H
#define BORAGEBRIDGE_HEALTH_HEALTH_STATUS_SYNC_H

#include "boragebridge/random.h"

#include <optional>

namespace boragebridge {

/// A request to send to a peer.
struct SyncRequest {
  Endpoint Peer;
  /// Requests the statuses of upstreams with identifiers above this one.
  UpstreamId After{};
};

/// The state of the synchronization. Not thread-safe.
class HealthStatusSync {
public:
  /// Time to wait for a page before another peer is asked.
  static constexpr Duration PageTimeout = std::chrono::milliseconds(250);
  /// Number of peers that are asked before the instance continues with the
  /// statuses that it has.
  static constexpr std::uint32_t AttemptLimit = 4;
  /// Time to wait until a first peer is known.
  static constexpr Duration FirstPeerTimeout = std::chrono::seconds(1);

  /// Returns the request that is due at \p now, given the live \p peers.
  auto next(TimePoint now, const std::vector<Endpoint> &peers,
            RandomSource &random) -> std::optional<SyncRequest>;
  /// Handles a page of \p count statuses from \p peer; \p last is the last
  /// upstream of the page.
  auto onPage(const Endpoint &peer, std::size_t count, UpstreamId last,
              TimePoint now) -> void;
  /// Returns true once a peer has sent all statuses, or no peer could be
  /// reached.
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
