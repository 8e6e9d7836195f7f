#include "edge_model/time_limited_platform.h"

#include <utility>

namespace boragebridge::edge_model {

TimeLimitedPlatform::TimeLimitedPlatform(std::unique_ptr<PlatformClient> inner,
                                         ModelWorld &world, CallLimits limits)
    : Inner(std::move(inner)), World(world), Limits(limits) {}

template <typename T>
auto TimeLimitedPlatform::limit(Duration d, Callback<T> done) -> Callback<T> {
  auto open = std::make_shared<Callback<T>>(std::move(done));
  World.after(d, [open, alive = std::weak_ptr<bool>(Alive)] {
    if (!alive.expired() && *open)
      std::exchange(*open,
                    nullptr)(absl::DeadlineExceededError("no answer in time"));
  });
  return [open](absl::StatusOr<T> r) {
    if (*open)
      std::exchange(*open, nullptr)(std::move(r));
  };
}

auto TimeLimitedPlatform::get(std::string key, Callback<StoredObject> done)
    -> void {
  Inner->get(std::move(key), limit(Limits.Call, std::move(done)));
}

auto TimeLimitedPlatform::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  Inner->list(std::move(prefix), limit(Limits.Call, std::move(done)));
}

auto TimeLimitedPlatform::put(std::string key, std::string value,
                              ObjectVersion expected,
                              Callback<ObjectVersion> done) -> void {
  Inner->put(std::move(key), std::move(value), expected,
             limit(Limits.Call, std::move(done)));
}

auto TimeLimitedPlatform::remove(std::string key, ObjectVersion expected,
                                 Callback<ObjectVersion> done) -> void {
  Inner->remove(std::move(key), expected, limit(Limits.Call, std::move(done)));
}

auto TimeLimitedPlatform::watch(std::string prefix, ObjectVersion after,
                                Duration wait, Callback<ObjectList> done)
    -> void {
  Inner->watch(std::move(prefix), after, wait,
               limit(wait + Limits.WatchGrace, std::move(done)));
}

} // namespace boragebridge::edge_model
