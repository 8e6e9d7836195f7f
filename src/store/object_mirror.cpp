#include "store/object_mirror.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

auto ObjectMirror::replace(const std::string &prefix, const ObjectList &all)
    -> void {
  auto &p = Prefixes[prefix];
  p.Objects.clear();
  for (const auto &it : all.Events)
    p.Objects[it.Object.Key] = it.Object;
  p.Version = all.CurrentVersion;
  p.HistoryStart = all.CurrentVersion;
  p.History.clear();
  p.HistoryEvents = 0;
  p.Confirmed = true;
  answerWatches(p);
}

auto ObjectMirror::apply(const std::string &prefix, const ObjectList &events)
    -> void {
  auto &p = Prefixes[prefix];
  for (const auto &it : events.Events) {
    if (it.Removed)
      p.Objects.erase(it.Object.Key);
    else
      p.Objects[it.Object.Key] = it.Object;
  }
  p.Version = std::max(p.Version, events.CurrentVersion);
  p.History.push_back({events.CurrentVersion, events.Events});
  p.HistoryEvents += events.Events.size();
  while (p.HistoryEvents > Options.HistoryEvents) {
    p.HistoryStart = p.History.front().Version;
    p.HistoryEvents -= p.History.front().Events.size();
    p.History.pop_front();
  }
  answerWatches(p);
}

auto ObjectMirror::advance(const std::string &prefix, ObjectVersion version)
    -> void {
  auto &p = Prefixes[prefix];
  p.Version = std::max(p.Version, version);
}

auto ObjectMirror::setConfirmed(const std::string &prefix, bool confirmed)
    -> void {
  auto &p = Prefixes[prefix];
  p.Confirmed = confirmed;
  if (!confirmed)
    failWatches(p, absl::FailedPreconditionError("the view is not confirmed"));
}

auto ObjectMirror::list(const std::string &prefix, bool allowUnconfirmed) const
    -> absl::StatusOr<ObjectList> {
  const auto it = Prefixes.find(prefix);
  if (it == Prefixes.end() || it->second.Version == 0 ||
      (!it->second.Confirmed && !allowUnconfirmed))
    return absl::FailedPreconditionError("the view is not confirmed");
  ObjectList out;
  out.CurrentVersion = it->second.Version;
  for (const auto &[key, object] : it->second.Objects)
    out.Events.push_back({object, false});
  return out;
}

auto ObjectMirror::eventsAfter(const Prefix &p, ObjectVersion after)
    -> absl::StatusOr<ObjectList> {
  if (after < p.HistoryStart)
    return absl::OutOfRangeError("the version is older than the history");
  ObjectList out;
  // A reader with a newer version than the mirror keeps its version.
  out.CurrentVersion = std::max(p.Version, after);
  for (const auto &it : p.History)
    if (it.Version > after)
      out.Events.insert(out.Events.end(), it.Events.begin(), it.Events.end());
  return out;
}

auto ObjectMirror::watch(const std::string &prefix, ObjectVersion after,
                         TimePoint until, Done done) -> void {
  auto &p = Prefixes[prefix];
  if (!p.Confirmed)
    return done(absl::FailedPreconditionError("the view is not confirmed"));
  auto events = eventsAfter(p, after);
  if (!events.ok() || !events->Events.empty())
    return done(std::move(events));
  if (openWatches() >= Options.MaxWatches)
    return done(
        absl::ResourceExhaustedError("the limit of open watches is reached"));
  p.Watches.push_back({after, until, std::move(done)});
}

auto ObjectMirror::answerWatches(Prefix &p) -> void {
  auto waiting = std::exchange(p.Watches, {});
  for (auto &it : waiting) {
    auto events = eventsAfter(p, it.After);
    if (events.ok() && events->Events.empty())
      p.Watches.push_back(std::move(it));
    else
      it.Respond(std::move(events));
  }
}

auto ObjectMirror::failWatches(Prefix &p, const absl::Status &why) -> void {
  for (auto &it : std::exchange(p.Watches, {}))
    it.Respond(why);
}

auto ObjectMirror::tick(TimePoint now) -> void {
  for (auto &[prefix, p] : Prefixes) {
    auto waiting = std::exchange(p.Watches, {});
    for (auto &it : waiting) {
      if (now < it.Until)
        p.Watches.push_back(std::move(it));
      else
        it.Respond(eventsAfter(p, it.After));
    }
  }
}

auto ObjectMirror::openWatches() const -> std::size_t {
  std::size_t n = 0;
  for (const auto &[prefix, p] : Prefixes)
    n += p.Watches.size();
  return n;
}

} // namespace boragebridge
