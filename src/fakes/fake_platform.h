/// \file
/// The platform as one instance reaches it, on the manual clock, with faults.
#ifndef BORAGEBRIDGE_FAKES_FAKE_PLATFORM_H
#define BORAGEBRIDGE_FAKES_FAKE_PLATFORM_H

#include "boragebridge/controller.h"
#include "fakes/fake_network.h"
#include "fakes/object_store.h"

#include <set>

namespace boragebridge::fakes {

/// What goes wrong now; shared by all instances and changed by the test.
struct PlatformFaults {
  /// Every call ends with Unavailable.
  bool Down = false;
  /// One-way delay.
  Duration Delay = std::chrono::milliseconds(2);
  /// Share of calls refused with Unavailable.
  double RefusedShare = 0;
  /// Share of calls that take effect and are never answered.
  double LostAnswerShare = 0;
  /// Open watches are never answered.
  bool UnansweredWatches = false;
  /// Calls from these data centres vanish.
  std::set<DataCentreId> CutOff;
  /// Calls from these data centres wait until they are taken out again, as do
  /// their answers: what a connection does through a short cut.
  std::set<DataCentreId> DelayedDataCentres;
  /// Instances that are paused; their answers wait until they resume.
  std::set<InstanceId> Paused;
};

/// Client of a shared ObjectStore. Every reference outlives it, and the
/// network's timers may outlive the client. Not thread-safe.
class FakePlatform final : public PlatformClient {
public:
  FakePlatform(ObjectStore &store, FakeNetwork &timer,
               const PlatformFaults &faults, const InstanceIdentity &self);
  ~FakePlatform() override;

  auto get(std::string key, Callback<StoredObject> done) -> void override;
  auto list(std::string prefix, Callback<ObjectList> done) -> void override;
  auto put(std::string key, std::string value, ObjectVersion expected,
           Callback<ObjectVersion> done) -> void override;
  auto remove(std::string key, ObjectVersion expected,
              Callback<ObjectVersion> done) -> void override;
  auto watch(std::string prefix, ObjectVersion after, Duration wait,
             Callback<ObjectList> done) -> void override;

private:
  /// Runs \p f after the delay, unless the client is gone or cut off.
  auto later(std::function<void()> f) -> void;
  /// Like later(), but not while the instance is paused.
  auto reply(std::function<void()> f) -> void;
  auto isRefused() -> bool;
  template <typename T, typename Operation>
  auto call(Callback<T> done, Operation op) -> void;
  template <typename T>
  auto answer(Callback<T> done, absl::StatusOr<T> r) -> void;

  ObjectStore &Store;
  FakeNetwork &Timer;
  const PlatformFaults &Faults;
  SeededRandom Random;
  InstanceId Id;
  DataCentreId DataCentre;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge::fakes

#endif
