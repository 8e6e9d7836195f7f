/// \file
/// Finds the parent of an instance that has just started, before the instance
/// reads its views. Without a parent it would read them from the store.
///
/// The parent follows from the list of members. In a running fleet, a snapshot
/// of the list that is some seconds old is good enough, as a parent that has
/// ended is noticed at once. In a new fleet, all instances start at the same
/// time: each registers first, and reads the list when the others had time to
/// register as well.
///
/// Free of I/O; not thread-safe.
#ifndef BORAGEBRIDGE_EDGE_PARENT_DISCOVERY_H
#define BORAGEBRIDGE_EDGE_PARENT_DISCOVERY_H

#include "boragebridge/clock.h"
#include "boragebridge/platform_client.h"

#include <optional>

namespace boragebridge {

struct ParentDiscoveryOptions {
  /// The whole fleet starts for the first time.
  bool IsNewFleet = false;
  /// How long an instance of a new fleet waits after it has registered.
  Duration NewFleetWait = std::chrono::milliseconds(500);
  /// How long the list of members may take. Later, the views are read from the
  /// store.
  Duration ListTimeout = std::chrono::milliseconds(150);
};

class ParentDiscovery {
public:
  /// Registers this instance; its owner calls onRegistered() when that ends.
  using Register = std::function<void()>;
  using ReadMembers = std::function<void(PlatformClient::Callback<ObjectList>)>;
  /// Called at most once, possibly after ListTimeout.
  using OnMembers = std::function<void(const ObjectList &)>;

  /// With an empty \p read, the views may be read at once.
  ParentDiscovery(Register doRegister, ReadMembers read, OnMembers onMembers,
                  ParentDiscoveryOptions opt)
      : DoRegister(std::move(doRegister)), Read(std::move(read)),
        MembersRead(std::move(onMembers)), Options(opt) {}
  ParentDiscovery(const ParentDiscovery &) = delete;
  auto operator=(const ParentDiscovery &) -> ParentDiscovery & = delete;
  ~ParentDiscovery() = default;

  /// Starts the step that is due. Returns whether the views may be read.
  auto tick(TimePoint now) -> bool;
  /// The attempt to register has ended at \p now. \p isNew: this instance was
  /// not registered before. If it was, the fleet is running.
  auto onRegistered(bool isNew, TimePoint now) -> void;

private:
  auto startRead(TimePoint now) -> void;

  Register DoRegister;
  ReadMembers Read;
  OnMembers MembersRead;
  ParentDiscoveryOptions Options;
  bool IsRegistering = false;
  /// When the list of members may be read; unset while a new fleet registers.
  std::optional<TimePoint> ReadFrom;
  std::optional<TimePoint> ReadStarted;
  bool IsRead = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge

#endif
