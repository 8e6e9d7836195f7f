#include "boragebridge/instance.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  static_cast<void>(ctx);
  ControllerList all;
  return all;
}

} // namespace boragebridge
