#include "fakes/object_store.h"

#include <algorithm>
#include <utility>

namespace boragebridge::fakes {

/// Number of removals that are kept for watches to report.
static constexpr std::size_t RemovalLimit = 4096;

ObjectStore::ObjectStore(const Clock &clock, ObjectStoreLimits limits)
    : Time(clock), Limits(limits), Reads{limits.ReadsPerSecond, clock.now()},
      Writes{limits.WritesPerSecond, clock.now()} {}

auto ObjectStore::takeToken(Bucket &b, double rate) -> absl::Status {
  const auto now = Time.now();
  const std::chrono::duration<double> passed = now - b.RefilledAt;
  b.RefilledAt = now;
  b.Tokens = std::min(rate, b.Tokens + rate * passed.count());
  if (b.Tokens < 1) {
    ++Calls.OverLimit;
    return absl::ResourceExhaustedError("calls per second exceeded");
  }
  b.Tokens -= 1;
  return absl::OkStatus();
}

auto ObjectStore::get(const std::string &key) -> absl::StatusOr<StoredObject> {
  ++Calls.Gets;
  if (auto s = takeToken(Reads, Limits.ReadsPerSecond); !s.ok())
    return s;
  auto it = Objects.find(key);
  if (it == Objects.end())
    return absl::NotFoundError(key);
  return it->second;
}

auto ObjectStore::list(const std::string &prefix)
    -> absl::StatusOr<ObjectList> {
  ++Calls.Lists;
  if (auto s = takeToken(Reads, Limits.ReadsPerSecond); !s.ok())
    return s;
  ObjectList all;
  all.CurrentVersion = LastVersion;
  for (auto it = Objects.lower_bound(prefix);
       it != Objects.end() && it->first.starts_with(prefix); ++it)
    all.Events.push_back({it->second, false});
  return all;
}

auto ObjectStore::checkExpected(const std::string &key,
                                ObjectVersion expected) const -> absl::Status {
  const auto current = currentVersion(key);
  if (current == expected)
    return absl::OkStatus();
  return absl::AbortedError("version is " + std::to_string(current));
}

auto ObjectStore::put(const std::string &key, std::string value,
                      ObjectVersion expected) -> absl::StatusOr<ObjectVersion> {
  ++Calls.Puts;
  if (auto s = takeToken(Writes, Limits.WritesPerSecond); !s.ok())
    return s;
  if (value.size() > Limits.ValueBytes)
    return absl::InvalidArgumentError("value too large");
  if (auto s = checkExpected(key, expected); !s.ok())
    return s;
  const auto version = ++LastVersion;
  Objects[key] = {key, std::move(value), version};
  answerWatches(key);
  return version;
}

auto ObjectStore::remove(const std::string &key, ObjectVersion expected)
    -> absl::StatusOr<ObjectVersion> {
  ++Calls.Removes;
  if (auto s = takeToken(Writes, Limits.WritesPerSecond); !s.ok())
    return s;
  if (!Objects.contains(key))
    return absl::NotFoundError(key);
  if (auto s = checkExpected(key, expected); !s.ok())
    return s;
  const auto version = ++LastVersion;
  Objects.erase(key);
  Removals.push_back({key, version});
  if (Removals.size() > RemovalLimit)
    Removals.pop_front();
  answerWatches(key);
  return version;
}

auto ObjectStore::changesAfter(const std::string &prefix,
                               ObjectVersion after) const -> ObjectList {
  ObjectList all;
  all.CurrentVersion = LastVersion;
  for (auto it = Objects.lower_bound(prefix);
       it != Objects.end() && it->first.starts_with(prefix); ++it)
    if (it->second.Version > after)
      all.Events.push_back({it->second, false});
  for (const auto &it : Removals)
    if (it.Version > after && it.Key.starts_with(prefix) &&
        !Objects.contains(it.Key))
      all.Events.push_back({{it.Key, "", it.Version}, true});
  return all;
}

auto ObjectStore::watch(const std::string &prefix, ObjectVersion after,
                        Duration wait, WatchDone done) -> WatchId {
  ++Calls.Watches;
  const auto id = ++LastWatch;
  if (auto s = takeToken(Reads, Limits.ReadsPerSecond); !s.ok()) {
    done(s);
    return id;
  }
  if (after < HistoryStart) {
    done(absl::OutOfRangeError(
        "the version is older than the history of changes"));
    return id;
  }
  auto changes = changesAfter(prefix, after);
  if (!changes.Events.empty()) {
    done(std::move(changes));
    return id;
  }
  Watches[id] = Watch{prefix, after, Time.now() + wait, std::move(done)};
  return id;
}

auto ObjectStore::cancelWatch(WatchId id) -> void { Watches.erase(id); }

auto ObjectStore::answerWatches(const std::string &key) -> void {
  std::vector<Watch> woken;
  std::erase_if(Watches, [&](auto &it) {
    if (!key.starts_with(it.second.Prefix))
      return false;
    woken.push_back(std::move(it.second));
    return true;
  });
  for (const auto &it : woken)
    it.Done(changesAfter(it.Prefix, it.After));
}

auto ObjectStore::poll() -> void {
  std::vector<WatchDone> ended;
  std::erase_if(Watches, [&](auto &it) {
    if (it.second.Until > Time.now())
      return false;
    ended.push_back(std::move(it.second.Done));
    return true;
  });
  for (const auto &it : ended)
    it(ObjectList{{}, LastVersion});
}

auto ObjectStore::dropHistory() -> void {
  HistoryStart = LastVersion;
  Removals.clear();
  for (const auto &[id, it] : std::exchange(Watches, {}))
    it.Done(absl::UnavailableError("the history of changes was dropped"));
}

auto ObjectStore::restore(const Copy &c) -> void {
  const auto era = eraOf(LastVersion) + 1;
  const auto inNewEra = [era](ObjectVersion v) {
    return makeVersion(era, revisionOf(v));
  };
  Objects = c.Objects;
  for (auto &[key, it] : Objects)
    it.Version = inNewEra(it.Version);
  LastVersion = inNewEra(c.Version);
  HistoryStart = inNewEra(0);
  Removals.clear();
  Watches.clear();
}

auto ObjectStore::currentVersion(const std::string &key) const
    -> ObjectVersion {
  const auto *it = peek(key);
  return it == nullptr ? 0 : it->Version;
}

auto ObjectStore::peek(const std::string &key) const -> const StoredObject * {
  auto it = Objects.find(key);
  return it == Objects.end() ? nullptr : &it->second;
}

} // namespace boragebridge::fakes
