/// \file
/// The baseline of the request experiments: an instance that forwards each
/// request to a random upstream of its service, as a plain load balancer does.
/// It limits no concurrency, ignores health, and repeats an attempt without
/// knowing whether the one before has run.
#ifndef BORAGEBRIDGE_BENCH_BLIND_FORWARDER_H
#define BORAGEBRIDGE_BENCH_BLIND_FORWARDER_H

#include "boragebridge/instance.h"

namespace boragebridge::bench {

/// Returns the controllers of a baseline instance. \p ctx must outlive them.
auto makeBlindForwarder(const ControllerContext &ctx) -> ControllerList;

} // namespace boragebridge::bench

#endif
