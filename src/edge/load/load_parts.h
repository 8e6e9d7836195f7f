/// \file
/// Which of the parts that decide under load are in use.
#ifndef BORAGEBRIDGE_EDGE_LOAD_LOAD_PARTS_H
#define BORAGEBRIDGE_EDGE_LOAD_LOAD_PARTS_H

namespace boragebridge {

/// A plain value; safe to use from any thread.
struct LoadParts {
  /// Learned limits and response times decide where flows go under pressure.
  /// Without it the other parts have no effect.
  bool Limits = true;
  /// Less urgent flows are turned away, and upstreams reserved for urgent ones.
  bool Admission = true;
  /// Flows go to another data centre when it answers sooner. Without it, only
  /// if the local one has no upstream.
  bool Overflow = true;

  auto operator==(const LoadParts &) const -> bool = default;
};

} // namespace boragebridge

#endif
