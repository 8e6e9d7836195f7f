/// \file
/// Metrics of the memory of an edge process.
#ifndef BORAGEBRIDGE_EDGE_MEMORY_GAUGES_H
#define BORAGEBRIDGE_EDGE_MEMORY_GAUGES_H

namespace boragebridge {

class MetricRegistry;
class ObjectMirror;

/// Sets the gauges of the heap and of \p mirror to the present values. Not
/// thread-safe.
auto setMemoryGauges(MetricRegistry &metrics, const ObjectMirror &mirror)
    -> void;

} // namespace boragebridge

#endif
