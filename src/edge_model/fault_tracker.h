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
class Disturbances {
public:
  auto begin(const std::string &part) -> void { ++Parts[part].Open; }
  /// Ends one that was begun.
  auto end(const std::string &part, TimePoint now) -> void {
    auto &it = Parts[part];
    --it.Open;
    it.Last = now;
  }
  /// A disturbance of a moment.
  auto note(const std::string &part, TimePoint now) -> void {
    Parts[part].Last = now;
  }
  /// Whether \p part has not been disturbed for \p span.
  auto isCalm(const std::string &part, TimePoint now, Duration span) const
      -> bool {
    const auto it = Parts.find(part);
    return it == Parts.end() ||
           (it->second.Open == 0 && now - it->second.Last > span);
  }

private:
  struct Part {
    unsigned Open = 0;
    TimePoint Last;
  };
  std::map<std::string, Part> Parts;
};

} // namespace boragebridge::edge_model

#endif
