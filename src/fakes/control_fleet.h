/// \file
/// A fleet of instances that run only the control plane (membership and
/// configuration) against one shared store with injected faults, for tests and
/// benches.
#ifndef BORAGEBRIDGE_FAKES_CONTROL_FLEET_H
#define BORAGEBRIDGE_FAKES_CONTROL_FLEET_H

#include "config/configuration_controller.h"
#include "fakes/fake_platform.h"
#include "fakes/fleet.h"

namespace boragebridge::fakes {

/// The fleet, its store and the faults of the store. Not thread-safe.
class ControlFleet {
public:
  explicit ControlFleet(std::uint64_t seed);

  /// Adds \p n instances named PREFIX0, PREFIX1, ..., distributed over \p dcs
  /// in turn.
  auto addInstances(const std::string &prefix, std::size_t n,
                    const std::vector<std::string> &dcs) -> void;
  /// Returns the configuration controller of instance \p name. Precondition:
  /// the instance is running.
  auto config(const std::string &name) -> ConfigurationController &;
  /// Pauses or resumes instance \p name together with its calls to the store.
  auto setPaused(const std::string &name, bool paused) -> void;
  /// Submits \p request to instance \p name. The state of the returned outcome
  /// is Pending until the outcome is known.
  auto submit(const std::string &name, ChangeRequest request)
      -> std::shared_ptr<const ChangeOutcome>;
  /// Submits \p request and runs the fleet until the outcome is known or
  /// \p limit has passed. The outcome is still Pending in the second case.
  auto change(const std::string &name, ChangeRequest request, Duration limit)
      -> ChangeOutcome;
  /// Returns the lowest revision in force at any running instance.
  auto lowestRevision() -> Revision;
  /// Runs the fleet until revision \p n is in force at every running instance,
  /// at most for \p limit. Returns the time that this took; at least \p limit
  /// when the revision is not in force everywhere by then.
  auto timeToTakeEffect(Revision n, Duration limit) -> Duration;

  PlatformFaults Faults;
  Fleet Nodes;
  ObjectStore Store;
};

/// Makes a change that consists of the urgent operations \p operations,
/// submitted by an actor with a platform-wide role.
auto makeChange(const std::string &id, std::vector<Operation> operations)
    -> ChangeRequest;
/// Makes a change that imports the sheet \p csv. Precondition: the sheet has no
/// errors.
auto makeImport(const std::string &id, const std::string &csv) -> ChangeRequest;
/// Renders a sheet of two services of two teams with \p upstreams hosts in
/// total, distributed over \p dcs in turn.
auto makeSheet(std::size_t upstreams, const std::vector<std::string> &dcs)
    -> std::string;

} // namespace boragebridge::fakes

#endif
