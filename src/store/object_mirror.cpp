#include "store/object_mirror.h"

#include "store/view_digest.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace boragebridge {

auto ObjectMirror::clear(View &view) -> void {
  view.ByKey.clear();
  view.Changes.clear();
  view.Digest = 0;
  view.Removals = 0;
  view.RemovalBytes = 0;
}

auto ObjectMirror::changesTo(const View &view, const ObjectList &all)
    -> std::vector<ObjectEvent> {
  std::vector<ObjectEvent> out;
  std::unordered_set<std::string_view> present;
  present.reserve(all.Events.size());
  for (const auto &it : all.Events) {
    present.insert(it.Object.Key);
    const auto known = view.ByKey.find(it.Object.Key);
    const auto isKnown =
        known != view.ByKey.end() && !known->second->Event.Removed &&
        known->second->Event.Object.Version == it.Object.Version &&
        known->second->Event.Object.Value == it.Object.Value;
    if (!isKnown)
      out.push_back(it);
  }
  for (const auto &[key, it] : view.ByKey)
    if (!it->Event.Removed && !present.contains(key))
      out.push_back({{key, {}, all.CurrentVersion}, true});
  return out;
}

auto ObjectMirror::replace(const std::string &prefix, const ObjectList &all)
    -> std::vector<ObjectEvent> {
  auto &view = Views[prefix];
  auto changes = changesTo(view, all);
  const auto continues = view.Version != 0 &&
                         eraOf(view.Version) == eraOf(all.CurrentVersion) &&
                         view.Version <= all.CurrentVersion;
  // The view did not have the objects of its version. To its readers, who have
  // that version too, only the digest shows it.
  const auto isCorrected =
      view.Version == all.CurrentVersion && !changes.empty();
  view.Version = all.CurrentVersion;
  if (!continues) {
    clear(view);
    view.HistoryStart = all.CurrentVersion;
  }
  for (const auto &it : continues ? changes : all.Events)
    record(view, it);
  if (!changes.empty() || !continues)
    ++view.Updates;
  forgetRemovals(view, Options.RemovalBytes);
  view.Confirmed = true;
  if (isCorrected)
    answerAllWatches(view);
  else
    answerWatches(view);
  return changes;
}

auto ObjectMirror::apply(const std::string &prefix, const ObjectList &events)
    -> void {
  auto &view = Views[prefix];
  ++view.Updates;
  view.Version = std::max(view.Version, events.CurrentVersion);
  for (const auto &it : events.Events)
    record(view, it);
  forgetRemovals(view, Options.RemovalBytes);
  answerWatches(view);
}

auto ObjectMirror::removalBytes(const std::string &key) -> std::size_t {
  return sizeof(Change) + 2 * key.size();
}

auto ObjectMirror::record(View &view, const ObjectEvent &e) -> void {
  const auto &key = e.Object.Key;
  auto [it, added] = view.ByKey.try_emplace(key);
  if (added) {
    it->second = view.Changes.insert(view.Changes.end(), Change{});
  } else {
    view.Changes.splice(view.Changes.end(), view.Changes, it->second);
    const auto &last = it->second->Event;
    if (last.Removed) {
      --view.Removals;
      view.RemovalBytes -= removalBytes(key);
    } else {
      view.Digest -= digestOf(last.Object);
    }
  }
  *it->second = {e, view.Version};
  if (!e.Removed) {
    view.Digest += digestOf(e.Object);
    return;
  }
  it->second->Event.Object.Value = {};
  ++view.Removals;
  view.RemovalBytes += removalBytes(key);
}

auto ObjectMirror::forgetRemovals(View &view, std::size_t maxBytes) -> void {
  for (auto it = view.Changes.begin(); view.RemovalBytes > maxBytes;) {
    if (!it->Event.Removed) {
      ++it;
      continue;
    }
    const auto &key = it->Event.Object.Key;
    view.HistoryStart = it->SeenFrom;
    --view.Removals;
    view.RemovalBytes -= removalBytes(key);
    view.ByKey.erase(key);
    it = view.Changes.erase(it);
  }
}

auto ObjectMirror::advance(const std::string &prefix, ObjectVersion version)
    -> void {
  auto &view = Views[prefix];
  view.Version = std::max(view.Version, version);
}

auto ObjectMirror::setConfirmed(const std::string &prefix, bool confirmed)
    -> void {
  auto &view = Views[prefix];
  view.Confirmed = confirmed;
  if (!confirmed)
    failWatches(view,
                absl::FailedPreconditionError("the view is not confirmed"));
}

auto ObjectMirror::mayList(const std::string &prefix,
                           bool allowUnconfirmed) const -> absl::Status {
  const auto it = Views.find(prefix);
  if (it == Views.end() || it->second.Version == 0 ||
      (!it->second.Confirmed && !allowUnconfirmed))
    return absl::FailedPreconditionError("the view is not confirmed");
  return absl::OkStatus();
}

auto ObjectMirror::list(const std::string &prefix, bool allowUnconfirmed) const
    -> absl::StatusOr<ObjectList> {
  if (auto s = mayList(prefix, allowUnconfirmed); !s.ok())
    return s;
  const auto &view = Views.at(prefix);
  ObjectList out;
  out.CurrentVersion = view.Version;
  for (const auto &[key, it] : view.ByKey)
    if (!it->Event.Removed)
      out.Events.push_back(it->Event);
  return out;
}

auto ObjectMirror::eventsAfter(const View &view, ObjectVersion after)
    -> absl::StatusOr<ObjectList> {
  if (after < view.HistoryStart)
    return absl::OutOfRangeError("the version is older than the history");
  ObjectList out;
  // A reader with a newer version than the mirror keeps its version.
  out.CurrentVersion = std::max(view.Version, after);
  if (after <= view.Version)
    out.Digest = view.Digest;
  auto it = view.Changes.end();
  while (it != view.Changes.begin() && std::prev(it)->SeenFrom > after)
    --it;
  for (; it != view.Changes.end(); ++it)
    out.Events.push_back(it->Event);
  return out;
}

auto ObjectMirror::digest(const std::string &prefix) const -> ViewDigest {
  const auto it = Views.find(prefix);
  return it == Views.end() ? 0 : it->second.Digest;
}

auto ObjectMirror::changeCount(const std::string &prefix) const
    -> std::uint64_t {
  const auto it = Views.find(prefix);
  return it == Views.end() ? 0 : it->second.Updates;
}

auto ObjectMirror::changes(const std::string &prefix, ObjectVersion after) const
    -> absl::StatusOr<ObjectList> {
  const auto it = Views.find(prefix);
  if (it == Views.end() || !it->second.Confirmed)
    return absl::FailedPreconditionError("the view is not confirmed");
  return eventsAfter(it->second, after);
}

auto ObjectMirror::watch(const std::string &prefix, ObjectVersion after,
                         TimePoint until, Done done) -> void {
  auto events = changes(prefix, after);
  if (!events.ok() || !events->Events.empty())
    return done(std::move(events));
  if (openWatches() >= Options.MaxWatches)
    return done(
        absl::ResourceExhaustedError("the limit of open watches is reached"));
  Views[prefix].Watches.push_back({after, until, std::move(done)});
}

auto ObjectMirror::answerWatches(View &view) -> void {
  auto waiting = std::exchange(view.Watches, {});
  for (auto &it : waiting) {
    auto events = eventsAfter(view, it.After);
    if (events.ok() && events->Events.empty())
      view.Watches.push_back(std::move(it));
    else
      it.Respond(std::move(events));
  }
}

auto ObjectMirror::answerAllWatches(View &view) -> void {
  for (auto &it : std::exchange(view.Watches, {}))
    it.Respond(eventsAfter(view, it.After));
}

auto ObjectMirror::failWatches(View &view, const absl::Status &why) -> void {
  for (auto &it : std::exchange(view.Watches, {}))
    it.Respond(why);
}

auto ObjectMirror::tick(TimePoint now) -> void {
  for (auto &[prefix, view] : Views) {
    auto waiting = std::exchange(view.Watches, {});
    for (auto &it : waiting) {
      if (now < it.Until)
        view.Watches.push_back(std::move(it));
      else
        it.Respond(eventsAfter(view, it.After));
    }
  }
}

auto ObjectMirror::openWatches() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[prefix, view] : Views)
    n += view.Watches.size();
  return n;
}

auto ObjectMirror::usage() const -> MirrorUsage {
  MirrorUsage out;
  for (const auto &[prefix, view] : Views) {
    out.Objects += view.Changes.size() - view.Removals;
    for (const auto &[event, seenFrom] : view.Changes)
      if (!event.Removed)
        out.ObjectBytes += event.Object.Key.size() + event.Object.Value.size();
    out.Removals += view.Removals;
    out.RemovalBytes += view.RemovalBytes;
  }
  return out;
}

} // namespace boragebridge
