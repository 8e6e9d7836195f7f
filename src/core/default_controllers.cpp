#include "boragebridge/instance.h"

#include "config/configuration_controller.h"
#include "flow/flow_controller.h"
#include "health/health_controller.h"
#include "membership/membership_controller.h"
#include "request/request_controller.h"

namespace boragebridge {

auto makeDefaultControllers(const ControllerContext &ctx) -> ControllerList {
  auto platform = std::make_shared<BudgetedPlatform>(ctx);
  auto health = makeHealthController(ctx);
  auto *observer = health.get();
  ControllerList all;
  all.push_back(makeMembershipController(ctx, platform));
  all.push_back(std::make_unique<ConfigurationController>(ctx, platform));
  all.push_back(std::move(health));
  all.push_back(makeFlowController(ctx));
  all.push_back(makeRequestController(ctx, observer));
  return all;
}

} // namespace boragebridge
