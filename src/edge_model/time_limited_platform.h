/// \file
/// Gives each call of a PlatformClient a time limit, as a real client has: one
/// that is not answered in time ends with DeadlineExceeded, and what comes
/// later is left out.
#ifndef BORAGEBRIDGE_EDGE_MODEL_TIME_LIMITED_PLATFORM_H
#define BORAGEBRIDGE_EDGE_MODEL_TIME_LIMITED_PLATFORM_H

#include "boragebridge/platform_client.h"
#include "edge_model/model_world.h"

namespace boragebridge::edge_model {

struct CallTimeouts {
  Duration Call = std::chrono::milliseconds(1500);
  /// What a watch may take beyond its wait.
  Duration WatchGrace = std::chrono::milliseconds(1000);
};

/// Not thread-safe.
class TimeLimitedPlatform final : public PlatformClient {
public:
  /// \p world outlives every call.
  TimeLimitedPlatform(std::unique_ptr<PlatformClient> inner, ModelWorld &world,
                      CallTimeouts timeouts);

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

private:
  template <typename T>
  auto withTimeout(Duration d, Callback<T> done) -> Callback<T>;

  std::unique_ptr<PlatformClient> Inner;
  ModelWorld &World;
  CallTimeouts Timeouts;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge::edge_model

#endif
