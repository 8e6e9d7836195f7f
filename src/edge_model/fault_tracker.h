/// \file
/// What is disturbed now and until when something was: the bounds of the
/// promises hold for parts that have been calm for a while.
#ifndef BORAGEBRIDGE_EDGE_MODEL_FAULT_TRACKER_H
#define BORAGEBRIDGE_EDGE_MODEL_FAULT_TRACKER_H

#include "boragebridge/types.h"

#include <map>
#include <string>

namespace boragebridge::edge_model {

/// Parts are told apart by name. Not thread-safe.
class FaultTracker {
public:
  auto begin(const std::string &component) -> void {
    ++Components[component].Active;
  }
  /// Ends one that was begun.
  auto end(const std::string &component, TimePoint now) -> void {
    auto &it = Components[component];
    --it.Active;
    it.LastAffected = now;
  }
  /// A disturbance of a moment.
  auto recordFault(const std::string &component, TimePoint now) -> void {
    Components[component].LastAffected = now;
  }
  /// Whether \p component has not been disturbed for \p span.
  auto isUnaffected(const std::string &component, TimePoint now,
                    Duration span) const -> bool {
    const auto it = Components.find(component);
    return it == Components.end() ||
           (it->second.Active == 0 && now - it->second.LastAffected > span);
  }

private:
  struct Component {
    unsigned Active = 0;
    TimePoint LastAffected;
  };
  std::map<std::string, Component> Components;
};

} // namespace boragebridge::edge_model

#endif
