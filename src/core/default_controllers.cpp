#include "boragebridge/instance.h"

#include "flow/flow_controller.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(makeFlowController(ctx));
  return all;
}

} // namespace boragebridge
