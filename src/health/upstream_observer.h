/// \file
/// Interface by which the packet path reports events of upstreams to the health
/// controller.
///
/// The request and flow controllers call an UpstreamObserver for each event of
/// the packet path. These events outrank anything that an upstream reports
/// about itself.
///
/// Example:
/// \code
///   observer->onWorkSent(id);
///   ...
///   observer->onAnswer(id, ctx.Time.now() - sentAt);
/// \endcode
#ifndef BORAGEBRIDGE_HEALTH_UPSTREAM_OBSERVER_H
#define BORAGEBRIDGE_HEALTH_UPSTREAM_OBSERVER_H

#include "boragebridge/types.h"

namespace boragebridge {

/// Why an upstream refused work before it ran any of it.
enum class RefusalReason : std::uint8_t {
  Overloaded, ///< All slots or connections are taken.
  Shedding,   ///< The upstream sheds load for now.
  Cold,     ///< The upstream is in cold start and can handle only little work.
  Draining, ///< The upstream takes no new work.
  WrongService, ///< The upstream does not serve the packet's service.
  Unavailable,  ///< The upstream has crashed, or its host refuses the port.
};

/// What an upstream reports about itself. Reports may be late, wrong or
/// missing.
struct UpstreamReport {
  /// Drawn by the upstream when it starts; a new value means that the upstream
  /// was restarted and is cold.
  Incarnation IncarnationNumber{};
  std::uint32_t ActiveRequests = 0;
  std::uint32_t Connections = 0;
  bool Cold = false;
  bool Draining = false;
  auto operator==(const UpstreamReport &) const -> bool = default;
};

/// Receives the events. All calls come from the instance's own thread. An
/// identifier that is not in the configuration is ignored.
class UpstreamObserver {
public:
  UpstreamObserver() = default;
  UpstreamObserver(const UpstreamObserver &) = delete;
  auto operator=(const UpstreamObserver &) -> UpstreamObserver & = delete;
  virtual ~UpstreamObserver() = default;
  /// Called when a request or a new flow was sent to upstream \p id.
  virtual auto onWorkSent(UpstreamId id) -> void = 0;
  /// Called when upstream \p id answered, \p latency after the work was sent.
  virtual auto onAnswer(UpstreamId id, Duration latency) -> void = 0;
  /// Called when upstream \p id refused the work and ran none of it.
  virtual auto onRefusal(UpstreamId id, RefusalReason why) -> void = 0;
  /// Called when upstream \p id did not answer before the deadline of the work.
  virtual auto onTimeout(UpstreamId id) -> void = 0;
  /// Called when upstream \p id reported its own state.
  virtual auto onReport(UpstreamId id, const UpstreamReport &r) -> void = 0;
};

} // namespace boragebridge

#endif
