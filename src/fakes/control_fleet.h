/// \file
/// A fleet of the control plane alone (membership and configuration) with one
/// shared store and its faults, for tests and benches.
#ifndef BORAGEBRIDGE_FAKES_CONTROL_FLEET_H
#define BORAGEBRIDGE_FAKES_CONTROL_FLEET_H

#include "config/configuration_controller.h"
#include "fakes/fake_platform.h"
#include "fakes/fleet.h"

namespace boragebridge::fakes {

/// Not thread-safe.
class ControlFleet {
public:
  explicit ControlFleet(std::uint64_t seed);

  /// Adds \p n instances named PREFIX0, PREFIX1, ... in turn over \p dcs.
  auto addInstances(const std::string &prefix, std::size_t n,
                    const std::vector<std::string> &dcs) -> void;
  /// The configuration controller of a running instance.
  auto config(const std::string &name) -> ConfigurationController &;
  /// Freezes or resumes the instance and its calls to the store.
  auto setPaused(const std::string &name, bool paused) -> void;
  /// Submits to \p name; the outcome stays Pending until it is known.
  auto submit(const std::string &name, ChangeRequest request)
      -> std::shared_ptr<const ChangeOutcome>;
  /// Submits and runs until the outcome is known or \p limit has passed.
  auto change(const std::string &name, ChangeRequest request, Duration limit)
      -> ChangeOutcome;
  /// The lowest revision in force among the running instances.
  auto lowestRevision() -> Revision;
  /// The time until every running instance holds \p n; \p limit when some does
  /// not by then.
  auto timeToTakeEffect(Revision n, Duration limit) -> Duration;

  PlatformFaults Faults;
  Fleet Nodes;
  ObjectStore Store;
};

/// A change of urgent operations by a platform-wide role.
auto makeChange(const std::string &id, std::vector<Operation> operations)
    -> ChangeRequest;
/// An import of \p csv. Precondition: it has no faults.
auto makeImport(const std::string &id, const std::string &csv) -> ChangeRequest;
/// A sheet with \p upstreams hosts of two services of two teams over \p dcs.
auto makeSheet(std::size_t upstreams, const std::vector<std::string> &dcs)
    -> std::string;

} // namespace boragebridge::fakes

#endif
