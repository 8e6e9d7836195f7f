/// \file
/// The blackboard: one typed, versioned section per subject. Each section is
/// written by the one controller that owns it and read by all others.
///
/// Example:
/// \code
///   auto cfg = board.Configuration.read();
///   if (board.Configuration.version() != Seen) rebuild(*cfg);
/// \endcode
#ifndef BORAGEBRIDGE_BLACKBOARD_H
#define BORAGEBRIDGE_BLACKBOARD_H

#include "boragebridge/configuration.h"

#include <memory>
#include <unordered_map>

namespace boragebridge {

/// The state of one subject. Readers hold immutable snapshots. All calls come
/// from the instance's own thread; a snapshot may be read from any thread.
template <typename T> class Section {
public:
  /// The newest snapshot; never null.
  auto read() const -> std::shared_ptr<const T> { return Current; }
  /// Incremented by each publish().
  auto version() const -> std::uint64_t { return Version; }
  /// Replaces the snapshot. Precondition: the caller owns the section.
  auto publish(T v) -> void {
    Current = std::make_shared<const T>(std::move(v));
    ++Version;
  }

private:
  std::shared_ptr<const T> Current = std::make_shared<const T>();
  std::uint64_t Version = 0;
};

/// State of an instance as the membership controller records it.
enum class MemberState : std::uint8_t {
  Alive,
  Suspect, ///< Does not respond; still counts as live for placement.
  Leaving, ///< Announced a planned stop; accepts no new work.
  Dead,
};

/// An instance of the fleet. The local instance is a member too.
struct Member {
  InstanceId Id{};
  Incarnation IncarnationNumber{};
  DataCentreId DataCentre{};
  Endpoint PeerAddress;
  MemberState State = MemberState::Alive;
  auto operator==(const Member &) const -> bool = default;
};

/// Owned by the membership controller. Sorted by Id. Dead members stay in the
/// view for a limited time.
struct MembershipView {
  std::vector<Member> Members;
  /// The member with identifier \p id, or null.
  auto find(InstanceId id) const -> const Member *;
};

/// Whether an upstream can take new work, as far as this instance has
/// learned.
enum class UpstreamFitness : std::uint8_t { Cold, Warming, Ready, Unfit };

/// Health of one upstream. Owned by the health controller.
struct UpstreamHealth {
  UpstreamFitness Fitness = UpstreamFitness::Cold;
  /// Share of its full load that the upstream may receive now, from 0 to 1.
  /// New flows are distributed by Ramp times SpeedPercent. A cold upstream has
  /// a small Ramp above 0, so that new flows can warm it up, and 0 while it
  /// waits for its next trial.
  double Ramp = 0;
  /// Measured speed relative to an ordinary host, in percent.
  double SpeedPercent = 100;
  /// Whether this instance may send the upstream new requests. While the
  /// upstream is Cold or Warming, only one instance of the fleet may, and the
  /// limit on concurrent requests is max(1, Slots times Ramp).
  bool MayAdmit = false;
  auto operator==(const UpstreamHealth &) const -> bool = default;
};

/// Health of every upstream of the configuration. Owned by the health
/// controller.
struct HealthView {
  std::unordered_map<UpstreamId, UpstreamHealth> Upstreams;
};

/// Load of each service, from 0 (idle) to 1 (new work is refused). Owned by the
/// request controller.
struct OverloadView {
  std::unordered_map<ServiceId, double> Pressure;
};

/// Whether this instance may serve traffic and accept changes. Owned by the
/// configuration controller.
struct ServiceReadiness {
  bool MayServe = false;
  bool PlatformReachable = false;
};

/// All sections of one instance.
class Blackboard {
public:
  Section<boragebridge::Configuration> Configuration;
  Section<ServiceReadiness> Readiness;
  Section<MembershipView> Membership;
  Section<HealthView> Health;
  Section<OverloadView> Overload;
};

} // namespace boragebridge

#endif
