#include "store/mirrored_platform.h"

#include <algorithm>

namespace boragebridge {

MirroredPlatform::MirroredPlatform(PlatformClient &store, const Clock &time,
                                   Connect connect, OnLost lost,
                                   MirroredPlatformOptions opt)
    : Store(store), Time(time), MakeClient(std::move(connect)),
      Lost(std::move(lost)), Options(opt) {}

auto MirroredPlatform::setParent(std::optional<Endpoint> parent) -> void {
  if (parent == Parent)
    return;
  Parent = parent;
  NotBefore = {};
  if (parent && !Clients.contains(*parent))
    Clients[*parent] = MakeClient(*parent, MirrorView::Confirmed);
}

auto MirroredPlatform::hasParent() const -> bool {
  return Parent.has_value() && Time.now() >= NotBefore;
}

auto MirroredPlatform::mayAskInDoubt(const std::string &prefix) -> bool {
  const auto now = Time.now();
  const auto [it, added] = AskedInDoubt.emplace(prefix, now);
  if (!added && now - it->second < Options.DoubtPause)
    return false;
  it->second = now;
  return true;
}

auto MirroredPlatform::orFromStore(const std::string &prefix,
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
      return askInDoubt(parent, prefix, std::move(r), std::move(done), retry);
    if (Parent == parent)
      NotBefore = Time.now() + Options.ParentPause;
    Lost(parent, r.status());
    // A short wait, to learn soon what was missed.
    retry(Options.ParentWait, std::move(done));
  };
}

auto MirroredPlatform::askInDoubt(const Endpoint &parent,
                                  const std::string &prefix,
                                  absl::StatusOr<ObjectList> doubt,
                                  Callback<ObjectList> done, const Retry &retry)
    -> void {
  if (!mayAskInDoubt(prefix))
    return done(std::move(doubt));
  retry(Duration::zero(),
        [this, alive = std::weak_ptr<bool>(Alive), parent, why = doubt.status(),
         done = std::move(done)](absl::StatusOr<ObjectList> r) {
          // The store answers this instance, if only that its history is gone:
          // the doubt is the parent's alone.
          const auto isAnswered = r.ok() || absl::IsOutOfRange(r.status());
          if (!alive.expired() && isAnswered)
            Lost(parent, why);
          done(std::move(r));
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

auto MirroredPlatform::list(std::string prefix, Callback<ObjectList> done)
    -> void {
  if (!hasParent())
    return listStore(prefix, std::move(done));
  ++ParentCalls;
  Clients.at(*Parent)->list(
      prefix, orFromStore(prefix, std::move(done),
                          [this, prefix](Duration, Callback<ObjectList> f) {
                            listStore(prefix, std::move(f));
                          }));
}

auto MirroredPlatform::watch(std::string prefix, ObjectVersion after,
                             Duration wait, Callback<ObjectList> done) -> void {
  if (!hasParent())
    return watchStore(prefix, after, wait, std::move(done));
  ++ParentCalls;
  Clients.at(*Parent)->watch(
      prefix, after, std::min(wait, Options.ParentWait),
      orFromStore(prefix, std::move(done),
                  [this, prefix, after](Duration d, Callback<ObjectList> f) {
                    watchStore(prefix, after, d, std::move(f));
                  }));
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
