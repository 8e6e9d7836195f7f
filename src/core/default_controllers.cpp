#include "boragebridge/instance.h"

#include "config/configuration_controller.h"
#include "membership/membership_controller.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  ControllerList all;
  auto platform = std::make_shared<BudgetedPlatform>(ctx);
  all.push_back(makeMembershipController(ctx, platform));
  all.push_back(std::make_unique<ConfigurationController>(ctx, platform));
  return all;
}

} // namespace boragebridge
