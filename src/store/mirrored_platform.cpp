#include "store/mirrored_platform.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

MirroredPlatform::MirroredPlatform(PlatformClient &store, const Clock &time,
                                   ClientFactory makeClient,
                                   OnParentFailed onFailed,
                                   MirroredPlatformOptions opt)
    : Store(store), Time(time), MakeClient(std::move(makeClient)),
      ParentFailed(std::move(onFailed)), Options(std::move(opt)),
      Probe(time, Options.Probe, Options.StoreRetryInterval) {}

auto MirroredPlatform::setParent(std::optional<Endpoint> parent) -> void {
  if (parent == Parent)
    return;
  Parent = parent;
  ParentBackoffUntil = {};
  if (parent && !Clients.contains(*parent))
    Clients[*parent] = MakeClient(*parent, MirrorView::Confirmed);
}

auto MirroredPlatform::hasParent() const -> bool {
  return Parent.has_value() && Time.now() >= ParentBackoffUntil;
}

auto MirroredPlatform::mayReadStoreWhileUnconfirmed(const std::string &prefix)
    -> bool {
  const auto now = Time.now();
  const auto [it, added] = LastUnconfirmedRead.emplace(prefix, now);
  if (!added && now - it->second < Options.StoreRetryInterval)
    return false;
  it->second = now;
  return true;
}

auto MirroredPlatform::withStoreFallback(const std::string &prefix,
                                         Callback<ObjectList> done, Retry retry)
    -> Callback<ObjectList> {
  return [this, alive = std::weak_ptr<bool>(Alive), parent = *Parent, prefix,
          done = std::move(done),
          retry = std::move(retry)](absl::StatusOr<ObjectList> r) mutable {
    if (alive.expired())
      return;
    if (r.ok() || absl::IsOutOfRange(r.status()))
      return done(std::move(r));
    if (absl::IsFailedPrecondition(r.status()))
      return readStoreWhileUnconfirmed(parent, prefix, std::move(r),
                                       std::move(done), std::move(retry));
    if (Parent == parent)
      ParentBackoffUntil = Time.now() + Options.ParentBackoff;
    ParentFailed(parent, r.status());
    if (hasParent() && *Parent != parent)
      return readOtherParent(prefix, std::move(done), std::move(retry));
    // The wait is short, so that the reader soon gets the changes it has
    // missed.
    retry.AtStore(Options.MaxParentWait, std::move(done));
  };
}

auto MirroredPlatform::readOtherParent(const std::string &prefix,
                                       Callback<ObjectList> done, Retry retry)
    -> void {
  ++ParentCalls;
  auto &client = *Clients.at(*Parent);
  auto atParent = retry.AtParent;
  atParent(client, [this, alive = std::weak_ptr<bool>(Alive), parent = *Parent,
                    prefix, done = std::move(done),
                    retry = std::move(retry)](absl::StatusOr<ObjectList> r) {
    if (alive.expired())
      return;
    if (r.ok())
      return done(std::move(r));
    if (absl::IsFailedPrecondition(r.status()))
      return readStoreWhileUnconfirmed(parent, prefix, std::move(r), done,
                                       retry);
    retry.AtStore(Options.MaxParentWait, done);
  });
}

auto MirroredPlatform::readStoreWhileUnconfirmed(
    const Endpoint &parent, const std::string &prefix,
    absl::StatusOr<ObjectList> parentAnswer, Callback<ObjectList> done,
    Retry retry) -> void {
  auto read = [this, alive = std::weak_ptr<bool>(Alive), parent,
               why = parentAnswer.status(),
               done](absl::StatusOr<ObjectList> r) {
    // The store answers this instance, even if only that its history is gone.
    // So only the parent cannot reach the store.
    const auto isAnswered = r.ok() || absl::IsOutOfRange(r.status());
    if (!alive.expired() && isAnswered)
      ParentFailed(parent, why);
    done(std::move(r));
  };
  Probe.ask([this, prefix, parentAnswer = std::move(parentAnswer),
             done = std::move(done), read = std::move(read),
             retry = std::move(retry)](bool isAnswered) {
    if (isAnswered && mayReadStoreWhileUnconfirmed(prefix))
      retry.AtStore(Duration::zero(), read);
    else
      done(parentAnswer);
  });
}

auto MirroredPlatform::countRead(Callback<ObjectList> done)
    -> Callback<ObjectList> {
  ++StoreCalls;
  ++*OpenStoreReads;
  return [open = OpenStoreReads,
          done = std::move(done)](absl::StatusOr<ObjectList> r) {
    --*open;
    done(std::move(r));
  };
}

auto MirroredPlatform::listStore(const std::string &prefix,
                                 Callback<ObjectList> done) -> void {
  Store.list(prefix, countRead(std::move(done)));
}

auto MirroredPlatform::watchStore(const std::string &prefix,
                                  ObjectVersion after, Duration wait,
                                  Callback<ObjectList> done) -> void {
  Store.watch(prefix, after, wait, countRead(std::move(done)));
}

auto MirroredPlatform::watchStoreDirectly(const std::string &prefix,
                                          ObjectVersion after, Duration wait,
                                          Callback<ObjectList> done) -> void {
  const auto id = ++LastDirectWatch;
  DirectWatches[id] = countRead(std::move(done));
  Store.watch(prefix, after, wait,
              [this, id, alive = std::weak_ptr<bool>(Alive)](
                  absl::StatusOr<ObjectList> r) {
                if (alive.expired())
                  return;
                if (auto it = DirectWatches.extract(id); !it.empty())
                  it.mapped()(std::move(r));
              });
}

auto MirroredPlatform::moveWatchesToParent() -> void {
  if (!hasParent())
    return;
  for (const auto &[id, done] : std::exchange(DirectWatches, {}))
    done(absl::CancelledError("the parent is watched instead of the store"));
}

auto MirroredPlatform::listParent(const std::string &prefix,
                                  Callback<ObjectList> done) -> void {
  ++ParentCalls;
  Clients.at(*Parent)->list(mirrorPrefix(prefix), std::move(done));
}

auto MirroredPlatform::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  if (!hasParent())
    return listStore(prefix, std::move(done));
  ++ParentCalls;
  const auto atMirror = mirrorPrefix(prefix);
  Clients.at(*Parent)->list(
      atMirror, withStoreFallback(
                    prefix, std::move(done),
                    {[atMirror](PlatformClient &other, Callback<ObjectList> f) {
                       other.list(atMirror, std::move(f));
                     },
                     [this, prefix](Duration, Callback<ObjectList> f) {
                       listStore(prefix, std::move(f));
                     }}));
}

auto MirroredPlatform::watch(std::string prefix, ObjectVersion after,
                             Duration wait, Callback<ObjectList> done) -> void {
  if (!hasParent())
    return watchStoreDirectly(prefix, after, wait, std::move(done));
  ++ParentCalls;
  const auto atMirror = mirrorPrefix(prefix);
  Clients.at(*Parent)->watch(
      atMirror, after, std::min(wait, Options.MaxParentWait),
      withStoreFallback(
          prefix, std::move(done),
          {[atMirror, after](PlatformClient &other, Callback<ObjectList> f) {
             other.watch(atMirror, after, Duration::zero(), std::move(f));
           },
           [this, prefix, after, wait](Duration limit, Callback<ObjectList> f) {
             watchStore(prefix, after, std::min(wait, limit), std::move(f));
           }}));
}

auto MirroredPlatform::get(std::string key, Callback<StoredObject> done)
    -> void {
  ++StoreCalls;
  Store.get(std::move(key), std::move(done));
}

auto MirroredPlatform::put(std::string key, std::string value,
                           ObjectVersion expected, Callback<ObjectVersion> done)
    -> void {
  ++StoreCalls;
  Store.put(std::move(key), std::move(value), expected, std::move(done));
}

auto MirroredPlatform::remove(std::string key, ObjectVersion expected,
                              Callback<ObjectVersion> done) -> void {
  ++StoreCalls;
  Store.remove(std::move(key), expected, std::move(done));
}

} // namespace boragebridge
