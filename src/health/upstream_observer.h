/// \file
/// What the packet path tells the health controller about an upstream.
///
/// The request and flow controllers call an UpstreamObserver for each event
/// that they see; these outrank anything that the upstream reports of itself.
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
  Overloaded,   ///< All slots or connections taken.
  Shedding,     ///< Chooses to take less for now.
  Cold,         ///< In cold start; bears only a little.
  Draining,     ///< Takes nothing new.
  WrongService, ///< It does not serve the service of the packet.
  Unavailable,  ///< It has fallen over, or its host refuses the port.
};

/// What an upstream says of itself. May lag, mislead or go missing.
struct UpstreamReport {
  /// Drawn by the upstream at its start; a new one means a cold upstream.
  Incarnation Number{};
  std::uint32_t ActiveRequests = 0;
  std::uint32_t Connections = 0;
  bool Cold = false;
  bool Draining = false;
  auto operator==(const UpstreamReport &) const -> bool = default;
};

/// Receives the events. All calls come from the instance's own thread; an
/// identifier that the configuration does not hold is ignored.
class UpstreamObserver {
public:
  UpstreamObserver() = default;
  UpstreamObserver(const UpstreamObserver &) = delete;
  auto operator=(const UpstreamObserver &) -> UpstreamObserver & = delete;
  virtual ~UpstreamObserver() = default;
  /// A request or a new flow was sent to upstream \p id.
  virtual auto onWorkSent(UpstreamId id) -> void = 0;
  /// It answered, \p latency after the work was sent.
  virtual auto onAnswer(UpstreamId id, Duration latency) -> void = 0;
  /// It refused the work and ran none of it.
  virtual auto onRefusal(UpstreamId id, RefusalReason why) -> void = 0;
  /// No answer came before the deadline of the work.
  virtual auto onTimeout(UpstreamId id) -> void = 0;
  /// It reported its own state.
  virtual auto onReport(UpstreamId id, const UpstreamReport &r) -> void = 0;
};

} // namespace boragebridge

#endif
