/// \file
/// Private parts of SystemWorld.
#ifndef BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_PARTS_H
#define BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_PARTS_H

#include "scenario/system_world.h"

namespace boragebridge::scenario {

/// One long connection.
struct SystemWorld::Flow {
  FlowKey Key;
  std::string DataCentre;
  std::optional<std::size_t> Host;
  TimePoint NextSend;
  TimePoint LastAnswer;
  bool IsEstablished = false;
  bool IsBroken = false;
  /// Its upstream is gone, or its upstream's data centre was taken out.
  bool IsExcused = false;

  auto isOpen() const -> bool { return !IsBroken; }
  auto markBroken(WorldCounts &counts) -> void {
    IsBroken = true;
    ++(IsExcused ? counts.FlowsExcused : counts.FlowsBroken);
  }
};

/// A change that has to be in force in time.
struct SystemWorld::AcceptedChange {
  Revision RevisionNumber{};
  TimePoint At;
  bool IsChecked = false;
};

} // namespace boragebridge::scenario

#endif
