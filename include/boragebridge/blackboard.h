/// \file
/// The blackboard: one typed, versioned section for each subject. A controller
/// owns one section, writes it, and reads the others.
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

/// One subject. Readers hold immutable snapshots. All calls come from the
/// instance's own thread; a snapshot itself may be read from any thread.
template <typename T> class Section {
public:
  /// The newest snapshot; never null.
  auto read() const -> std::shared_ptr<const T> { return Current; }
  /// Rises by one with each publish.
  auto version() const -> std::uint64_t { return Version; }
  /// Replaces the snapshot. Only the owning controller calls this.
  auto publish(T v) -> void {
    Current = std::make_shared<const T>(std::move(v));
    ++Version;
  }

private:
  std::shared_ptr<const T> Current = std::make_shared<const T>();
  std::uint64_t Version = 0;
};

/// How the membership controller sees another instance.
enum class MemberState : std::uint8_t {
  Alive,
  Suspect, ///< Not heard of; still counted as live for placement.
  Leaving, ///< Announced a planned stop; takes nothing new.
  Dead,
};

/// An instance of the fleet, this one included.
struct Member {
  InstanceId Id{};
  Incarnation IncarnationNumber{};
  DataCentreId DataCentre{};
  Endpoint PeerAddress;
  MemberState State = MemberState::Alive;
  auto operator==(const Member &) const -> bool = default;
};

/// Owner: membership. Sorted by Id; holds dead members for a while.
struct MembershipView {
  std::vector<Member> Members;
  auto find(InstanceId id) const -> const Member *;
};

/// What is believed of one upstream's fitness for new work.
enum class UpstreamFitness : std::uint8_t { Cold, Warming, Ready, Unfit };

/// Owner: upstream health.
struct UpstreamHealth {
  UpstreamFitness Fitness = UpstreamFitness::Cold;
  /// Share of full load it may get now, from 0 to 1. New flows follow Ramp
  /// times SpeedPercent; a cold upstream has a small one, so that new flows
  /// can warm it.
  double Ramp = 0;
  /// Measured speed relative to an ordinary host, in percent.
  double SpeedPercent = 100;
  /// Whether this instance may send it new requests. While it is Cold or
  /// Warming that is one instance of the fleet, and the fleet's permits for it
  /// are max(1, Slots times Ramp), all at that instance.
  bool MayAdmit = false;
  auto operator==(const UpstreamHealth &) const -> bool = default;
};

/// Health of every upstream of the configuration.
struct HealthView {
  std::unordered_map<UpstreamId, UpstreamHealth> Upstreams;
};

/// Owner: overload. Levels from 0 (idle) to 1 (refusing).
struct OverloadView {
  std::unordered_map<ServiceId, double> Pressure;
};

/// Owner: configuration. Whether this instance may serve and accept changes.
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
