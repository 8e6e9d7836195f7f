/// \file
/// Records which components of the model a fault affects now, and until when a
/// fault last affected them. A rule with a time bound applies only to
/// components that no fault has affected for some time.
#ifndef BORAGEBRIDGE_EDGE_MODEL_FAULT_TRACKER_H
#define BORAGEBRIDGE_EDGE_MODEL_FAULT_TRACKER_H

#include "boragebridge/types.h"

#include <map>
#include <string>

namespace boragebridge::edge_model {

/// Components are identified by name. A component may be affected by several
/// faults at once. Not thread-safe.
class FaultTracker {
public:
  /// A fault begins to affect \p component.
  auto begin(const std::string &component) -> void {
    ++Components[component].Active;
  }
  /// A fault that was reported by begin() ends at \p now.
  auto end(const std::string &component, TimePoint now) -> void {
    auto &state = Components[component];
    --state.Active;
    state.LastAffected = now;
  }
  /// A fault without duration affects \p component at \p now.
  auto recordFault(const std::string &component, TimePoint now) -> void {
    Components[component].LastAffected = now;
  }
  /// Returns whether no fault has affected \p component during the last \p
  /// span.
  auto isUnaffected(const std::string &component, TimePoint now,
                    Duration span) const -> bool {
    const auto it = Components.find(component);
    return it == Components.end() ||
           (it->second.Active == 0 && now - it->second.LastAffected > span);
  }

private:
  /// Faults of one component.
  struct Component {
    unsigned Active = 0;
    TimePoint LastAffected;
  };
  std::map<std::string, Component> Components;
};

} // namespace boragebridge::edge_model

#endif
