#include "boragebridge/instance.h"

#include "health/health_controller.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(makeHealthController(ctx));
  return all;
}

} // namespace boragebridge
