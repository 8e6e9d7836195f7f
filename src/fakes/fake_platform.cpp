#include "fakes/fake_platform.h"

namespace boragebridge::fakes {

FakePlatform::FakePlatform(ObjectStore &store, FakeNetwork &timer,
                           const PlatformFaults &faults,
                           const InstanceIdentity &self)
    : Store(store), Timer(timer), Faults(faults),
      Random(raw(self.IncarnationNumber)), Id(self.Id),
      DataCentre(self.DataCentre) {}

FakePlatform::~FakePlatform() = default;

auto FakePlatform::later(std::function<void()> f) -> void {
  Timer.after(Faults.Delay,
              [this, alive = std::weak_ptr<bool>(Alive), f = std::move(f)] {
                if (alive.expired() || Faults.CutOff.contains(DataCentre))
                  return;
                if (Faults.DelayedDataCentres.contains(DataCentre))
                  later(f);
                else
                  f();
              });
}

auto FakePlatform::reply(std::function<void()> f) -> void {
  later([this, f = std::move(f)]() mutable {
    if (Faults.Paused.contains(Id))
      reply(std::move(f));
    else
      f();
  });
}

auto FakePlatform::isRefused() -> bool {
  return Faults.Down || Random.unit() < Faults.RefusedShare;
}

template <typename T>
auto FakePlatform::answer(Callback<T> done, absl::StatusOr<T> r) -> void {
  if (Random.unit() < Faults.LostAnswerShare)
    return;
  reply([done = std::move(done), r = std::move(r)] { done(r); });
}

template <typename T, typename Operation>
auto FakePlatform::call(Callback<T> done, Operation op) -> void {
  later([this, done = std::move(done), op = std::move(op)] {
    if (isRefused())
      reply([done] { done(absl::UnavailableError("the store is down")); });
    else
      answer<T>(done, op());
  });
}

auto FakePlatform::get(std::string key, Callback<StoredObject> done) -> void {
  call(std::move(done), [this, key] { return Store.get(key); });
}

auto FakePlatform::list(std::string prefix, Callback<ObjectList> done) -> void {
  call(std::move(done), [this, prefix] { return Store.list(prefix); });
}

auto FakePlatform::put(std::string key, std::string value,
                       ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  call(std::move(done), [this, key, value = std::move(value), expected] {
    return Store.put(key, value, expected);
  });
}

auto FakePlatform::remove(std::string key, ObjectVersion expected,
                          Callback<ObjectVersion> done) -> void {
  call(std::move(done),
       [this, key, expected] { return Store.remove(key, expected); });
}

auto FakePlatform::isAnswerLost(const std::string &prefix,
                                const absl::StatusOr<ObjectList> &r) -> bool {
  if (!r.ok() || r->Events.empty())
    return false;
  const auto it = LosesNextAnswer.extract(prefix);
  if (!it.empty() && it.mapped())
    it.mapped()();
  return !it.empty();
}

auto FakePlatform::watch(std::string prefix, ObjectVersion after, Duration wait,
                         Callback<ObjectList> done) -> void {
  later([this, prefix, after, wait, done = std::move(done)] {
    if (isRefused()) {
      reply([done] { done(absl::UnavailableError("the store is down")); });
      return;
    }
    Store.watch(prefix, after, wait,
                [this, prefix, waits = wait > Duration::zero(),
                 alive = std::weak_ptr<bool>(Alive), done](auto r) {
                  if (alive.expired() || Faults.UnansweredWatches ||
                      Faults.Down || (waits && isAnswerLost(prefix, r)))
                    return;
                  answer<ObjectList>(done, std::move(r));
                });
    Timer.after(wait, [&store = Store] { store.poll(); });
  });
}

} // namespace boragebridge::fakes
