/// \file
/// The baseline of the request experiments: an instance that forwards each
/// request to any upstream of its service and retries blindly, as a plain
/// load balancer does.
#ifndef BORAGEBRIDGE_BENCH_BLIND_FORWARDER_H
#define BORAGEBRIDGE_BENCH_BLIND_FORWARDER_H

#include "boragebridge/instance.h"

namespace boragebridge::bench {

/// The controllers of a blindly forwarding instance.
auto makeBlindForwarder(const ControllerContext &ctx) -> ControllerList;

} // namespace boragebridge::bench

#endif
