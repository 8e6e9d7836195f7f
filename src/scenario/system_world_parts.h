/// \file
/// Nested types of SystemWorld, private to its implementation.
#ifndef BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_PARTS_H
#define BORAGEBRIDGE_SCENARIO_SYSTEM_WORLD_PARTS_H

#include "scenario/system_world.h"

namespace boragebridge::scenario {

/// One long-lived flow of a caller.
struct SystemWorld::Flow {
  FlowKey Key;
  std::string DataCentre;
  std::optional<std::size_t> Host;
  TimePoint NextSend;
  TimePoint LastAnswer;
  bool IsEstablished = false;
  bool IsBroken = false;
  /// The flow may break: its upstream has ended or crashed, or the data centre
  /// of its upstream was withdrawn.
  bool IsExcused = false;

  auto isOpen() const -> bool { return !IsBroken; }
  auto markBroken(WorldCounts &counts) -> void {
    IsBroken = true;
    ++(IsExcused ? counts.FlowsExcused : counts.FlowsBroken);
  }
};

/// An accepted change that must be in force within EffectTimeLimit.
struct SystemWorld::AcceptedChange {
  Revision RevisionNumber{};
  TimePoint At;
  bool IsChecked = false;
};

} // namespace boragebridge::scenario

#endif
