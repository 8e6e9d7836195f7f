#include "store/snapshot_list.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

auto applyChanges(ObjectList snapshot, const ObjectList &changes)
    -> ObjectList {
  if (changes.Events.empty()) {
    snapshot.CurrentVersion =
        std::max(snapshot.CurrentVersion, changes.CurrentVersion);
    return snapshot;
  }
  std::map<std::string, StoredObject> objects;
  for (auto &it : snapshot.Events) {
    auto key = it.Object.Key;
    objects[std::move(key)] = std::move(it.Object);
  }
  for (const auto &it : changes.Events) {
    if (it.Removed)
      objects.erase(it.Object.Key);
    else
      objects[it.Object.Key] = it.Object;
  }
  ObjectList out;
  out.CurrentVersion =
      std::max(snapshot.CurrentVersion, changes.CurrentVersion);
  for (auto &[key, object] : objects)
    out.Events.push_back({std::move(object), false});
  return out;
}

SnapshotListReader::SnapshotListReader(MirroredPlatform &platform,
                                       const Clock &time, ReadSnapshot read,
                                       SnapshotListOptions opt)
    : Platform(platform), Time(time), Read(std::move(read)), Options(opt) {}

auto SnapshotListReader::list(const std::string &prefix, Callback done)
    -> void {
  if (!isEnabled() || !Platform.hasParent())
    return Platform.list(prefix, std::move(done));
  listWithHint(prefix, std::move(done), [](const auto &) {});
}

auto SnapshotListReader::listWithHint(const std::string &prefix, Callback done,
                                      OnSnapshot f) -> void {
  if (!isEnabled())
    return Platform.list(prefix, std::move(done));
  Read(prefix,
       [this, prefix, f = std::move(f), alive = std::weak_ptr<bool>(Alive),
        done = std::move(done)](absl::StatusOr<ObjectList> r) mutable {
         if (alive.expired())
           return;
         if (r.ok())
           f(*r);
         onSnapshot(prefix, std::move(done), std::move(r));
       });
}

auto SnapshotListReader::onSnapshot(const std::string &prefix, Callback done,
                                    absl::StatusOr<ObjectList> r) -> void {
  if (!r.ok() || !Platform.hasParent())
    return Platform.listStore(prefix, std::move(done));
  const auto id = ++LastId;
  PendingLists[id] = {prefix, *std::move(r), std::move(done),
                      Time.now() + Options.ParentTimeout};
  askParent(id);
}

auto SnapshotListReader::askParent(PendingId id) -> void {
  auto &p = PendingLists.at(id);
  p.NextCall.reset();
  Platform.readParent(
      p.Prefix, p.Snapshot.CurrentVersion,
      [this, id, alive = std::weak_ptr<bool>(Alive)](const auto &changes) {
        if (!alive.expired())
          onParentAnswer(id, changes);
      });
}

auto SnapshotListReader::onParentAnswer(PendingId id,
                                        const absl::StatusOr<ObjectList> &r)
    -> void {
  if (r.ok())
    return complete(id, *r);
  const auto it = PendingLists.find(id);
  if (it == PendingLists.end())
    return;
  // The parent may just have started: it has no view yet, or does not listen.
  const auto mayRecover =
      absl::IsFailedPrecondition(r.status()) || absl::IsUnavailable(r.status());
  if (mayRecover)
    it->second.NextCall = Time.now() + Options.ParentRetryInterval;
  else
    askStore(id);
}

auto SnapshotListReader::tick(TimePoint now) -> void {
  std::vector<PendingId> all;
  for (const auto &[id, it] : PendingLists)
    all.push_back(id);
  for (const auto id : all) {
    const auto it = PendingLists.find(id);
    if (it == PendingLists.end() || it->second.AskedStore)
      continue;
    if (now >= it->second.ParentDeadline || !Platform.hasParent())
      askStore(id);
    else if (it->second.NextCall && now >= *it->second.NextCall)
      askParent(id);
  }
}

auto SnapshotListReader::askStore(PendingId id) -> void {
  const auto it = PendingLists.find(id);
  if (it == PendingLists.end() || std::exchange(it->second.AskedStore, true))
    return;
  Platform.watchStore(
      it->second.Prefix, it->second.Snapshot.CurrentVersion, Duration::zero(),
      [this, id, alive = std::weak_ptr<bool>(Alive)](const auto &changes) {
        if (!alive.expired())
          onStoreAnswer(id, changes);
      });
}

auto SnapshotListReader::onStoreAnswer(PendingId id,
                                       const absl::StatusOr<ObjectList> &r)
    -> void {
  if (r.ok())
    return complete(id, *r);
  auto node = PendingLists.extract(id);
  if (node.empty())
    return;
  auto &p = node.mapped();
  if (absl::IsOutOfRange(r.status()))
    return Platform.listStore(p.Prefix, std::move(p.Done));
  p.Done(r.status());
}

auto SnapshotListReader::complete(PendingId id, const ObjectList &changes)
    -> void {
  auto node = PendingLists.extract(id);
  if (node.empty())
    return;
  auto &p = node.mapped();
  p.Done(applyChanges(std::move(p.Snapshot), changes));
}

} // namespace boragebridge
