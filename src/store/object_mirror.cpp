#include "store/object_mirror.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

auto ObjectMirror::replace(const std::string &prefix, const ObjectList &all)
    -> void {
  auto &view = Views[prefix];
  ++view.Changes;
  view.Objects.clear();
  for (const auto &it : all.Events)
    view.Objects[it.Object.Key] = it.Object;
  view.Version = all.CurrentVersion;
  view.HistoryStart = all.CurrentVersion;
  view.History.clear();
  view.HistoryEvents = 0;
  view.Confirmed = true;
  answerWatches(view);
}

auto ObjectMirror::apply(const std::string &prefix, const ObjectList &events)
    -> void {
  auto &view = Views[prefix];
  ++view.Changes;
  for (const auto &it : events.Events) {
    if (it.Removed)
      view.Objects.erase(it.Object.Key);
    else
      view.Objects[it.Object.Key] = it.Object;
  }
  view.Version = std::max(view.Version, events.CurrentVersion);
  view.History.push_back({events.CurrentVersion, events.Events});
  view.HistoryEvents += events.Events.size();
  while (view.HistoryEvents > Options.HistoryEvents) {
    view.HistoryStart = view.History.front().Version;
    view.HistoryEvents -= view.History.front().Events.size();
    view.History.pop_front();
  }
  answerWatches(view);
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
  for (const auto &[key, object] : view.Objects)
    out.Events.push_back({object, false});
  return out;
}

auto ObjectMirror::eventsAfter(const View &view, ObjectVersion after)
    -> absl::StatusOr<ObjectList> {
  if (after < view.HistoryStart)
    return absl::OutOfRangeError("the version is older than the history");
  ObjectList out;
  // A reader with a newer version than the mirror keeps its version.
  out.CurrentVersion = std::max(view.Version, after);
  for (const auto &it : view.History)
    if (it.Version > after)
      out.Events.insert(out.Events.end(), it.Events.begin(), it.Events.end());
  return out;
}

auto ObjectMirror::changeCount(const std::string &prefix) const
    -> std::uint64_t {
  const auto it = Views.find(prefix);
  return it == Views.end() ? 0 : it->second.Changes;
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

static auto sizeOf(const StoredObject &o) -> std::size_t {
  return o.Key.size() + o.Value.size();
}

auto ObjectMirror::usage() const -> MirrorUsage {
  MirrorUsage out;
  for (const auto &[prefix, view] : Views) {
    out.Objects += view.Objects.size();
    for (const auto &[key, object] : view.Objects)
      out.ObjectBytes += sizeOf(object);
    out.HistoryEvents += view.HistoryEvents;
    for (const auto &batch : view.History)
      for (const auto &it : batch.Events)
        out.HistoryBytes += sizeOf(it.Object);
  }
  return out;
}

} // namespace boragebridge
