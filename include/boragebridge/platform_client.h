/// \file
/// The platform's versioned object store, as the core sees it.
///
/// Errors of the store in terms of absl::StatusCode:
///  - NotFound: no such object.
///  - Aborted: the version was not the expected one; nothing was written.
///  - Unavailable: refused or not reached; nothing was written.
///  - DeadlineExceeded: no answer; a write may or may not have taken effect.
///  - FailedPrecondition: a mirror of the store is not sure of its view.
///  - OutOfRange: a watch asks for history that the store no longer keeps.
///  - ResourceExhausted: over the store's or the client's own rate.
#ifndef BORAGEBRIDGE_PLATFORM_CLIENT_H
#define BORAGEBRIDGE_PLATFORM_CLIENT_H

#include "boragebridge/types.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <functional>

namespace boragebridge {

/// Version of one object; the store's counter of writes. 0: does not exist.
using ObjectVersion = std::uint64_t;

/// An object of the store.
struct StoredObject {
  std::string Key;
  std::string Value;
  ObjectVersion Version = 0;
};

/// A change seen by a watch. An empty Value with Removed set is a deletion.
struct ObjectEvent {
  StoredObject Object;
  bool Removed = false;
};

/// What a list or a watch returned, and the store version it is current to.
struct ObjectList {
  std::vector<ObjectEvent> Events;
  ObjectVersion CurrentVersion = 0;
};

/// Asynchronous client of the store. Each call ends with exactly one callback,
/// from the instance's own thread and never from within the call itself. Calls
/// of a client that is destroyed end with no callback.
class PlatformClient {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  PlatformClient() = default;
  PlatformClient(const PlatformClient &) = delete;
  auto operator=(const PlatformClient &) -> PlatformClient & = delete;
  virtual ~PlatformClient() = default;

  /// Reads the object \p key.
  virtual auto get(std::string key, Callback<StoredObject> done) -> void = 0;
  /// Reads all objects whose key starts with \p prefix.
  virtual auto list(std::string prefix, Callback<ObjectList> done) -> void = 0;
  /// Writes \p value when the object's version is \p expected (0: must not
  /// exist). Returns the new version.
  virtual auto put(std::string key, std::string value, ObjectVersion expected,
                   Callback<ObjectVersion> done) -> void = 0;
  /// Removes the object when its version is \p expected.
  virtual auto remove(std::string key, ObjectVersion expected,
                      Callback<ObjectVersion> done) -> void = 0;
  /// Waits up to \p wait for changes below \p prefix after store version
  /// \p after; an empty list when there was none. Counts as one call.
  virtual auto watch(std::string prefix, ObjectVersion after, Duration wait,
                     Callback<ObjectList> done) -> void = 0;
};

} // namespace boragebridge

#endif
