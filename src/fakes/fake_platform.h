/// \file
/// A fake of the platform's client as one instance has it, on a manual clock,
/// with injected faults.
#ifndef BORAGEBRIDGE_FAKES_FAKE_PLATFORM_H
#define BORAGEBRIDGE_FAKES_FAKE_PLATFORM_H

#include "boragebridge/controller.h"
#include "fakes/fake_network.h"
#include "fakes/object_store.h"

#include <set>

namespace boragebridge::fakes {

/// The faults in effect. All instances share them, and the test changes them at
/// any time.
struct PlatformFaults {
  /// Every call fails with Unavailable, and watches that are open are not
  /// answered.
  bool Down = false;
  /// One-way delay.
  Duration Delay = std::chrono::milliseconds(2);
  /// Share of calls that fail with Unavailable without taking effect.
  double RefusedShare = 0;
  /// Share of calls that take effect and are never answered.
  double LostAnswerShare = 0;
  /// Watches are accepted and not answered, including those that were opened
  /// before the fault.
  bool UnansweredWatches = false;
  /// Calls from these data centres, and answers to them, are lost.
  std::set<DataCentreId> CutOff;
  /// Calls from these data centres, and answers to them, are delayed until the
  /// data centre is removed from this set, as on a TCP connection that survives
  /// a short network cut.
  std::set<DataCentreId> DelayedDataCentres;
  /// Instances that are paused. Answers to them are delivered once they
  /// resume.
  std::set<InstanceId> Paused;
};

/// Client of a shared ObjectStore. The store, the network and the faults must
/// outlive the client; timers that the client started in the network may fire
/// after its destruction. Not thread-safe.
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

  /// The next answer that tells a watch of \p prefix of changes is lost. Calls
  /// \p onLost, which may be empty, when that happens.
  auto loseNextWatchAnswer(const std::string &prefix,
                           std::function<void()> onLost) -> void {
    LosesNextAnswer[prefix] = std::move(onLost);
  }

private:
  /// Runs \p f after the delay, unless the client has been destroyed or its
  /// data centre is cut off by then.
  auto later(std::function<void()> f) -> void;
  /// Like later(), but waits until the instance is not paused.
  auto reply(std::function<void()> f) -> void;
  auto isRefused() -> bool;
  /// Whether \p r, the answer to a watch of \p prefix that waited, is lost.
  auto isAnswerLost(const std::string &prefix,
                    const absl::StatusOr<ObjectList> &r) -> bool;
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
  /// The prefixes whose next watch with changes is not answered.
  std::map<std::string, std::function<void()>> LosesNextAnswer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace boragebridge::fakes

#endif
