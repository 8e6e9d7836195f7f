#include "store/object_watcher.h"

#include "store/platform_events.h"
#include "store/view_digest.h"

#include <algorithm>
#include <utility>

namespace boragebridge {

ObjectWatcher::ObjectWatcher(const WatcherContext &ctx, WatcherOptions opt,
                             WatcherHandlers handlers)
    : Ctx(ctx), Options(std::move(opt)), Handlers(std::move(handlers)) {}

auto ObjectWatcher::tick(TimePoint now) -> void {
  if (CallOpen || now < NextCall)
    return;
  CallOpen = true;
  CalledAt = now;
  if (NeedsList)
    startList();
  else
    startWatch();
}

auto ObjectWatcher::adopt(const ObjectList &list) -> bool {
  if (hasView() || list.CurrentVersion == 0)
    return false;
  Version = list.CurrentVersion;
  Handlers.OnList(list);
  return true;
}

auto ObjectWatcher::onAnswer(
    void (ObjectWatcher::*f)(const absl::StatusOr<ObjectList> &))
    -> PlatformClient::Callback<ObjectList> {
  return [this, f, call = ++LastCall, alive = std::weak_ptr<bool>(Alive)](
             const absl::StatusOr<ObjectList> &r) {
    if (!alive.expired() && call == LastCall)
      (this->*f)(r);
  };
}

auto ObjectWatcher::startList() -> void {
  if (Options.FirstList && !hasView())
    return Options.FirstList(Options.Prefix, onAnswer(&ObjectWatcher::onList));
  Ctx.Store.list(Options.Prefix, onAnswer(&ObjectWatcher::onList));
}

auto ObjectWatcher::startWatch() -> void {
  OpenWait = Failures > 0 || IsCutOff ? Options.WaitAfterFailure : Options.Wait;
  Ctx.Store.watch(Options.Prefix, Version, OpenWait,
                  onAnswer(&ObjectWatcher::onWatch));
}

auto ObjectWatcher::isLate(TimePoint now, Duration grace) const -> bool {
  return CallOpen && !NeedsList && now - CalledAt > OpenWait + grace;
}

auto ObjectWatcher::confirm() -> void {
  if (!CallOpen || NeedsList || ConfirmationOpen)
    return;
  ConfirmationOpen = true;
  ++Confirmations;
  Ctx.Store.watch(Options.Prefix, Version, Duration::zero(),
                  [this, call = LastCall, alive = std::weak_ptr<bool>(Alive)](
                      const absl::StatusOr<ObjectList> &r) {
                    if (alive.expired())
                      return;
                    ConfirmationOpen = false;
                    // Else the watch has been answered meanwhile.
                    if (CallOpen && call == LastCall)
                      onConfirmed(r);
                  });
}

auto ObjectWatcher::onConfirmed(const absl::StatusOr<ObjectList> &r) -> void {
  if (absl::IsCancelled(r.status()))
    return;
  const auto isOver = isLate(Ctx.Time.now(), Duration::zero());
  if (r.ok() && r->Events.empty() && !isOver) {
    ConfirmedAt = Ctx.Time.now();
    Version = std::max(Version, r->CurrentVersion);
    if (Handlers.OnUnchanged)
      Handlers.OnUnchanged(Version);
    return;
  }
  if (r.ok() && !r->Events.empty())
    logLostAnswer(*r);
  dropOpenCall();
  onWatch(r);
}

auto ObjectWatcher::logLostAnswer(const ObjectList &l) -> void {
  ++LostAnswers;
  const auto open = std::chrono::duration_cast<std::chrono::milliseconds>(
      Ctx.Time.now() - CalledAt);
  Ctx.Log.write(events::WatchAnswerLost,
                {{"prefix", Options.Prefix},
                 {"version", toText(Version)},
                 {"store_version", toText(l.CurrentVersion)},
                 {"changes", std::to_string(l.Events.size())},
                 {"open_ms", std::to_string(open.count())}});
}

auto ObjectWatcher::dropOpenCall() -> void {
  CallOpen = false;
  ++LastCall;
}

auto ObjectWatcher::failOpenCall(const absl::Status &why) -> void {
  if (!CallOpen)
    return;
  dropOpenCall();
  onFailure(why);
}

auto ObjectWatcher::onStoreRestored(StoreEra era) -> void {
  if (!hasView() || NeedsList || eraOf(Version) >= era)
    return;
  dropOpenCall();
  onHistoryGone();
}

auto ObjectWatcher::onList(const absl::StatusOr<ObjectList> &r) -> void {
  CallOpen = false;
  if (!r.ok())
    return onFailure(r.status());
  if (r->CurrentVersion >= Version)
    return deliverList(*r);
  if (!isExpectedList(*r))
    return onFailure(absl::OutOfRangeError("the list is older than the view"));
  auto list = *r;
  list.CurrentVersion = Version;
  deliverList(list);
}

auto ObjectWatcher::isExpectedList(const ObjectList &l) const -> bool {
  return ExpectedDigest && eraOf(l.CurrentVersion) == eraOf(Version) &&
         digestOf(l) == *ExpectedDigest;
}

auto ObjectWatcher::deliverList(const ObjectList &l) -> void {
  recordAnswer();
  NeedsList = false;
  ExpectedDigest.reset();
  Version = l.CurrentVersion;
  logUnreadable(l);
  Handlers.OnList(l);
}

auto ObjectWatcher::onWatch(const absl::StatusOr<ObjectList> &r) -> void {
  CallOpen = false;
  // The watch continues elsewhere, from the same version.
  if (absl::IsCancelled(r.status()))
    return;
  if (absl::IsAborted(r.status()) && Failures == 0 && !IsCutOff)
    return onCutOff();
  if (!r.ok()) {
    onFailure(r.status());
    if (absl::IsOutOfRange(r.status()))
      onHistoryGone();
    return;
  }
  recordAnswer();
  if (r->CurrentVersion < Version)
    return;
  Version = r->CurrentVersion;
  logUnreadable(*r);
  if (r->Events.empty()) {
    if (Handlers.OnUnchanged)
      Handlers.OnUnchanged(Version);
    return compareDigest(*r);
  }
  NextCall = Ctx.Time.now() + Options.BatchDelay;
  Handlers.OnEvents(*r);
  compareDigest(*r);
}

auto ObjectWatcher::compareDigest(const ObjectList &l) -> void {
  if (!l.Digest || !Handlers.Digest)
    return;
  const auto digest = Handlers.Digest();
  if (digest == *l.Digest)
    return;
  ++Differences;
  Ctx.Log.write(events::ViewDiffers, {{"prefix", Options.Prefix},
                                      {"version", toText(Version)},
                                      {"digest", std::to_string(digest)},
                                      {"expected", std::to_string(*l.Digest)},
                                      {"from", toString(l.Transfer.From)}});
  NeedsList = true;
  ExpectedDigest = l.Digest;
  NextCall = std::max(Ctx.Time.now(), NextRelist);
  NextRelist = NextCall + Options.RelistInterval;
}

auto ObjectWatcher::onHistoryGone() -> void {
  Ctx.Log.write(events::WatchHistoryGone, {{"prefix", Options.Prefix}});
  NeedsList = true;
  // The store responds, so no backoff is needed.
  NextCall = Ctx.Time.now();
}

auto ObjectWatcher::onCutOff() -> void {
  IsCutOff = true;
  NextCall = Ctx.Time.now();
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      NextCall - CalledAt);
  Ctx.Log.write(events::WatchCutOff,
                {{"prefix", Options.Prefix},
                 {"version", toText(Version)},
                 {"waited_ms", std::to_string(waited.count())}});
}

auto ObjectWatcher::recordAnswer() -> void {
  IsCutOff = false;
  const auto failures = std::exchange(Failures, 0);
  ConfirmedAt = Ctx.Time.now();
  NextCall = ConfirmedAt;
  if (failures == 0)
    return;
  Ctx.Log.write(
      events::WatchRegained,
      {{"prefix", Options.Prefix}, {"failures", std::to_string(failures)}});
  if (Handlers.OnRecovered)
    Handlers.OnRecovered();
}

auto ObjectWatcher::logUnreadable(const ObjectList &l) -> void {
  if (l.Unreadable > 0)
    Ctx.Log.write(events::EntriesUnreadable,
                  {{"prefix", Options.Prefix},
                   {"count", std::to_string(l.Unreadable)},
                   {"version", toText(l.CurrentVersion)}});
}

auto ObjectWatcher::onFailure(const absl::Status &s) -> void {
  if (Failures == 0)
    Ctx.Log.write(events::WatchLost, {{"prefix", Options.Prefix},
                                      {"version", toText(Version)},
                                      {"why", std::string(s.message())}});
  IsCutOff = false;
  auto delay = Options.InitialBackoff;
  for (unsigned i = 0; i < Failures && delay < Options.MaxBackoff; ++i)
    delay *= 2;
  ++Failures;
  NextCall =
      Ctx.Time.now() + Ctx.Random.jitter(std::min(delay, Options.MaxBackoff));
  if (Handlers.OnFailure)
    Handlers.OnFailure(s);
}

} // namespace boragebridge
