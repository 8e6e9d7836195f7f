#include "boragebridge/instance.h"

#include "request/request_controller.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  all.push_back(makeRequestController(ctx, nullptr));
  return all;
}

} // namespace boragebridge
