#include "edge_model/time_limited_platform.h"

#include <utility>

namespace boragebridge::edge_model {

TimeLimitedPlatform::TimeLimitedPlatform(std::unique_ptr<PlatformClient> inner,
                                         ModelWorld &world,
                                         CallTimeouts timeouts)
    : Inner(std::move(inner)), World(world), Timeouts(timeouts) {}

template <typename T>
auto TimeLimitedPlatform::withTimeout(Duration d, Callback<T> done)
    -> Callback<T> {
  auto pending = std::make_shared<Callback<T>>(std::move(done));
  World.after(d, [pending, alive = std::weak_ptr<bool>(Alive)] {
    if (!alive.expired() && *pending)
      std::exchange(*pending, nullptr)(
          absl::DeadlineExceededError("platform call timed out"));
  });
  return [pending](absl::StatusOr<T> r) {
    if (*pending)
      std::exchange(*pending, nullptr)(std::move(r));
  };
}

auto TimeLimitedPlatform::get(std::string key, Callback<StoredObject> done)
    -> void {
  Inner->get(std::move(key), withTimeout(Timeouts.Call, std::move(done)));
}

auto TimeLimitedPlatform::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  Inner->list(std::move(prefix), withTimeout(Timeouts.Call, std::move(done)));
}

auto TimeLimitedPlatform::put(std::string key, std::string value,
                              ObjectVersion expected,
                              Callback<ObjectVersion> done) -> void {
  Inner->put(std::move(key), std::move(value), expected,
             withTimeout(Timeouts.Call, std::move(done)));
}

auto TimeLimitedPlatform::remove(std::string key, ObjectVersion expected,
                                 Callback<ObjectVersion> done) -> void {
  Inner->remove(std::move(key), expected,
                withTimeout(Timeouts.Call, std::move(done)));
}

auto TimeLimitedPlatform::watch(std::string prefix, ObjectVersion after,
                                Duration wait, Callback<ObjectList> done)
    -> void {
  Inner->watch(std::move(prefix), after, wait,
               withTimeout(wait + Timeouts.WatchGrace, std::move(done)));
}

} // namespace boragebridge::edge_model
