/// \file
/// Adds a timeout to each call of a PlatformClient, as a real client has. A
/// call that is not answered in time ends with DeadlineExceeded; a later answer
/// is dropped.
#ifndef BORAGEBRIDGE_EDGE_MODEL_TIME_LIMITED_PLATFORM_H
#define BORAGEBRIDGE_EDGE_MODEL_TIME_LIMITED_PLATFORM_H

#include "boragebridge/platform_client.h"
#include "edge_model/model_world.h"

namespace boragebridge::edge_model {

/// Timeouts of the calls of one client.
struct CallTimeouts {
  /// Timeout of every call except a watch.
  Duration Call = std::chrono::milliseconds(1500);
  /// Time that a watch may take beyond the wait that its caller asked for.
  Duration WatchGrace = std::chrono::milliseconds(1000);
};

/// Forwards all calls to another client. A call that is open when the object is
/// destroyed gets no timeout any more. Not thread-safe.
class TimeLimitedPlatform final : public PlatformClient {
public:
  /// \p world must outlive every call.
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
  /// Returns a callback that calls \p done once: with the first answer, or with
  /// DeadlineExceeded after \p d.
  template <typename T>
  auto withTimeout(Duration d, Callback<T> done) -> Callback<T>;

  std::unique_ptr<PlatformClient> Inner;
  ModelWorld &World;
  CallTimeouts Timeouts;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge::edge_model

#endif
